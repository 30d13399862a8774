"""Numbers of the message kinds, in ranges by the package that owns them."""

from enum import IntEnum


class MessageKind(IntEnum):
    """Identify a message kind; numbers are never changed or reused."""

    # Routing to homes.
    SHARD_BATCH = 10
    SUBMIT = 11
    ANNOUNCE = 12
    HANDOVER = 13
    WITHDRAW = 14

    # Consensus between control daemons.
    PRE_VOTE = 30
    VOTE = 31
    APPEND = 32
    INSTALL_SNAPSHOT = 33
    PRESENCE = 34

    # Clients of control daemons.
    OPERATE = 50
    CLAIM = 51
    SETTLE = 52
    READ_CONFIG = 53
    CHANGE_MEMBERS = 54
    CONTROL_STATUS = 55
    SHOW_ROLLOUT = 56
    READ_ROUTES = 57

    # Dissemination and membership.
    SUBSCRIBE = 70
    CONFIRM = 71
    HEARTBEAT = 72
    TABLE_DELTA = 73
    TABLE_DIGEST = 74
    LEAVE = 75
    ROLLOUT = 76

    # Fleet streams and relays of entry daemons.
    WATCH_FLEET = 90
    FETCH_ROUTES = 91
    GATHER_SHARDS = 92
    DESCRIBE = 93
    GRANT_ATTEMPTS = 94
    FIND_SERVER = 95

    # Permits of customers, requested by entry daemons.
    ACQUIRE_PERMITS = 96
    # Canary rollouts.
    REPORT_VERSIONS = 97
    READ_ROLLOUTS = 98
