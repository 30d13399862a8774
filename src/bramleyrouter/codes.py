"""Numbered result codes.

The table for readers is ``docs/reference/codes.md``; a test compares both.
Numbers are stable: a code is never renumbered or reused.
"""

from enum import IntEnum


class Code(IntEnum):
    """Identify a result; codes are grouped by hundreds."""

    OK = 0

    # 100: the request can't be served as the caller sent it.
    MALFORMED_REQUEST = 100
    BODY_TOO_LARGE = 101
    UNKNOWN_SERVICE = 102
    UNKNOWN_SHARD = 103
    DEADLINE_PASSED = 104
    IDENTITY_REUSED = 105
    INVALID_IDENTITY = 106
    UNKNOWN_TENANT_OR_CLASS = 107

    # 200: the request did not run.
    NOT_READY = 200
    OVERLOADED = 201
    TENANT_LIMIT = 202
    STOPPING = 203
    NO_VERSION = 204
    LEDGER_UNREACHABLE = 206
    NO_SERVER = 207
    SERVER_REFUSED = 208
    CONNECT_FAILED = 209
    NO_AUTHORITY = 210
    SERVER_OUT = 211
    SERVER_LEAVING = 212
    QUEUE_FULL = 213
    QUEUE_DEADLINE = 214
    STALE_HOME = 215
    NOT_HOME = 216
    CANCELLED_IN_QUEUE = 217
    VERSION_NOT_HELD = 218
    LEDGER_FULL = 219
    HELD_DOWN = 220

    # 300: the outcome of a non-idempotent request is unknown.
    OUTCOME_UNKNOWN = 300
    CLAIMANT_LOST = 301
    IDENTITY_EXPIRED = 302
    # The request ran, but its answer was too large to store for resends.
    ANSWER_NOT_KEPT = 303
    # This submission did not run; only the ledger knows whether an earlier one did.
    LEDGER_NOT_CONSULTED = 304

    # 400: reasons why a shard is missing from an answer.
    SHARD_NO_REPLICA = 400
    SHARD_TIMEOUT = 401
    SHARD_TRUNCATED = 402
    SHARD_WRONG_VERSION = 403
    SHARD_WRONG_IDENTITY = 404
    SHARD_SERVER_ERROR = 405
    SHARD_CONNECTION_LOST = 406
    SHARD_RETRIES_SPENT = 407
    SHARD_HOME_LOST = 408
    SHARD_CANCELLED = 409
    # Applies to the whole query. Some shards answered, so it is not "not run".
    COVERAGE_NOT_REACHED = 410

    # 500: configuration and operators.
    UNAUTHORIZED = 500
    INVALID_MANIFEST = 501
    GENERATION_CONFLICT = 502
    OPERATOR_REQUEST_REUSED = 504
    TOO_MANY_OUT = 505
    REVISION_CONFLICT = 506
    ROLLOUT_ACTIVE = 507
    INVALID_ROLLOUT = 508
    UNKNOWN_ROLLOUT = 509

    # 600: control daemons and their log.
    NOT_LEADER = 600
    NO_MAJORITY = 601
    LOG_CORRUPT = 602
    DISK_FAILED = 603
    MEMBERSHIP_CHANGE_PENDING = 604
    UNKNOWN_MEMBER = 605
    SNAPSHOT_CORRUPT = 606

    # 700: announcements of backend servers.
    INVALID_ANNOUNCEMENT = 700
    OLD_ANNOUNCEMENT = 701
    LEASE_UNKNOWN = 702

    # 800: settings.
    SETTINGS_UNREADABLE = 800
    SETTINGS_INVALID = 801

    # 900: messages between the system's processes.
    WIRE_MALFORMED = 900
    WIRE_TOO_LARGE = 901
    WIRE_VERSION = 902
    WIRE_AUTH_FAILED = 903
    PEER_UNREACHABLE = 904
    PEER_TIMEOUT = 905
    PEER_DISCONNECTED = 906
    PEER_REFUSED = 907
    UNKNOWN_MESSAGE_KIND = 908
