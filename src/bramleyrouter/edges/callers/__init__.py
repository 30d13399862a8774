"""Serve callers by HTTP."""
