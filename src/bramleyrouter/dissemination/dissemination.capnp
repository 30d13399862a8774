@0xb8f4d2c07a915e36;

# One configuration change, or with Update.isFull the whole state.
struct Change {
  revision @0 :UInt64;
  # 0: the manifest is as before (in a full state: there is none);
  # 1: a whole manifest; 2: its difference from the one before.
  manifestForm @1 :UInt8;
  # MessagePack, by the types in control/messages.py and manifests.py.
  manifest @2 :Data;
  dataCentresOut @3 :List(Text);
  serversOut @4 :List(Text);
  digest @5 :Data;
}

# An item of a subscription.
struct Update {
  protocolVersion @0 :UInt16;
  isFull @1 :Bool;
  changes @2 :List(Change);
}

# Opens a subscription.
struct Subscription {
  protocolVersion @0 :UInt16;
  daemonId @1 :Text;
  incarnation @2 :UInt64;
  revision @3 :UInt64;
  digest @4 :Data;
  isFullWanted @5 :Bool;
}

struct Lag {
  daemonId @0 :Text;
  revision @1 :UInt64;
}

# Acknowledgement of a daemon and of those below it.
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

# Reply to a report.
struct Heartbeat {
  protocolVersion @0 :UInt16;
  revision @1 :UInt64;
  digest @2 :Data;
  # Milliseconds since control confirmed the revision; -1 for never.
  ageMs @3 :Int64;
  isChild @4 :Bool;
  wantsCover @5 :Bool;
  # Whether the sender has learnt a configuration at all.
  isLearnt @6 :Bool;
}

# Asks another control daemon for the report of its part of the tree.
struct RolloutRequest {
  protocolVersion @0 :UInt16;
  coverDigest @1 :UInt64;
}
