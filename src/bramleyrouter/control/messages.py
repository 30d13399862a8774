"""Commands to the control daemons and their results."""

import msgspec

from bramleyrouter.board.sections import Manifest
from bramleyrouter.failures import Failure
from bramleyrouter.fleet.records import ServerRow, VersionNumber
from bramleyrouter.fleet.rollout_records import (
    Duration,
    RequiredName,
    RolloutState,
)
from bramleyrouter.ids import (
    DaemonId,
    DaemonIncarnation,
    DataCentre,
    Generation,
    OperatorRequestId,
    RequestId,
    Revision,
    ServerId,
    TableVersion,
    TenantName,
)
from bramleyrouter.states import Outcome


class Publish(msgspec.Struct, frozen=True, tag="publish"):
    """Publish a manifest; its generation must be larger than the current one."""

    request_id: OperatorRequestId
    operator: str
    manifest: Manifest


class PublishRoutes(msgspec.Struct, frozen=True, tag="routes"):
    """Publish a route table; the highest version takes effect.

    Unlike a manifest, a table whose version is not higher than the one in force
    is accepted and ignored, so a resend after a lost reply never fails.
    ``document`` is the table as the operator sent it.
    """

    version: TableVersion
    document: bytes

    def __repr__(self) -> str:
        """Return a text without the document, which may hold keys of customers."""
        return f"PublishRoutes(version={self.version})"


class SetAvailability(msgspec.Struct, frozen=True, tag="availability"):
    """Take a data centre or a backend server out of service, or back in.

    Exactly one of ``data_centre`` and ``server_id`` is set. With ``expected_revision``
    the change is refused unless that revision is in force, so that a request which is
    delayed on its way can't undo a later one.
    """

    request_id: OperatorRequestId
    operator: str
    is_out: bool
    data_centre: DataCentre | None = None
    server_id: ServerId | None = None
    expected_revision: Revision | None = None


class Claim(msgspec.Struct, frozen=True, tag="claim"):
    """Claim the right to dispatch a non-idempotent request, once.

    The claimant chooses a new ``attempt_token`` for each dispatch; a claim that is
    repeated with the same token is the same claim.
    """

    tenant: TenantName
    request_id: RequestId
    body_digest: bytes
    claimant: DaemonId
    claimant_incarnation: DaemonIncarnation
    attempt_token: bytes


class Settle(msgspec.Struct, frozen=True, tag="settle"):
    """Record the outcome of a claim; the claim's attempt token is required."""

    tenant: TenantName
    request_id: RequestId
    attempt_token: bytes
    outcome: Outcome
    code: int
    answer: bytes = b""


class Depart(msgspec.Struct, frozen=True, tag="depart"):
    """Record that a backend server drains or is gone, as its ``row`` says.

    Servers wait for this before they stop serving, so it has to hold after the loss of
    the control daemon that they told.
    """

    row: ServerRow


class StartRollout(msgspec.Struct, frozen=True, array_like=True):
    """Move the traffic of a service to the servers of a version, on trial first.

    The rollout ends within ``duration_s`` seconds. ``expected_sequence`` is that of the
    newest rollout of the service that the sender knows, 0 without one, so that an order
    that is delayed on its way starts nothing after a later one.
    """

    service: RequiredName
    version: RequiredName
    duration_s: Duration
    expected_sequence: VersionNumber = 0


class EndRollout(msgspec.Struct, frozen=True, array_like=True):
    """Move the rollout ``sequence`` of a service to its last phase, or end it."""

    service: RequiredName
    sequence: VersionNumber
    state: RolloutState
    reason: str = ""


Command = (
    Publish
    | PublishRoutes
    | SetAvailability
    | Claim
    | Settle
    | Depart
    | StartRollout
    | EndRollout
)


class OperatorResult(msgspec.Struct, frozen=True):
    """Reply to an operator's request; each resend gets the same reply."""

    revision: Revision
    generation: Generation
    failure: Failure | None = None


class ClaimResult(msgspec.Struct, frozen=True):
    """Reply to ``Claim``.

    If ``is_granted``, the claimant may dispatch with this attempt token.
    Otherwise ``failure`` is set (for instance, the identity was used with another
    body or has expired), or ``outcome`` and ``answer`` hold those of the earlier
    claim, or none of them is set because the earlier claim is not settled yet.
    """

    is_granted: bool
    claimant: DaemonId = DaemonId("")
    claimant_incarnation: DaemonIncarnation = DaemonIncarnation(0)
    outcome: Outcome | None = None
    code: int = 0
    answer: bytes = b""
    failure: Failure | None = None


class ConfigState(msgspec.Struct, frozen=True):
    """Hold the complete accepted configuration at one revision.

    ``digest`` is the digest of the other fields (see ``digests.py``); daemons at
    the same revision have the same digest.
    """

    revision: Revision
    manifest: Manifest | None
    data_centres_out: tuple[DataCentre, ...] = ()
    servers_out: tuple[ServerId, ...] = ()
    digest: bytes = b""


class ConfigDelta(msgspec.Struct, frozen=True):
    """Hold the change from one revision to the next.

    ``manifest`` is set only if it changed; the sets of what is out of service are
    always complete.
    """

    revision: Revision
    manifest: Manifest | None
    data_centres_out: tuple[DataCentre, ...]
    servers_out: tuple[ServerId, ...]
    digest: bytes
