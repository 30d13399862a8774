"""General helpers that hold no state of a daemon."""
