"""What a stand-in server does to requests: latency, faults and cold starts."""

import random
from dataclasses import dataclass, field

from bramleyrouter.board.sections import ServiceHolding


@dataclass
class Latency:
    """Describe the time that a warm stand-in takes for one request, seconds.

    The time is ``fixed_s`` plus an exponential share of mean ``mean_extra_s``.
    One request in ``1 / straggler_share`` takes ``straggler_factor`` as long.
    """

    fixed_s: float = 0.002
    mean_extra_s: float = 0.001
    straggler_share: float = 0.0
    straggler_factor: float = 10.0


@dataclass
class Faults:
    """Switch faults on while a stand-in runs; shares are from 0 to 1.

    ``refuses`` answers "not run", with ``retry_after_s`` if it is set, and
    ``says_leaving`` says in all replies that the server leaves. ``says_unhealthy`` and
    ``says_queued`` are what the health and load endpoints claim, whatever is true.
    """

    half_reply_share: float = 0.0
    wrong_identity_share: float = 0.0
    wrong_version_share: float = 0.0
    refusal_share: float = 0.0
    error_share: float = 0.0
    refuses: bool = False
    says_leaving: bool = False
    retry_after_s: float = 0.0
    says_unhealthy: bool = False
    says_queued: int = 0
    ignores_cancel: bool = False
    closes_after_reply: bool = False


@dataclass
class Warmth:
    """Model a cold start.

    A cold stand-in bears one request in flight; each request that it serves
    within what it bears warms it by ``1 / warm_after``. Above that its
    latency is multiplied and it cools down: it falls over under full load.
    ``warm_after`` of 0 means always warm.
    """

    warm_after: int = 0
    overload_factor: float = 10.0
    share: float = 0.0

    def bears(self, slots: int) -> float:
        """Return how many requests in flight the server handles well."""
        if not self.warm_after:
            return slots
        return 1 + self.share * (slots - 1)

    def factor(self, in_flight: int, slots: int) -> float:
        """Return by what the latency is multiplied; warm up or cool down."""
        if not self.warm_after:
            return 1.0
        if in_flight > self.bears(slots) + 0.5:
            self.share = max(0.0, self.share - 4 / self.warm_after)
            return self.overload_factor
        self.share = min(1.0, self.share + 1 / self.warm_after)
        return 1.0


@dataclass
class Behaviour:
    """Hold all that can be set of a stand-in."""

    slots: int = 2
    connection_limit: int = 25
    holdings: tuple[ServiceHolding, ...] = ()
    # Above its slots a stand-in refuses, or else lets requests wait.
    sheds: bool = True
    latency: Latency = field(default_factory=Latency)
    faults: Faults = field(default_factory=Faults)
    warmth: Warmth = field(default_factory=Warmth)


def draw_latency(behaviour: Behaviour, in_flight: int, rng: random.Random) -> float:
    """Return the time, in seconds, that the next request takes."""
    latency = behaviour.latency
    seconds = latency.fixed_s
    if latency.mean_extra_s:
        seconds += rng.expovariate(1 / latency.mean_extra_s)
    if rng.random() < latency.straggler_share:
        seconds *= latency.straggler_factor
    return seconds * behaviour.warmth.factor(in_flight, behaviour.slots)
