"""Records of canary rollouts: one server version of a service that is being tried."""

from collections.abc import Callable, Iterable
from enum import Enum
from typing import Annotated

import msgspec
from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.fleet.records import Name
from bramleyrouter.ids import ServerVersion, ServiceName
from bramleyrouter.utils.decoding import DECODE_ERRORS

# Longest time limit of a rollout, in seconds. Larger finite numbers would overflow the
# computations of times.
MAX_DURATION_S = 30 * 86_400.0

Duration = Annotated[float, msgspec.Meta(gt=0.0, le=MAX_DURATION_S)]
RequiredName = Annotated[Name, msgspec.Meta(min_length=1)]


class RolloutState(Enum):
    """Name the state of a rollout; operators see ``PROMOTING`` as active."""

    ACTIVE = "active"
    PROMOTING = "promoting"
    SUCCEEDED = "succeeded"
    ROLLED_BACK = "rolled_back"


OPEN_STATES = frozenset({RolloutState.ACTIVE, RolloutState.PROMOTING})


class VersionRollout(msgspec.Struct, frozen=True, array_like=True):
    """Describe the newest rollout of a service.

    ``sequence`` counts the accepted orders of all services. ``started_ms`` is the log's
    time stamp of the order, and ``duration_s`` the time within which the rollout ends.
    ``rejected`` are the versions that were rolled back and not ordered again since.
    """

    sequence: int
    service: ServiceName
    version: ServerVersion
    duration_s: float
    started_ms: int
    state: RolloutState = RolloutState.ACTIVE
    rejected: tuple[ServerVersion, ...] = ()
    reason: str = ""

    @property
    def is_open(self) -> bool:
        """Return whether the rollout has not ended."""
        return self.state in OPEN_STATES


# Called with the revision of the rollouts and the newest rollout of each service.
OnRollouts = Callable[[int, tuple[VersionRollout, ...]], None]


def encode_rollouts(rollouts: Iterable[VersionRollout]) -> bytes:
    """Encode the newest rollouts of all services as MessagePack."""
    return msgspec.msgpack.encode(tuple(rollouts))


def decode_rollouts(data: bytes) -> Result[tuple[VersionRollout, ...], Failure]:
    """Decode the newest rollouts; fail with ``WIRE_MALFORMED``."""
    try:
        return Ok(msgspec.msgpack.decode(data, type=tuple[VersionRollout, ...]))
    except DECODE_ERRORS as exc:
        text = f"The rollouts can't be decoded: {exc}."
        return Err(Failure(Code.WIRE_MALFORMED, text))
