"""Decode, encode and handle HTTP messages; make no routing decision."""
