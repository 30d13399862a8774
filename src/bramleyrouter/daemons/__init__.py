"""Composition root and main functions of the daemons."""
