"""Define the limits and intervals of the homes."""

# A home has authority over a server, which means that it may dispatch to it, for this
# long after the timestamp in the last token that the server echoed, in seconds.
AUTHORITY_S = 3.0
# Largest relative drift between the clocks of two daemons.
DRIFT_BOUND = 0.01
# A new home waits for this long, in seconds, so that the old home's authority has
# ended by any clock within the drift bound.
AUTHORITY_WAIT_S = AUTHORITY_S * (1 + DRIFT_BOUND)
# Longest time, in seconds, that a request takes to reach a server, including a new
# connection. The server counts its deadline from the arrival.
MAX_TRANSIT_S = 0.05
# Attempts end this long before the authority does, in seconds.
AUTHORITY_MARGIN_S = MAX_TRANSIT_S
# Interval at which servers renew their leases, in seconds.
RENEW_AFTER_S = 1.0
# The first reply requests a renewal at once, since authority begins with the echo.
FIRST_RENEW_AFTER_S = 0.0
# A server over which the home has no authority is removed after this time, in
# seconds. Until then a renewal that echoes a new token restores the authority.
REMOVE_AFTER_S = 10.0
# The last version of a removed server is retained for this long, in seconds, so that
# a late announcement of one of its older incarnations is refused.
REMOVED_RETENTION_S = 600.0
# A configuration is stale if its last confirmation is older than this, in seconds.
STALE_AFTER_S = 2.0
# Interval of the sweeps over a home's servers, in seconds.
SWEEP_INTERVAL_S = 0.1
# Timeout of a forwarded announcement, withdrawal or handover, in seconds.
FORWARD_TIMEOUT_S = 0.5
# Number of candidates that are tried as the home of one server, best-ranked first.
MAX_HOME_CANDIDATES = 3
# Largest number of queued requests for one server, per slot.
MAX_QUEUED_PER_SLOT = 16
# Part of the remaining time, in seconds, that is reserved for the transit of a
# request from another daemon to the home and of its reply.
HOP_MARGIN_S = 0.002
# Shortest time for an attempt, in seconds; work with less time left is refused.
MIN_ATTEMPT_S = 0.005
# Mean service time that is assumed before the first reply, in seconds.
INITIAL_SERVICE_S = 0.005
# Weight of the newest sample in the moving average of the service time.
SERVICE_EWMA_WEIGHT = 0.2
# Interval and timeout of the probes of one server, in seconds.
PROBE_INTERVAL_S = 2.0
PROBE_TIMEOUT_S = 0.5
# Largest numbers of slots and connections that a server may declare.
MAX_SLOTS = 10_000
MAX_CONNECTIONS = 100_000
# Largest incarnation, registration or sequence number.
MAX_VERSION_NUMBER = 2**63 - 1
# Longest time that a handover waits for running work to end, in seconds.
HANDOVER_DRAIN_S = 0.3
# Time after which a server renews again, in seconds, if its work did not end within
# ``HANDOVER_DRAIN_S`` or no other daemon took it over.
HANDOVER_RETRY_S = 0.1
# Longest time that a planned stop waits for renewals of its servers, in seconds.
HANDOVER_TIMEOUT_S = 5.0
