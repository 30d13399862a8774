"""Forwarding by route table: requests to one server, and gathers over shards."""
