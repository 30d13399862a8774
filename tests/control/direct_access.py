"""Operators' access to a state machine without a network."""

from dataclasses import dataclass, field

from result import Err, Ok

from bramleyrouter.board.sections import ConfigView
from bramleyrouter.codes import Code
from bramleyrouter.consensus.interfaces import LogStatus, Member
from bramleyrouter.control.codecs import encode_command
from bramleyrouter.control.interfaces import ControlAdmin, ControlClient
from bramleyrouter.control.replies import decode_operator_result
from bramleyrouter.control.state_machine import build_control_state_machine
from bramleyrouter.dissemination.interfaces import DaemonLag, Rollout
from bramleyrouter.edges.operators.handlers import OperatorAccess
from bramleyrouter.failures import Failure
from tests.control.builders import NOW_MS


@dataclass
class DirectControl:
    """Hold a state machine, the members and the lags of successive rollouts.

    ``refusals`` are returned in place of the next replies. With
    ``is_refused_change_applied`` the change is made nevertheless.
    """

    state_machine: object = field(default_factory=build_control_state_machine)
    members: dict = field(default_factory=lambda: {"m1": "127.0.0.1:7100"})
    behind: list = field(default_factory=list)
    silent: tuple = ()
    refusals: list = field(default_factory=list)
    is_refused_change_applied: bool = False
    operations: list = field(default_factory=list)

    def build_access(self):
        """Return the access for ``build_operator_endpoints``."""
        changes = self.add_member, self.remove_member
        admin = ControlAdmin(self.status, *changes, self.rollout, self.read_rollouts)
        client = ControlClient(self.operate, None, None, self.read_config)
        return OperatorAccess(
            client, admin, ConfigView, lambda operation: operation.server_id is None
        )

    async def read_rollouts(self, timeout_s):
        return Ok(tuple(self.state_machine.rollouts().by_service.values()))

    def refuse(self):
        return Err(Failure(self.refusals.pop(0), "refused")) if self.refusals else None

    async def operate(self, operation, timeout_s):
        self.operations.append(operation)
        refused = self.refuse()
        if refused and not self.is_refused_change_applied:
            return refused
        reply = self.state_machine.for_log.apply(1, NOW_MS, encode_command(operation))
        return refused or decode_operator_result(reply)

    async def read_config(self, timeout_s):
        return self.refuse() or Ok(self.state_machine.config())

    async def rollout(self, timeout_s):
        latest = self.state_machine.config().revision
        lags = self.behind.pop(0) if self.behind else ()
        lags = tuple(DaemonLag(*lag) for lag in lags)
        lowest = min([latest, *(lag.revision for lag in lags)])
        return Ok(
            Rollout(lowest, latest, 3, lags, len(lags), self.silent, len(self.silent))
        )

    async def status(self):
        members = tuple(Member(*member) for member in self.members.items())
        reached = LogStatus("m1", 4, True, "127.0.0.1:7100", 9, 9, members)
        unreachable = Err(Failure(Code.PEER_UNREACHABLE, "gone"))
        return ("127.0.0.1:7100", Ok(reached)), ("127.0.0.1:7200", unreachable)

    async def add_member(self, member, timeout_s):
        refused = self.refuse()
        if refused is None or self.is_refused_change_applied:
            self.members[member.member_id or "m2"] = member.address
        return refused or Ok(None)

    async def remove_member(self, member_id, timeout_s):
        refused = self.refuse()
        if refused and not self.is_refused_change_applied:
            return refused
        if self.members.pop(member_id, None) is None:
            return refused or Err(Failure(Code.UNKNOWN_MEMBER, member_id))
        return refused or Ok(None)
