"""Failure detection of daemons and the replicated tables of backend servers.

Each server is reached through one daemon, its home. A home publishes the rows of its
servers, and every daemon holds a copy of all homes' rows.
"""
