"""Replicate the log of the control daemons by the Raft algorithm."""
