@0xb7c3f1d28e5a9046;

# Messages between entry daemons and homes. Every top-level message begins with the
# protocol version that codecs.py defines.

struct ServerGroup {
  serverId @0 :Text;
  attempt @1 :Int64;
  service @2 :Text;
  shards @3 :List(Text);
}

struct ShardBatch {
  protocolVersion @0 :UInt16;
  requestId @1 :Text;
  tenant @2 :Text;
  className @3 :Text;
  version @4 :Text;
  revision @5 :UInt64;
  remainingS @6 :Float64;
  isStale @7 :Bool;
  groups @8 :List(ServerGroup);
  query @9 :Data;
}

struct ShardResult {
  shard @0 :Text;
  body @1 :Data;
}

struct GroupReply {
  serverId @0 :Text;
  attempt @1 :Int64;
  version @2 :Text;
  code @3 :UInt16;
  text @4 :Text;
  results @5 :List(ShardResult);
  queueS @6 :Float64;
  serviceS @7 :Float64;
  inFlight @8 :UInt32;
  headroom @9 :Float64;
}

# Replies to groups that ended in the same iteration of the home's event loop.
struct GroupReplies {
  protocolVersion @0 :UInt16;
  replies @1 :List(GroupReply);
}

struct SubmitRequest {
  protocolVersion @0 :UInt16;
  requestId @1 :Text;
  tenant @2 :Text;
  className @3 :Text;
  revision @4 :UInt64;
  remainingS @5 :Float64;
  isStale @6 :Bool;
  serverId @7 :Text;
  service @8 :Text;
  shard @9 :Text;
  operation @10 :Data;
}

struct SubmitReply {
  protocolVersion @0 :UInt16;
  outcome @1 :Text;
  code @2 :UInt16;
  text @3 :Text;
  answer @4 :Data;
}

struct Lease {
  home @0 :Text;
  homeIncarnation @1 :UInt64;
  registration @2 :UInt64;
  stampS @3 :Float64;
}

struct ShardVersions {
  shard @0 :Text;
  versions @1 :List(Text);
}

struct Holding {
  service @0 :Text;
  shards @1 :List(ShardVersions);
}

struct Announcement {
  protocolVersion @0 :UInt16;
  serverId @1 :Text;
  incarnation @2 :UInt64;
  registration @3 :UInt64;
  sequence @4 :UInt64;
  dataCentre @5 :Text;
  address @6 :Text;
  state @7 :Text;
  slots @8 :Int32;
  connectionLimit @9 :Int32;
  holdings @10 :List(Holding);
  lease @11 :Lease;
  hasLease @12 :Bool;
}

struct AnnouncementReply {
  protocolVersion @0 :UInt16;
  lease @1 :Lease;
  homeHttpAddress @2 :Text;
  renewAfterS @3 :Float64;
}

# A home hands a server over to another home. The message carries the state of the
# ramp, since the server is already warm.
struct Handover {
  protocolVersion @0 :UInt16;
  announcement @1 :Announcement;
  rampLimit @2 :UInt32;
  baselineS @3 :Float64;
}

struct Withdrawal {
  protocolVersion @0 :UInt16;
  serverId @1 :Text;
  incarnation @2 :UInt64;
}
