"""Fake homes whose servers have slots, queues and service times."""

import asyncio
from collections import deque
from dataclasses import dataclass, field

from result import Ok

from bramleyrouter.codes import Code
from bramleyrouter.homes.interfaces import HomeClient
from tests.support.routing_fakes import ok_reply


@dataclass
class FakeServer:
    """Hold one server's running count and its home's queue."""

    in_flight: int = 0
    queue: deque = field(default_factory=deque)
    served: int = 0


@dataclass
class CapacityHomes:
    """Hold servers that serve ``slots`` requests at once, each for a time.

    ``service_s(rng, server_id)`` draws the time. More than ``max_queue``
    waiting requests are refused; one whose time is over is dropped unserved.
    """

    rng: object
    service_s: object
    slots: int = 2
    max_queue: int = 20
    servers: dict = field(default_factory=dict)

    def dispatch(self, home, batch, on_reply, on_end):
        """Queue each group at its server."""
        loop, open_groups = asyncio.get_running_loop(), set()
        expires = loop.time() + batch.remaining_s
        open_groups.update(group.attempt for group in batch.groups)

        def reply(group, code, queue_s=0.0, service_s=0.0):
            if group.attempt not in open_groups:
                return
            open_groups.discard(group.attempt)
            server = self.servers[group.server_id]
            changes = dict(code=code, queue_s=queue_s, service_s=service_s)
            if code is not Code.OK:
                changes["results"] = {}
            in_flight = server.in_flight + len(server.queue)
            on_reply(ok_reply(batch, group, in_flight=in_flight, **changes))
            if not open_groups:
                on_end(Ok(None))

        for group in batch.groups:
            server = self.servers.setdefault(group.server_id, FakeServer())
            if len(server.queue) >= self.max_queue:
                loop.call_soon(reply, group, Code.QUEUE_FULL)
                continue
            server.queue.append((group, loop.time(), expires, open_groups, reply))
            self._serve(group.server_id, server)
        return open_groups.clear

    def _serve(self, server_id, server):
        loop = asyncio.get_running_loop()
        while server.queue and server.in_flight < self.slots:
            group, queued_at, expires, open_groups, reply = server.queue.popleft()
            waited = loop.time() - queued_at
            if group.attempt not in open_groups:
                continue
            if loop.time() >= expires:
                loop.call_soon(reply, group, Code.QUEUE_DEADLINE, waited)
                continue
            service_s = self.service_s(self.rng, server_id)
            server.in_flight += 1

            def ended(group=group, reply=reply, waited=waited, service_s=service_s):
                server.in_flight -= 1
                server.served += 1
                reply(group, Code.OK, waited, service_s)
                self._serve(server_id, server)

            loop.call_later(service_s, ended)

    def client(self):
        """Return the interface; submissions are not used here."""
        return HomeClient(self.dispatch, None)
