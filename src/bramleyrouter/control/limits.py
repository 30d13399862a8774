"""Limits of what the control daemons store and accept."""

HOUR_MS = 3600 * 1000
# Age beyond which an identity is refused and its record removed.
IDENTITY_LIFETIME_MS = 24 * HOUR_MS
# How far the creation time of an identity may be ahead of the log's time.
MAX_IDENTITY_LEAD_MS = 5 * 60 * 1000
# Largest answer that the ledger stores for repeated submissions.
MAX_ANSWER_BYTES = 16 * 1024
# Limit for all stored answers together, as each snapshot contains all of them.
MAX_LEDGER_ANSWER_BYTES = 64 * 1024 * 1024
# About 2 submissions per second over the lifetime of one day.
MAX_LEDGER_RECORDS = 200_000
# Retired attempt tokens stored for each identity.
MAX_RETIRED_TOKENS = 8

# Stored results of operators' requests: two days at 9,600 changes a day.
MAX_OPERATOR_RESULTS = 20_000
MAX_OPERATOR_RESULT_BYTES = 16 * 1024 * 1024
# Changes stored for daemons that missed some, and the size of their manifests.
MAX_DELTAS = 512
MAX_DELTA_BYTES = 32 * 1024 * 1024
# Data centres and servers that may be out of service at once; each change
# sends both sets in full.
MAX_DATA_CENTRES_OUT = 256
MAX_SERVERS_OUT = 4096

MAX_NAME_CHARACTERS = 128
# Longest attempt token or body digest.
MAX_TOKEN_BYTES = 64
# Limits of one batch of settlements, which is one entry of the log.
MAX_SETTLES = 256
MAX_SETTLE_BYTES = 1024 * 1024
