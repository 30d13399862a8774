"""Names that the platform uses in HTTP headers, paths and the environment."""

REQUEST_ID = "Bramleyrouter-Request-Id"
DEADLINE_MS = "Bramleyrouter-Deadline-Ms"
TARGET_INSTANCE = "Bramleyrouter-Target-Instance"
# The server's signature of one reply, called "seal" in the header.
SERVER_SEAL = "Bramleyrouter-Server-Seal"
NOT_EXECUTED = "Bramleyrouter-Not-Executed"
# The time in milliseconds for which a server stays cold.
WARMUP_MS = "Bramleyrouter-Warmup-Ms"
# Set to "1" in all replies of a server that leaves.
SERVER_LEAVING = "Server-Leaving"
RETRY_AFTER = "Retry-After"
PART_SEALS = "Bramleyrouter-Part-Seals"
MISSING_PARTS = "Bramleyrouter-Missing-Parts"

# The customer of a request, set by the system in requests to servers.
TENANT = "Bramleyrouter-Tenant"
# Callers send their keys as "Authorization: Token KEY".
AUTHORIZATION = "Authorization"
KEY_SCHEME = "Token"
AUTHENTICATE = "WWW-Authenticate"

READY_PATH = "/v1/ready"
CONFIG_PATH = "/v1/config"
REPLICAS_PREFIX = "/v1/replicas/"
EVACUATE_PREFIX = "/v1/evacuate/"
ROLLOUTS_PATH = "/v1/rollouts"
ROLLOUTS_PREFIX = "/v1/rollouts/"

SETTINGS_VARIABLE = "BRAMLEYROUTER_CONFIG"

# Headers that apply to one connection only and must not be forwarded. Content-Length
# is among them because it is set again from the body that is sent.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    }
)
