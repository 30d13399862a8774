"""Streams of backend servers and configuration from control to entry daemons.

The fleet is the set of all backend servers. Each control daemon streams the servers
that send it heartbeats, and each entry daemon merges the streams of all of them. The
streams also carry the version of the route table, the data centres that are taken
out, the members of the replicated log, the number of entry daemons and the relays.
"""
