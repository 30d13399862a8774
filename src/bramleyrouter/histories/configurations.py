"""Check histories of configuration changes and reads."""

from typing import NamedTuple

from bramleyrouter.histories.linearizations import Operation, find_linearization


class PublishOp(NamedTuple):
    """Publish a manifest; ``content`` stands for its text."""

    request_id: str
    generation: int
    content: str


class AvailabilityOp(NamedTuple):
    """Take a data centre or a backend server out, or back in."""

    request_id: str
    target: str
    is_out: bool


class ReadOp(NamedTuple):
    """Read the accepted configuration."""


class Accepted(NamedTuple):
    """Result of a change that was accepted as ``revision``."""

    revision: int


class Conflict(NamedTuple):
    """Result of a publication that lost; names the winner's request."""

    winner: str


class Seen(NamedTuple):
    """Result of a read."""

    revision: int
    generation: int
    content: str
    out: frozenset[str]


class ModelState(NamedTuple):
    """Hold the configuration, and the answers that resends must repeat."""

    revision: int = 0
    generation: int = 0
    content: str = ""
    publisher: str = ""
    out: frozenset[str] = frozenset()
    answers: frozenset[tuple[str, NamedTuple]] = frozenset()


def step(state: ModelState, request) -> tuple[ModelState, NamedTuple]:
    """Apply one request to the model; return the next state and the result."""
    if isinstance(request, ReadOp):
        seen = Seen(state.revision, state.generation, state.content, state.out)
        return state, seen
    for request_id, answer in state.answers:
        if request_id == request.request_id:
            return state, answer
    if isinstance(request, PublishOp):
        changed, result = _publish(state, request)
    else:
        changed, result = _set_availability(state, request)
    answered = changed.answers | {(request.request_id, result)}
    return changed._replace(answers=answered), result


def _publish(state: ModelState, request: PublishOp):
    if request.generation <= state.generation:
        return state, Conflict(state.publisher)
    revision = state.revision + 1
    changed = state._replace(
        revision=revision,
        generation=request.generation,
        content=request.content,
        publisher=request.request_id,
    )
    return changed, Accepted(revision)


def _set_availability(state: ModelState, request: AvailabilityOp):
    target = frozenset({request.target})
    out = state.out | target if request.is_out else state.out - target
    revision = state.revision + 1
    return state._replace(revision=revision, out=out), Accepted(revision)


def check_configuration(history: list[Operation]) -> str | None:
    """Return what is wrong with a history, or none when it is linearizable."""
    if find_linearization(history, step, ModelState()) is not None:
        return None
    return f"No order of the {len(history)} operations explains their results."


class Observation(NamedTuple):
    """Say which revision a daemon had in force at a time, in seconds."""

    daemon: str
    at_s: float
    revision: int


def check_growth(observations: list[Observation]) -> str | None:
    """Return where a daemon's revision went back, or none."""
    latest: dict[str, Observation] = {}
    for seen in sorted(observations, key=lambda item: item.at_s):
        before = latest.get(seen.daemon)
        if before and seen.revision < before.revision:
            return (
                f'"{seen.daemon}" had revision {before.revision} at '
                f"{before.at_s:.3f} s and {seen.revision} at {seen.at_s:.3f} s."
            )
        latest[seen.daemon] = seen
    return None
