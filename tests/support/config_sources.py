"""Fake of the replicated log, whose commits reach each control daemon."""

import asyncio
from bisect import bisect_right
from dataclasses import dataclass, field

import msgspec

from bramleyrouter.board.sections import Manifest, ServiceSpec
from bramleyrouter.control.digests import digest_config_state
from bramleyrouter.control.interfaces import ConfigSource
from bramleyrouter.control.messages import ConfigDelta, ConfigState

APPLY_DELAY_S = 0.002


@dataclass
class FakeLog:
    """Hold the committed states and the revision that each control daemon applied.

    Daemons whose names are in ``partitioned`` apply nothing and are not current.
    ``committed_at`` holds the loop times of the commits, in seconds.
    """

    states: list = field(default_factory=lambda: [ConfigState(0, None, digest=b"")])
    applied: dict = field(default_factory=dict)
    watchers: dict = field(default_factory=dict)
    partitioned: set = field(default_factory=set)
    committed_at: list = field(default_factory=lambda: [-1.0])

    def commit(self, **changes):
        """Commit a change of the state; return its revision."""
        old = self.states[-1]
        state = msgspec.structs.replace(old, revision=old.revision + 1, **changes)
        state = msgspec.structs.replace(state, digest=digest_config_state(state))
        self.states.append(state)
        loop = asyncio.get_running_loop()
        self.committed_at.append(loop.time())
        for name in self.applied:
            loop.call_later(APPLY_DELAY_S, self.apply_committed, name)
        return state.revision

    def get_revision_at(self, loop_time):
        """Return the revision that each current daemon had at a loop time."""
        return bisect_right(self.committed_at, loop_time - 2 * APPLY_DELAY_S) - 1

    def apply_committed(self, name):
        """Let one control daemon apply all committed states, unless partitioned."""
        if name in self.partitioned:
            return
        self.applied[name] = len(self.states) - 1
        for callback in self.watchers.get(name, ()):
            callback()

    def reconnect(self, name):
        """End the partition of a daemon and let it apply what it missed."""
        self.partitioned.discard(name)
        self.apply_committed(name)

    def build_source(self, name):
        """Build the source that the control daemon ``name`` reads.

        At first, that daemon has applied all committed states.
        """
        self.applied[name] = len(self.states) - 1
        self.watchers[name] = []

        def deltas_since(revision):
            return tuple(
                delta_between(self.states[number - 1], self.states[number])
                for number in range(revision + 1, self.applied[name] + 1)
            )

        return ConfigSource(
            lambda: self.states[self.applied[name]],
            deltas_since,
            self.watchers[name].append,
            lambda: name not in self.partitioned,
        )


def delta_between(old, new):
    """Return the change from one state to the next."""
    manifest = None if new.manifest == old.manifest else new.manifest
    return ConfigDelta(
        new.revision, manifest, new.data_centres_out, new.servers_out, new.digest
    )


def make_manifest(generation, services=3):
    """Return a manifest whose first service changes with the generation."""
    specs = [
        ServiceSpec(f"service{i}", (f"s{i}a", f"s{i}b"), ("v1",))
        for i in range(services)
    ]
    specs[0] = msgspec.structs.replace(specs[0], versions=(f"v{generation}",))
    return Manifest(generation, tuple(specs))
