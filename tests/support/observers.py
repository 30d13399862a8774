"""Checks that hold for every daemon at every time of a scenario."""

import asyncio
from dataclasses import dataclass, field

from bramleyrouter.dissemination.interfaces import CONFIGURATION_REASON
from bramleyrouter.histories.configurations import Observation, check_growth
from bramleyrouter.states import DaemonState

SAMPLE_S = 0.05


@dataclass
class ConfigObserver:
    """Hold what was seen of the daemons' configurations."""

    cluster: object
    log: object
    seen: list = field(default_factory=list)

    def sample(self):
        """Look at each daemon once; fail on a proof that is not true."""
        now = asyncio.get_running_loop().time()
        for daemon in self.cluster.daemons.values():
            config, identity = daemon.board.config, daemon.identity
            name = f"{identity.daemon_id}/{identity.incarnation}"
            self.seen.append(Observation(name, now, config.revision))
            assert config.confirmed_at <= now
            if config.confirmed_at > 0:
                needed = self.log.revision_at(config.confirmed_at)
                assert config.revision >= needed, (
                    f"{name} has {config.revision} at {now}, and claims that it was "
                    f"current at {config.confirmed_at}, when {needed} was."
                )
        for daemon in self.cluster.daemons.values():
            if daemon.address in self.cluster.control:
                self.check_rollout(daemon)

    def check_rollout(self, control):
        """Fail when a control daemon reports more than the daemons have."""
        rollout = control.dissemination.rollout()
        for record in control.board.daemons.records.values():
            daemon = self.cluster.daemons.get(record.daemon_id)
            if daemon is None or record.state is DaemonState.DEAD:
                continue
            board = daemon.board
            is_learnt = CONFIGURATION_REASON not in board.readiness.reasons
            if is_learnt and rollout.is_everywhere:
                assert board.config.revision >= rollout.revision, record.daemon_id

    async def run(self):
        """Sample until cancelled."""
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_S)

    def check(self):
        """Fail when a revision went back in one life of a daemon."""
        assert self.seen
        assert check_growth(self.seen) is None, check_growth(self.seen)


async def run_observed(cluster, log, scenario):
    """Run a scenario while the daemons are watched."""
    observer = ConfigObserver(cluster, log)
    task = asyncio.create_task(observer.run())
    try:
        await scenario
    finally:
        task.cancel()
    if task.done() and not task.cancelled():
        await task
    observer.sample()
    observer.check()
