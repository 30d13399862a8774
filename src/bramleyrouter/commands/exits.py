"""Exit codes of ``bramleyctl``, which scripts rely on."""

from enum import IntEnum

from bramleyrouter.codes import Code


class Exit(IntEnum):
    """Enumerate the exit codes of a command; a number never changes its meaning."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    INVALID_MANIFEST = 3
    UNAUTHORIZED = 4
    CONFLICT = 5
    UNCERTAIN = 6
    NOT_IN_TIME = 7


MEANINGS = {
    Exit.DONE: "done",
    Exit.REFUSED: "refused for a reason that no other code names",
    Exit.USAGE: "an argument or a file can't be used",
    Exit.INVALID_MANIFEST: "the manifest has findings; all are printed",
    Exit.UNAUTHORIZED: "the operators' token is missing or wrong",
    Exit.CONFLICT: "another change won, or the request id was used before",
    Exit.UNCERTAIN: (
        "no daemon confirmed it in time; repeat it with the same --request-id"
    ),
    Exit.NOT_IN_TIME: "status --wait: some daemons have not confirmed the revision",
}

EPILOG = "exit codes:\n" + "\n".join(
    f"  {int(code)}  {meaning}" for code, meaning in MEANINGS.items()
)

_EXIT_BY_CODE = {
    Code.OK: Exit.DONE,
    Code.INVALID_MANIFEST: Exit.INVALID_MANIFEST,
    Code.UNAUTHORIZED: Exit.UNAUTHORIZED,
    Code.GENERATION_CONFLICT: Exit.CONFLICT,
    Code.REVISION_CONFLICT: Exit.CONFLICT,
    Code.ROLLOUT_ACTIVE: Exit.CONFLICT,
    Code.OPERATOR_REQUEST_REUSED: Exit.CONFLICT,
    Code.MEMBERSHIP_CHANGE_PENDING: Exit.CONFLICT,
}
# Codes after which the request is sent again: another daemon, or the same one
# later, may accept it.
RETRYABLE_CODES = frozenset(
    {
        Code.NOT_READY,
        Code.STOPPING,
        Code.NOT_LEADER,
        Code.NO_MAJORITY,
        Code.PEER_UNREACHABLE,
        Code.PEER_TIMEOUT,
        Code.PEER_DISCONNECTED,
        Code.PEER_REFUSED,
    }
)


def choose_exit(code: int) -> Exit:
    """Map a result code to an exit code."""
    if code in RETRYABLE_CODES:
        return Exit.UNCERTAIN
    return _EXIT_BY_CODE.get(code, Exit.REFUSED)  # type: ignore[call-overload]
