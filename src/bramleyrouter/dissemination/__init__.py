"""Distribution of the accepted configuration to every daemon.

The daemons form a tree. Its roots are the control daemons, which replicate the
configuration. Each other daemon subscribes to one parent, which sends it the
changes. The daemon sends a periodic report upwards, which acknowledges the
revision of the daemon and of those below it; the reply, a heartbeat, states how
recently control (the control daemons as a group) confirmed that the parent's
revision is the current one.

A daemon has learnt its configuration (``is_learnt``) once it holds a revision
that it may serve with; until then it is not ready.
"""
