"""Named limits of the homes, with their units."""

# Authority of a home after the timestamp that a server last echoed, seconds.
AUTHORITY_S = 3.0
# Clocks of two daemons may drift apart by this share.
DRIFT_BOUND = 0.01
# A new home waits this long, so that the old home's authority has ended by
# any clock within the drift bound.
AUTHORITY_WAIT_S = AUTHORITY_S * (1 + DRIFT_BOUND)
# Longest way of a request to a server, in seconds, a new connection included.
# The server counts its deadline from the arrival.
MAX_TRANSIT_S = 0.05
# Attempts end this long, in seconds, before the authority does.
AUTHORITY_MARGIN_S = MAX_TRANSIT_S
# Servers renew this often, in seconds.
RENEW_AFTER_S = 1.0
# The first reply asks for an echo at once, since authority begins with it.
FIRST_RENEW_AFTER_S = 0.0
# A server without authority is forgotten after this time, in seconds; until
# then a renewal that echoes a new token revives it.
REMOVE_AFTER_S = 10.0
# What was known of a forgotten server is kept this long, in seconds, so that
# a late announcement of its older incarnations changes nothing.
REMOVED_RETENTION_S = 600.0
# Age of the last confirmation, in seconds, at which a configuration is stale.
STALE_AFTER_S = 2.0
# Interval of the sweep over a home's servers, in seconds.
SWEEP_INTERVAL_S = 0.1
# Longest time, in seconds, that forwarding an announcement may take.
FORWARD_TIMEOUT_S = 0.5
# Candidates for the home that one announcement tries.
MAX_FORWARD_ATTEMPTS = 3
# Work that may wait for one server, per slot.
MAX_QUEUED_PER_SLOT = 16
# What a message to a home and its reply take between two daemons, seconds.
HOP_MARGIN_S = 0.002
# Work with less time left than this, in seconds, can't be answered in time.
MIN_ATTEMPT_S = 0.005
# Service time that is assumed before any reply was measured, in seconds.
INITIAL_SERVICE_S = 0.005
# Share of the newest measurement in the moving average of the service time.
SERVICE_EWMA_WEIGHT = 0.2
# Interval of the probes of one server, and their timeout, in seconds.
PROBE_INTERVAL_S = 2.0
PROBE_TIMEOUT_S = 0.5
# Most slots and connections that a server may declare.
MAX_SLOTS = 10_000
MAX_CONNECTIONS = 100_000
# Largest incarnation, registration or sequence number.
MAX_VERSION_NUMBER = 2**63 - 1
# Time, in seconds, that a renewal waits for running work at a handover.
HANDOVER_DRAIN_S = 0.3
# A server whose work takes longer is to come back after this time, seconds.
HANDOVER_RETRY_S = 0.1
# Longest time that a planned stop waits for its servers' renewals, seconds.
HANDOVER_TIMEOUT_S = 5.0
