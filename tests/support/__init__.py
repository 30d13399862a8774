"""Fakes at the interfaces: virtual time and a network in memory."""
