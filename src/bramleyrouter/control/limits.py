"""Bounds of what the control daemons keep and accept."""

HOUR_MS = 3600 * 1000
# Age, in milliseconds, at which an identity is refused and its record dropped.
IDENTITY_LIFETIME_MS = 24 * HOUR_MS
# How far, in milliseconds, a caller's clock may be ahead of the log's.
MAX_IDENTITY_LEAD_MS = 5 * 60 * 1000
# Largest response kept for resends, in bytes.
MAX_ANSWER_BYTES = 16 * 1024
# Bytes of all kept responses together; a snapshot holds them all.
MAX_LEDGER_ANSWER_BYTES = 64 * 1024 * 1024
# Submissions that the ledger holds at once: about 2 in each second of a day.
MAX_LEDGER_RECORDS = 200_000
# Attempt tokens of one identity that are remembered after they ended.
MAX_RETIRED_TOKENS = 8

# Responses to operators that are kept: two days at 9,600 changes a day.
MAX_OPERATOR_RESULTS = 20_000
MAX_OPERATOR_RESULT_BYTES = 16 * 1024 * 1024
# Changes kept for daemons that missed some, and the bytes of their manifests.
MAX_DELTAS = 512
MAX_DELTA_BYTES = 32 * 1024 * 1024
# Entries of each set of what is out of service; the sets travel whole.
MAX_DATA_CENTRES_OUT = 256
MAX_SERVERS_OUT = 4096

MAX_NAME_CHARACTERS = 128
# Length of attempt tokens and body digests, in bytes.
MAX_TOKEN_BYTES = 64
# Settlements that travel, and are logged, together.
MAX_SETTLES = 256
MAX_SETTLE_BYTES = 1024 * 1024
