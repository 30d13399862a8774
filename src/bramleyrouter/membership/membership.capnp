@0xe5a3c1f29b7d4860;

# Record of one daemon. The function is_newer in records.py orders two of them.
struct Entry {
  daemonId @0 :Text;
  incarnation @1 :UInt64;
  statement @2 :UInt64;
  state @3 :UInt8;
  isControl @4 :Bool;
  dataCentre @5 :Text;
  internalAddress @6 :Text;
  httpAddress @7 :Text;
}

struct ShardVersions {
  shard @0 :Text;
  versions @1 :List(Text);
}

struct Holding {
  service @0 :Text;
  shards @1 :List(ShardVersions);
}

# One backend server as its home publishes it.
struct Row {
  serverId @0 :Text;
  incarnation @1 :UInt64;
  registration @2 :UInt64;
  dataCentre @3 :Text;
  address @4 :Text;
  state @5 :UInt8;
  slots @6 :UInt32;
  connectionLimit @7 :UInt32;
  holdings @8 :List(Holding);
  usable @9 :Bool;
  headroom @10 :Float64;
}

# The part of a row that changes often.
struct Status {
  serverId @0 :Text;
  usable @1 :Bool;
  headroom @2 :Float64;
}

# Changes of one home's rows after baseVersion, up to version.
struct Delta {
  home @0 :Text;
  incarnation @1 :UInt64;
  baseVersion @2 :UInt64;
  version @3 :UInt64;
  isFull @4 :Bool;
  rows @5 :List(Row);
  statuses @6 :List(Status);
  removed @7 :List(Text);
}

struct Batch {
  protocolVersion @0 :UInt16;
  scope @1 :UInt8;
  entries @2 :List(Entry);
  deltas @3 :List(Delta);
}

# Digest of the sender's records of one data centre. ageMs is the time since the last
# known contact with it, in milliseconds.
struct CentreDigest {
  dataCentre @0 :Text;
  digest @1 :UInt64;
  ageMs @2 :UInt32;
}

# Sent as a probe and as the reply to one.
struct Probe {
  protocolVersion @0 :UInt16;
  sender @1 :Entry;
  # The sender's record of the receiver, so that the receiver can refute it.
  receiver @2 :Entry;
  digests @3 :List(CentreDigest);
  # Whether the sender's tables are complete.
  isSettled @4 :Bool;
  # In a probe: the address to probe on the sender's behalf, or empty.
  forwardTo @5 :Text;
  # In a reply to such a probe: whether that address answered.
  isForwardedAlive @6 :Bool;
}

# Version of one daemon's record and of its rows that the sender holds.
struct Held {
  daemonId @0 :Text;
  incarnation @1 :UInt64;
  statement @2 :UInt64;
  state @3 :UInt8;
  version @4 :UInt64;
}

# The first request of a repair asks which records of some data centres differ; the next
# ones ask for the wanted records.
struct SyncRequest {
  protocolVersion @0 :UInt16;
  dataCentres @1 :List(Text);
  # For each daemon that is not dead: an 8-byte hash of its id, then one of its record.
  known @2 :Data;
  wanted @3 :List(Held);
}

struct SyncReply {
  protocolVersion @0 :UInt16;
  # Versions that the replying daemon holds of the records that differ.
  differing @1 :List(Held);
  # 8-byte hashes of the daemon ids of which it has no record.
  missing @2 :Data;
  batch @3 :Batch;
  hasMore @4 :Bool;
}
