"""Metrics, structured events and logs."""
