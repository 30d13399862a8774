"""The table of backend servers that entry daemons receive from control daemons.

The fleet is the set of all backend servers. Each control daemon streams the servers
that send it heartbeats, and each entry daemon merges the streams of all of them.
"""
