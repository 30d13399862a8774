@0xb7d2c4a19e5f6083;

# Messages to and from the control daemons. Commands have the same encoding on
# the wire and in the log.

struct Command {
  protocolVersion @0 :UInt16;
  union {
    publish @1 :Publish;
    availability @2 :Availability;
    claim @3 :Claim;
    settles @4 :List(Settle);
    routes @5 :Routes;
    departure @6 :Data;     # MessagePack of fleet.records.ServerRow.
    startRollout @7 :Data;  # MessagePack of control.messages.StartRollout.
    endRollout @8 :Data;    # MessagePack of control.messages.EndRollout.
  }
}

struct Publish {
  requestId @0 :Text;
  operator @1 :Text;
  manifest @2 :Data;        # MessagePack of board.sections.Manifest.
}

struct Routes {
  version @0 :UInt64;
  document @1 :Data;        # The table as sent by the operator, zlib-compressed.
}

struct Availability {
  requestId @0 :Text;
  operator @1 :Text;
  isOut @2 :Bool;
  union {
    dataCentre @3 :Text;
    serverId @4 :Text;
  }
  isConditional @5 :Bool;   # Whether expectedRevision must be in force.
  expectedRevision @6 :UInt64;
}

struct Claim {
  tenant @0 :Text;
  requestId @1 :Text;
  bodyDigest @2 :Data;
  claimant @3 :Text;
  claimantIncarnation @4 :UInt64;
  attemptToken @5 :Data;
}

enum Outcome {
  none @0;
  done @1;
  notRun @2;
  unknown @3;
}

struct Settle {
  tenant @0 :Text;
  requestId @1 :Text;
  attemptToken @2 :Data;
  outcome @3 :Outcome;
  code @4 :UInt16;
  answer @5 :Data;
}

struct Finding {
  code @0 :Text;
  level @1 :Text;
  place @2 :Text;
  text @3 :Text;
  hint @4 :Text;
}

struct Failure {
  code @0 :UInt16;          # Zero if there is no failure.
  text @1 :Text;
  findings @2 :List(Finding);
}

struct OperatorResult {
  protocolVersion @0 :UInt16;
  revision @1 :UInt64;
  generation @2 :UInt64;
  failure @3 :Failure;
}

struct ClaimResult {
  protocolVersion @0 :UInt16;
  isGranted @1 :Bool;
  claimant @2 :Text;
  claimantIncarnation @3 :UInt64;
  outcome @4 :Outcome;
  code @5 :UInt16;
  answer @6 :Data;
  failure @7 :Failure;
}

struct ReadConfig {
  protocolVersion @0 :UInt16;
  # The configuration that the requester has; if it is unchanged, it is not sent again.
  revision @1 :UInt64;
  digest @2 :Data;
}

struct ConfigReply {
  protocolVersion @0 :UInt16;
  isUnchanged @1 :Bool;
  state @2 :Data;           # MessagePack of control.messages.ConfigState.
}

struct StatusRequest {
  protocolVersion @0 :UInt16;
  # Whether the member must prove its leadership before it replies.
  isProofAsked @1 :Bool;
}

struct Member {
  memberId @0 :Text;
  address @1 :Text;
  isVoter @2 :Bool;
}

struct Status {
  protocolVersion @0 :UInt16;
  memberId @1 :Text;
  term @2 :UInt64;
  isLeader @3 :Bool;
  leaderAddress @4 :Text;
  commitIndex @5 :UInt64;
  appliedIndex @6 :UInt64;
  members @7 :List(Member);
}

struct ChangeMembers {
  protocolVersion @0 :UInt16;
  union {
    add @1 :Member;         # An empty memberId stands for the member at this address.
    remove @2 :Text;
  }
}

struct RolloutRequest {
  protocolVersion @0 :UInt16;
}

struct Lag {
  daemonId @0 :Text;
  revision @1 :UInt64;
}

struct Rollout {
  protocolVersion @0 :UInt16;
  revision @1 :UInt64;      # In force at every daemon that sends acknowledgements.
  latest @2 :UInt64;
  daemons @3 :UInt32;
  behind @4 :List(Lag);
  behindCount @5 :UInt32;
  silent @6 :List(Text);
  silentCount @7 :UInt32;
}
