"""Framing and connections for messages between the system's processes."""
