"""Adapt the daemons to the platform: wire names, formats and HTTP calls.

This package makes no routing or control decision.
"""
