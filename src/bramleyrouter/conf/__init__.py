"""Settings of the daemons: defaults, decoding into types, and checks."""
