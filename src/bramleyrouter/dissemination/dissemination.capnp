@0xb8f4d2c07a915e36;

# One configuration change, or the whole state if Update.isFull is set.
struct Change {
  revision @0 :UInt64;
  # 0: the manifest is unchanged (in a full state: there is none);
  # 1: a whole manifest; 2: its difference from the previous manifest.
  manifestForm @1 :UInt8;
  # MessagePack of board.sections.Manifest or manifests.ManifestDifference.
  manifest @2 :Data;
  dataCentresOut @3 :List(Text);
  serversOut @4 :List(Text);
  digest @5 :Data;
}

# An item of a subscription's stream.
struct Update {
  protocolVersion @0 :UInt16;
  isFull @1 :Bool;
  changes @2 :List(Change);
}

# Requests the changes after a revision, as a stream. digest is that of the
# subscriber's configuration; isFullWanted requests the whole state first.
struct Subscription {
  protocolVersion @0 :UInt16;
  daemonId @1 :Text;
  incarnation @2 :UInt64;
  revision @3 :UInt64;
  digest @4 :Data;
  isFullWanted @5 :Bool;
}

# A daemon that acknowledged an older revision than the newest.
struct Lag {
  daemonId @0 :Text;
  revision @1 :UInt64;
}

# Acknowledgement by a daemon for itself and the daemons below it in the tree.
# Those daemons together are the report's cover.
struct Report {
  protocolVersion @0 :UInt16;
  daemonId @1 :Text;
  incarnation @2 :UInt64;
  revision @3 :UInt64;
  minRevision @4 :UInt64;
  coverDigest @5 :UInt64;
  hasCover @6 :Bool;
  cover @7 :List(Text);
  behind @8 :List(Lag);
  behindCount @9 :UInt32;
}

# Reply to a report, from the daemon that received it.
struct Heartbeat {
  protocolVersion @0 :UInt16;
  revision @1 :UInt64;
  digest @2 :Data;
  # Milliseconds since control confirmed that the revision is current; -1: never.
  ageMs @3 :Int64;
  isChild @4 :Bool;
  wantsCover @5 :Bool;
  # Whether the sender holds a configuration that it may serve with.
  isLearnt @6 :Bool;
}

# Requests the report of another control daemon for its part of the tree.
# coverDigest is the digest of the cover that the requesting daemon holds.
struct RolloutRequest {
  protocolVersion @0 :UInt16;
  coverDigest @1 :UInt64;
}
