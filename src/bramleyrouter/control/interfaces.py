"""Interfaces of the control package for the other packages."""

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
    StartRollout,
)
from bramleyrouter.dissemination.interfaces import Rollout
from bramleyrouter.failures import Failure
from bramleyrouter.fleet.rollout_records import VersionRollout
from bramleyrouter.ids import MemberId, Revision

# Operators' requests that carry an id. A route table has none, as its version
# already makes a resend harmless.
Operation = Publish | SetAvailability


class ControlClient(NamedTuple):
    """Bundle the requests that any daemon can send to the control leader.

    Each finds the leader, retries within its timeout in seconds and is safe to
    repeat. If ``claim`` fails with ``LEDGER_UNREACHABLE``, the claim may have been
    recorded, but no request was dispatched for it.
    """

    operate: Callable[
        [Operation | PublishRoutes | StartRollout, float],
        Awaitable[Result[OperatorResult, Failure]],
    ]
    claim: Callable[[Claim, float], Awaitable[Result[ClaimResult, Failure]]]
    settle: Callable[[Settle, float], Awaitable[Result[None, Failure]]]
    read_config: Callable[[float], Awaitable[Result[ConfigState, Failure]]]


class ControlAdmin(NamedTuple):
    """Bundle the operations that administer the control daemons.

    ``status()`` returns the log status reported by each known control daemon, by
    address, and needs no majority. ``add_member`` and ``remove_member`` take a
    timeout in seconds and are safe to repeat; a member that is added without an
    id is identified by its address. ``rollout(timeout_s)`` returns the progress
    of the newest revision as acknowledged to the leader, and
    ``read_rollouts(timeout_s)`` the newest rollout of a version for each service.
    """

    status: Callable[[], Awaitable[tuple[tuple[str, Result[LogStatus, Failure]], ...]]]
    add_member: Callable[[Member, float], Awaitable[Result[None, Failure]]]
    remove_member: Callable[[MemberId, float], Awaitable[Result[None, Failure]]]
    rollout: Callable[[float], Awaitable[Result[Rollout, Failure]]]
    read_rollouts: Callable[
        [float], Awaitable[Result[tuple[VersionRollout, ...], Failure]]
    ]


class ConfigSource(NamedTuple):
    """Bundle dissemination's access to a control daemon's state machine.

    ``deltas_since(revision)`` returns the changes after ``revision``, oldest
    first, or none when they are no longer stored and the whole state is needed.
    ``watch(callback)`` calls back after each new revision or route table.
    ``is_current()`` returns whether a leader proved its leadership within the last
    second and this member had applied every entry committed before that.
    """

    state: Callable[[], ConfigState]
    deltas_since: Callable[[Revision], tuple[ConfigDelta, ...] | None]
    watch: Callable[[Callable[[], None]], None]
    is_current: Callable[[], bool]
