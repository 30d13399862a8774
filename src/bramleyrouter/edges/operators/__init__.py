"""Serve operators by HTTP."""
