"""The replicated canary rollouts: the newest one of each service.

The functions are deterministic, like those of the configuration. They handle orders
that come twice, late or to several control daemons: an order has one outcome.
"""

from dataclasses import dataclass, field

import msgspec

from bramleyrouter.codes import Code
from bramleyrouter.control.messages import EndRollout, StartRollout
from bramleyrouter.failures import Failure
from bramleyrouter.fleet.rollout_records import RolloutState, VersionRollout
from bramleyrouter.ids import ServerVersion, ServiceName

# Rejected versions that are retained for a service.
MAX_REJECTED = 16
# States that may follow a state.
_NEXT_STATES = {
    RolloutState.ACTIVE: frozenset(
        {RolloutState.PROMOTING, RolloutState.SUCCEEDED, RolloutState.ROLLED_BACK}
    ),
    RolloutState.PROMOTING: frozenset(
        {RolloutState.SUCCEEDED, RolloutState.ROLLED_BACK}
    ),
}


@dataclass
class VersionRollouts:
    """Hold the newest rollout by service.

    ``revision`` grows by one with each change, and ``sequence`` with each order.
    """

    revision: int = 0
    sequence: int = 0
    by_service: dict[ServiceName, VersionRollout] = field(default_factory=dict)


def get_sequence(rollouts: VersionRollouts, service: ServiceName) -> int:
    """Return the sequence number of the service's newest rollout, 0 without one."""
    newest = rollouts.by_service.get(service)
    return 0 if newest is None else newest.sequence


def is_same_order(rollout: VersionRollout, order: StartRollout) -> bool:
    """Return whether an order is the one that started ``rollout``."""
    return rollout.version == order.version and rollout.duration_s == order.duration_s


def start_rollout(
    rollouts: VersionRollouts, order: StartRollout, now_ms: int
) -> Failure | None:
    """Start a rollout; return why the order is refused, none if it is accepted.

    The order of the newest rollout is accepted again and changes nothing. Another order
    is refused with ``ROLLOUT_ACTIVE`` while a rollout is open, and with
    ``REVISION_CONFLICT`` if the newest rollout is not the one that it expects.
    """
    service = ServiceName(order.service)
    newest = rollouts.by_service.get(service)
    if newest is not None and is_same_order(newest, order):
        return None
    if order.expected_sequence != get_sequence(rollouts, service):
        text = f'Another rollout of "{order.service}" was ordered in the meantime.'
        return Failure(Code.REVISION_CONFLICT, text)
    if newest is not None and newest.is_open:
        text = f'"{order.service}" has an active rollout of "{newest.version}".'
        return Failure(Code.ROLLOUT_ACTIVE, text)
    rejected = newest.rejected if newest is not None else ()
    rollouts.sequence += 1
    rollouts.revision += 1
    rollouts.by_service[service] = VersionRollout(
        rollouts.sequence,
        service,
        ServerVersion(order.version),
        order.duration_s,
        now_ms,
        rejected=tuple(item for item in rejected if item != order.version),
    )
    return None


def end_rollout(rollouts: VersionRollouts, command: EndRollout) -> bool:
    """Move a rollout to its next state; return false if that changes nothing.

    A verdict on an earlier rollout of the service, or on one that has ended, is
    ignored, so that it may be proposed any number of times.
    """
    service = ServiceName(command.service)
    newest = rollouts.by_service.get(service)
    if newest is None or newest.sequence != command.sequence:
        return False
    if command.state not in _NEXT_STATES.get(newest.state, ()):
        return False
    rejected = newest.rejected
    if command.state is RolloutState.ROLLED_BACK:
        rejected = (*rejected, newest.version)[-MAX_REJECTED:]
    rollouts.revision += 1
    rollouts.by_service[service] = msgspec.structs.replace(
        newest, state=command.state, rejected=rejected, reason=command.reason
    )
    return True
