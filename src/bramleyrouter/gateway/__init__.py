"""Route callers' requests by route table: single-service requests and gathers."""
