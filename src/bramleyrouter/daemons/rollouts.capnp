@0xb6c1e0d94f7a2853;

# Asks a control daemon how far a revision has come.
struct RolloutQuestion {
  protocolVersion @0 :UInt16;
  revision @1 :UInt64;
}

# Answers it; the list of daemons behind is bounded.
struct RolloutSummary {
  protocolVersion @0 :UInt16;
  revision @1 :UInt64;
  daemons @2 :UInt32;
  behindCount @3 :UInt32;
  behind @4 :List(Text);
}
