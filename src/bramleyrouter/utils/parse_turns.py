"""Decide whose HTTP input is parsed next when there is much to parse.

Load pattern: a crowd of clients that send bodies in chunks of one byte, heads of
thousands of short fields, or many pipelined requests. Such input costs processor time
by the number of its pieces, so it is counted in parse steps: a read that is satisfied
from what has arrived, or a field of a head. A request has some steps free, and each
further slice of steps waits here for a turn. Each turn of the event loop admits the
waiting clients that have had the fewest steps lately, up to ``turn_steps``. When more
than ``max_waiting`` clients wait, those that have had the most steps are refused.
"""

import enum
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

# Open connections of a listener. An idle one takes about 11 KB.
MAX_CONNECTIONS = 2000
# Time in which the steps that a connection has had count half, in seconds. A connection
# that serves many ordinary requests must not rank behind new ones for its age.
HALF_LIFE_S = 1.0


class RefusalReason(enum.Enum):
    """Tell why a client was refused or its connection closed."""

    SLOW_HEAD = "slow_head"
    SLOW_BODY = "slow_body"
    SLOW_READER = "slow_reader"
    FIELDS = "fields"
    PIPELINED = "pipelined"
    CROWD = "crowd"
    CONNECTIONS = "connections"
    STOPPING = "stopping"


class ClientLimits(NamedTuple):
    """Hold the limits of HTTP clients; sizes in steps, bytes or pieces.

    A request has ``free_steps`` steps for the fields of its head, and as many for its
    body, plus one for each ``bytes_per_step`` bytes of the body. ``max_ahead`` is the
    number of successive requests of a connection that were sent before the reply to
    the previous one, and after ``free_ahead`` of them each takes ``ahead_steps``.
    """

    # Ordinary requests have up to about 30 fields, and bodies in few chunks.
    free_steps: int = 64
    # Chunks of 256 bytes take 3 steps each and gain 4, so they never wait.
    bytes_per_step: int = 64
    # About 0.4 ms on a whole core.
    slice_steps: int = 128
    turn_steps: int = 128
    # A body of 131,072 one-byte chunks takes 1.1 s of processor time, so at half of the
    # loop's time 16 of them are served within about 40 s.
    max_waiting: int = 16
    # A head of 16,384 bytes has at most 5,461 fields, so this is reached only under a
    # larger ``maxHeaderBytes``.
    max_fields: int = 5500
    max_ahead: int = 100
    free_ahead: int = 4
    # A small request costs about as much as this many steps.
    ahead_steps: int = 64


@dataclass(eq=False, slots=True)
class TurnTaker:
    """Hold the steps that one connection was granted lately, and what it waits for.

    ``on_turn`` is called when the connection may go on with ``waiting_steps`` steps,
    and ``on_refused`` when it must end instead.
    """

    granted_steps: float = 0.0
    granted_at: float = 0.0
    waiting_steps: int = 0
    on_turn: Callable[[], None] = lambda: None
    on_refused: Callable[[], None] = lambda: None


@dataclass
class ParseTurns:
    """Hold the connections of a process that wait for a turn, in their order.

    ``delayed_count`` and ``refused`` count since the start, for the metrics.
    """

    limits: ClientLimits = ClientLimits()
    waiting: dict[TurnTaker, None] = field(default_factory=dict)
    delayed_count: int = 0
    refused: Counter[RefusalReason] = field(default_factory=Counter)
    is_scheduled: bool = False


def add_waiting(turns: ParseTurns, taker: TurnTaker, now: float) -> TurnTaker | None:
    """Add a connection that waits; return the one to be refused if too many wait.

    ``now`` is a monotonic time in seconds.
    """
    turns.delayed_count += 1
    taker.granted_steps *= 0.5 ** ((now - taker.granted_at) / HALF_LIFE_S)
    taker.granted_at = now
    turns.waiting[taker] = None
    if len(turns.waiting) <= turns.limits.max_waiting:
        return None
    # The latest one of those that have had the most.
    most = max(reversed(turns.waiting), key=lambda item: item.granted_steps)
    del turns.waiting[most]
    return most


def remove_waiting(turns: ParseTurns, taker: TurnTaker) -> None:
    """Remove a connection that has ended, if it waits."""
    turns.waiting.pop(taker, None)


def pop_turn(turns: ParseTurns) -> list[TurnTaker]:
    """Remove and return the connections that are admitted in one turn.

    The first one is admitted however many steps it takes, since a head is parsed whole;
    others only while their sum is at most ``turn_steps``.
    """
    admitted: list[TurnTaker] = []
    steps = 0
    while turns.waiting:
        taker = min(turns.waiting, key=lambda item: item.granted_steps)
        steps += taker.waiting_steps
        if admitted and steps > turns.limits.turn_steps:
            break
        del turns.waiting[taker]
        taker.granted_steps += taker.waiting_steps
        admitted.append(taker)
    return admitted


def read_client_metrics(turns: ParseTurns) -> dict[str, float]:
    """Return the values for the metrics page by name."""
    return {
        "waiting_clients": len(turns.waiting),
        "delayed_reads": turns.delayed_count,
        **{
            f"refused_{reason.value}": turns.refused[reason] for reason in RefusalReason
        },
    }
