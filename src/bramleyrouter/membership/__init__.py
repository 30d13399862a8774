"""Failure detection of daemons and the tables of backend servers."""
