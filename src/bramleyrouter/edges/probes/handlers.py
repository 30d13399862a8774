"""Handle requests for liveness, readiness and metrics."""

from collections.abc import Callable

import msgspec
from aioprometheus import Registry
from aioprometheus.renderer import render
from tornado.httputil import HTTPServerRequest

from bramleyrouter.board.blackboard import Board
from bramleyrouter.edges.http import EndpointSpec, HttpReply


def build_probe_endpoints(
    board: Board, registry: Registry, update_metrics: Callable[[], None]
) -> list[EndpointSpec]:
    """Build ``/livez``, ``/readyz`` (for the balancer) and ``/metrics``.

    ``update_metrics`` is called before each reply with metrics.
    """

    async def live(req: HTTPServerRequest, body: bytes) -> HttpReply:
        return HttpReply(200, b'{"live":true}')

    async def ready(req: HTTPServerRequest, body: bytes) -> HttpReply:
        reasons = sorted(board.readiness.reasons)
        text = msgspec.json.encode({"ready": not reasons, "reasons": reasons})
        return HttpReply(503 if reasons else 200, text)

    async def metrics(req: HTTPServerRequest, body: bytes) -> HttpReply:
        update_metrics()
        accepted_types = req.headers.get_list("Accept")
        content, headers = render(registry, accepted_types)
        return HttpReply(200, content, headers["Content-Type"])

    return [
        EndpointSpec("/livez", "GET", live),
        EndpointSpec("/readyz", "GET", ready),
        EndpointSpec("/metrics", "GET", metrics),
    ]
