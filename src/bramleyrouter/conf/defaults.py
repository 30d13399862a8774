"""Defaults of the settings, and limits that are not configurable."""

# Longest deadline, in seconds, that a caller may set.
MAX_DEADLINE_S = 10.0
# Deadline, in seconds, of a request whose caller sets none.
DEFAULT_DEADLINE_S = 1.0
# Largest body of a caller's or operator's request, in bytes.
MAX_BODY_BYTES = 1024 * 1024
# Largest encoded manifest, in bytes. It can name the shards of 57,000 replicas.
MAX_MANIFEST_BYTES = 4 * 1024 * 1024
# Queries that one entry daemon runs at once.
MAX_RUNNING_QUERIES = 256
# Queries, of all classes together, that wait for one of the running queries to end.
MAX_WAITING_QUERIES = 256
# Time, in seconds, after SIGTERM in which the balancer can detect that the daemon is
# not ready, and requests are still accepted.
BALANCER_WAIT_S = 2.0
# Longest time, in seconds, that running requests then have to finish.
STOP_TIMEOUT_S = 15.0
# Number of routing decisions that are retained for the explain endpoint.
RECENT_DECISIONS = 500
# Most hedges, as a share of the requests to backend servers.
HEDGE_BUDGET = 0.05
# Most retries, as a share of the requests to backend servers. Each query may make two
# retries in addition to this share of its own requests.
RETRY_BUDGET = 0.1
# Lowest level that is logged, as absl.logging names it.
LOG_LEVEL = "info"
# Class and tenant of a request whose caller names none.
DEFAULT_CLASS = "default"
DEFAULT_TENANT = "default"
