"""Check invariants of all daemons while a scenario runs."""

import asyncio
from dataclasses import dataclass, field

from bramleyrouter.dissemination.interfaces import CONFIGURATION_REASON
from bramleyrouter.histories.configurations import Observation, check_growth
from bramleyrouter.states import DaemonState

SAMPLE_INTERVAL_S = 0.05


@dataclass
class ConfigObserver:
    """Hold the configurations that were observed at the daemons."""

    cluster: object
    log: object
    observations: list = field(default_factory=list)

    def sample(self):
        """Observe each daemon once; fail if it confirmed an outdated configuration.

        A daemon whose configuration was confirmed at a time must have the revision
        that was current then.
        """
        now = asyncio.get_running_loop().time()
        for daemon in self.cluster.daemons.values():
            config, identity = daemon.board.config, daemon.identity
            name = f"{identity.daemon_id}/{identity.incarnation}"
            self.observations.append(Observation(name, now, config.revision))
            assert config.confirmed_at <= now
            if config.confirmed_at > 0:
                required_revision = self.log.revision_at(config.confirmed_at)
                assert config.revision >= required_revision, (
                    f"{name} has {config.revision} at {now}, and claims that it was "
                    f"current at {config.confirmed_at}, when {required_revision} was."
                )
        for daemon in self.cluster.daemons.values():
            if daemon.address in self.cluster.control:
                self.check_rollout(daemon)

    def check_rollout(self, control):
        """Fail if a control daemon reports a rollout as complete when it is not."""
        rollout = control.dissemination.rollout()
        for record in control.board.daemons.records.values():
            daemon = self.cluster.daemons.get(record.daemon_id)
            if daemon is None or record.state is DaemonState.DEAD:
                continue
            board = daemon.board
            has_configuration = CONFIGURATION_REASON not in board.readiness.reasons
            if has_configuration and rollout.is_in_force_everywhere:
                assert board.config.revision >= rollout.revision, record.daemon_id

    async def run(self):
        """Observe all daemons periodically until cancelled."""
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def check(self):
        """Fail if the revision of a daemon decreased within one incarnation."""
        assert self.observations
        assert check_growth(self.observations) is None, check_growth(self.observations)


async def run_observed(cluster, log, scenario):
    """Run a scenario while all daemons are observed, then check the records."""
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
