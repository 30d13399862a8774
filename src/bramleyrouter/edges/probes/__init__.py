"""Serve liveness, readiness and metrics by HTTP."""
