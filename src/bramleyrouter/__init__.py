"""Query tier that routes requests over many shards and backend servers."""

__version__ = "0.1.0"
