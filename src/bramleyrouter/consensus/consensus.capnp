@0xc3a90be51f7d2466;

struct Entry {
  term @0 :UInt64;
  index @1 :UInt64;
  stampMs @2 :UInt64;    # Leader's wall-clock time; never decreases.
  kind @3 :UInt8;        # See EntryKind in entries.py.
  command @4 :Data;
}

# A message between members; messages.py describes the fields.
struct Message {
  protocolVersion @0 :UInt16;
  clusterId @1 :Text;
  sender @2 :Text;
  target @3 :Text;       # A member with another id refuses the message.
  term @4 :UInt64;
  sequence @5 :UInt64;
  union {
    voteRequest @6 :VoteRequest;
    voteReply @7 :VoteReply;
    appendRequest @8 :AppendRequest;
    appendReply @9 :AppendReply;
    chunkRequest @10 :ChunkRequest;
    chunkReply @11 :ChunkReply;
  }
}

struct VoteRequest {
  lastIndex @0 :UInt64;
  lastTerm @1 :UInt64;
  isPre @2 :Bool;
}

struct VoteReply {
  campaign @0 :UInt64;
  isGranted @1 :Bool;
  isPre @2 :Bool;
}

struct AppendRequest {
  prevIndex @0 :UInt64;
  prevTerm @1 :UInt64;
  commitIndex @2 :UInt64;
  entries @3 :List(Entry);
}

struct AppendReply {
  isMatched @0 :Bool;
  matchIndex @1 :UInt64;
  conflictIndex @2 :UInt64;
  conflictTerm @3 :UInt64;
}

struct ChunkRequest {
  index @0 :UInt64;
  indexTerm @1 :UInt64;
  offset @2 :UInt64;
  data @3 :Data;
  isLast @4 :Bool;
}

struct ChunkReply {
  index @0 :UInt64;
  offset @1 :UInt64;
  isInstalled @2 :Bool;
}

# Exchanged by the first members until they agree on the initial configuration.
struct Presence {
  protocolVersion @0 :UInt16;
  memberId @1 :Text;
  address @2 :Text;
  clusterId @3 :Text;
  isActive @4 :Bool;
  initialMembers @5 :List(InitialMember);
}

struct InitialMember {
  memberId @0 :Text;
  address @1 :Text;
}
