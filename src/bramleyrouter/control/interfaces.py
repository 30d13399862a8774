"""What the control package offers to the other packages."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from result import Result

from bramleyrouter.consensus.interfaces import LogStatus, Member
from bramleyrouter.control.messages import (
    Claim,
    ClaimResult,
    ConfigDelta,
    ConfigState,
    OperatorResult,
    Publish,
    PublishRoutes,
    SetAvailability,
    Settle,
)
from bramleyrouter.dissemination.interfaces import Rollout
from bramleyrouter.failures import Failure
from bramleyrouter.ids import MemberId, Revision

# What operators ask for; a route table has no id, its version orders it.
Operation = Publish | SetAvailability


class ControlClient(NamedTuple):
    """Bundle the ways of any daemon to reach the control leader.

    It finds the leader, retries inside ``timeout_s`` (seconds) and is safe to
    repeat. ``LEDGER_UNREACHABLE`` of ``claim`` means that the claim may have
    been recorded, but that nothing was dispatched for it.
    """

    operate: Callable[
        [Operation | PublishRoutes, float], Awaitable[Result[OperatorResult, Failure]]
    ]
    claim: Callable[[Claim, float], Awaitable[Result[ClaimResult, Failure]]]
    settle: Callable[[Settle, float], Awaitable[Result[None, Failure]]]
    read_config: Callable[[float], Awaitable[Result[ConfigState, Failure]]]


class ControlAdmin(NamedTuple):
    """Bundle the operators' access to the control daemons themselves.

    ``status()`` returns the view of each control daemon that is known, by its
    address, and needs no majority. ``add_member`` and ``remove_member`` take a
    timeout in seconds and are safe to repeat; a member that is added without an
    id is the one that answers at its address. ``rollout(timeout_s)`` is the
    leader's view of the acknowledgements.
    """

    status: Callable[[], Awaitable[tuple[tuple[str, Result[LogStatus, Failure]], ...]]]
    add_member: Callable[[Member, float], Awaitable[Result[None, Failure]]]
    remove_member: Callable[[MemberId, float], Awaitable[Result[None, Failure]]]
    rollout: Callable[[float], Awaitable[Result[Rollout, Failure]]]


class ConfigSource(NamedTuple):
    """Bundle what dissemination reads of a control daemon's state machine.

    ``deltas_since(revision)`` returns the changes after ``revision``, oldest
    first, or none when they are no longer kept and the whole state is needed.
    ``watch(callback)`` calls after each new revision. ``is_current()`` says
    whether this member is the leader with a valid lease, or heard from one
    within the last second.
    """

    state: Callable[[], ConfigState]
    deltas_since: Callable[[Revision], tuple[ConfigDelta, ...] | None]
    watch: Callable[[Callable[[], None]], None]
    is_current: Callable[[], bool]
