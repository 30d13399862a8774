"""Choice among servers of which only old measurements are known.

It handles this load pattern: many daemons send to the same few servers, each sends to
one of them less than once a second, and each knows only its own replies. A queue of a
server has changed before the next request, so a single reply says little about the load
that the request will meet. If all daemons ranked the servers alike, they would overload
one server while another idles.

Three rules follow. A server is rated by a slow average, which measures its speed and
its lasting load; a fast average replaces it only while the server is far slower than
others. Similar servers of one data centre have a different order on each daemon, in
proportion to their slots. Servers of other data centres are used only if the local ones
are clearly worse, and the more so the more of the service's slots are local.

The functions perform no I/O, and a choice depends only on their parameters.
"""

import math
from collections.abc import Callable, Sequence
from typing import NamedTuple

from bramleyrouter.ids import ServerId
from bramleyrouter.utils.rendezvous import compute_rendezvous_weight

# Exponent by which a lower cost outweighs a daemon's own order of the servers. With 6,
# a server that takes 1.3 times as long is preferred by about one daemon in six.
COST_EXPONENT = 6.0
# Cost added to a server in another data centre, in units of an ordinary server's
# latency: a local server may be this much slower before a remote one is chosen, because
# traffic between data centres is expensive.
REMOTE_PENALTY = 2.25
# Upper bound of the factor by which the penalty grows for a data centre with many of
# the service's slots.
MAX_PENALTY_FACTOR = 3.0
# Fast average above which a server counts as far slower than others. One reply that a
# pause delayed stays below it: 2.5 with the weight and the sample bound of servers.py.
FAR_SLOWER = 3.5
# Cost per share of failed requests: a server that always fails counts as 5 times as
# slow.
FAILURE_COST = 4.0

# Returns the position of a server in the order of one daemon.
ComputeOrder = Callable[[ServerId], float]

_HASH_RANGE = 2.0**64


def decay(value: float, rest: float, age_s: float, half_life_s: float) -> float:
    """Return an average decayed towards ``rest`` by its age in seconds."""
    if value == rest:
        return rest
    return rest + (value - rest) * 0.5 ** (max(0.0, age_s) / half_life_s)


class Candidate(NamedTuple):
    """Describe a server that may be chosen.

    ``position`` is its index in the list of the caller. ``rank`` is 0 for a good
    server. ``cost`` is in units of an ordinary server's latency. ``order`` is the
    position of the server in this daemon's own order, from ``compute_own_order``; a
    smaller one is preferred.
    """

    position: int
    rank: int
    cost: float
    order: float
    slots: int
    is_local: bool
    data_centre: str


def compute_cost(
    lasting: float, recent: float, in_flight: int, slots: int, failed_share: float
) -> float:
    """Return the expected time until a reply, in units of an ordinary latency.

    ``lasting`` and ``recent`` are the slow and the fast average of its latency in the
    same units. ``in_flight`` are this daemon's own requests to the server.
    """
    slowness = recent if recent > FAR_SLOWER else lasting
    load_factor = 1.0 + in_flight / max(1, slots)
    return slowness * load_factor * (1.0 + FAILURE_COST * failed_share)


def compute_own_order(daemon: str, server: ServerId) -> float:
    """Return the position of a server in the order of one daemon, above 0.

    The positions are distributed exponentially over the daemons. With weights ``w``,
    the server with the least ``position / w`` is therefore a given one for a share of
    the daemons proportional to its weight, and a change of a weight moves only as many
    daemons as it must (weighted rendezvous hashing).
    """
    digest = compute_rendezvous_weight(daemon, server)
    return -math.log((int.from_bytes(digest) + 0.5) / _HASH_RANGE)


def keep_listed_order(server: ServerId) -> float:
    """Return the same position for all servers: the first one listed is preferred."""
    return 1.0


def compute_remote_penalty(candidates: Sequence[Candidate]) -> float:
    """Return the cost that is added to servers of other data centres.

    A data centre with more than its part of the service's slots is seldom short of
    capacity for long: its slow replies come from pauses, which have ended when a
    request would be sent elsewhere. So its penalty is higher.
    """
    slots = sum(item.slots for item in candidates)
    local = sum(item.slots for item in candidates if item.is_local)
    parts = len({item.data_centre for item in candidates})
    if not slots:
        return REMOTE_PENALTY
    return REMOTE_PENALTY * min(MAX_PENALTY_FACTOR, max(1.0, local * parts / slots))


def choose_candidate(candidates: Sequence[Candidate]) -> Candidate | None:
    """Return the best candidate, or none if there is none.

    Only the candidates of the lowest rank count. They are compared first by data
    centre, local against others, and then by cost, slots and the daemon's own order.
    """
    if not candidates:
        return None
    lowest = min([item.rank for item in candidates])
    local = [item for item in candidates if item.is_local and item.rank == lowest]
    remote = [item for item in candidates if not item.is_local and item.rank == lowest]
    if not local:
        return _choose_by_order(remote)
    if remote:
        least_remote = min([item.cost for item in remote])
        limit = least_remote + REMOTE_PENALTY
        if min([item.cost for item in local]) > limit:
            # The full penalty is never smaller, and is seldom needed.
            limit = least_remote + compute_remote_penalty(candidates)
        local = [item for item in local if item.cost <= limit]
    return _choose_by_order(local or remote)


def _choose_by_order(candidates: Sequence[Candidate]) -> Candidate:
    if len(candidates) == 1:
        return candidates[0]
    return min(candidates, key=_compute_sort_key)


def _compute_sort_key(item: Candidate) -> float:
    return item.cost**COST_EXPONENT * item.order / max(1, item.slots)
