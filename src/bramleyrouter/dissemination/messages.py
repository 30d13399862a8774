"""Messages of dissemination and their encoding in Cap'n Proto."""

from pathlib import Path
from typing import Annotated

import capnp
import msgspec
from result import Result

from bramleyrouter.failures import Failure
from bramleyrouter.ids import (
    DaemonId,
    DaemonIncarnation,
    DataCentre,
    Revision,
    ServerId,
)
from bramleyrouter.utils.schemas import Message, decode_message, encode_message

PROTOCOL_VERSION = 1
# A whole manifest (4 MiB) with the servers and data centres that are taken out;
# below the frame limit.
MAX_MESSAGE_BYTES = 6 * 1024 * 1024
# Most daemons that each list of a report or rollout (behind, silent) names.
MAX_LISTED_DAEMONS = 32

MANIFEST_UNCHANGED = 0
MANIFEST_WHOLE = 1
MANIFEST_DIFFERENCE = 2
ManifestForm = Annotated[int, msgspec.Meta(ge=0, le=MANIFEST_DIFFERENCE)]

# Value of ``Heartbeat.age_ms`` if control has not confirmed any revision.
NEVER_CONFIRMED = -1

_SCHEMA = capnp.load(str(Path(__file__).with_name("dissemination.capnp")))


class Change(msgspec.Struct, frozen=True, rename="camel"):
    """Carry one configuration change, or the whole state in a full update.

    ``manifest`` is MessagePack of what ``manifest_form`` says: nothing, a whole
    manifest or a ``ManifestDifference``.
    """

    revision: Revision = Revision(0)
    manifest_form: ManifestForm = MANIFEST_UNCHANGED
    manifest: bytes = b""
    data_centres_out: tuple[DataCentre, ...] = ()
    servers_out: tuple[ServerId, ...] = ()
    digest: bytes = b""


class Update(msgspec.Struct, frozen=True, rename="camel"):
    """Carry consecutive changes, the oldest first, or one whole state."""

    protocol_version: int = PROTOCOL_VERSION
    is_full: bool = False
    changes: tuple[Change, ...] = ()


class Subscription(msgspec.Struct, frozen=True, rename="camel"):
    """Request the changes after ``revision``.

    ``digest`` is that of the subscriber's configuration at ``revision``; if the
    parent has another one for that revision, it sends the whole state.
    """

    protocol_version: int = PROTOCOL_VERSION
    daemon_id: DaemonId = DaemonId("")
    incarnation: DaemonIncarnation = DaemonIncarnation(0)
    revision: Revision = Revision(0)
    digest: bytes = b""
    is_full_wanted: bool = False


class Lag(msgspec.Struct, frozen=True, rename="camel"):
    """Hold a daemon that is behind and the revision that it acknowledged."""

    daemon_id: DaemonId = DaemonId("")
    revision: Revision = Revision(0)


class Report(msgspec.Struct, frozen=True, rename="camel"):
    """Acknowledge revisions for the sender and the daemons below it in the tree.

    Those daemons, the sender included, are the report's cover. ``cover`` names
    them, but is sent only if the receiver does not hold the same set already
    (``has_cover``). ``revision`` is the sender's own revision, ``min_revision``
    the lowest of the cover. ``behind`` lists at most ``MAX_LISTED_DAEMONS`` daemons
    that acknowledged only an older revision; ``behind_count`` counts all of them.
    """

    protocol_version: int = PROTOCOL_VERSION
    daemon_id: DaemonId = DaemonId("")
    incarnation: DaemonIncarnation = DaemonIncarnation(0)
    revision: Revision = Revision(0)
    min_revision: Revision = Revision(0)
    cover_digest: int = 0
    has_cover: bool = False
    cover: tuple[DaemonId, ...] = ()
    behind: tuple[Lag, ...] = ()
    behind_count: int = 0


class Heartbeat(msgspec.Struct, frozen=True, rename="camel"):
    """Reply to a report with the parent's revision and the age of its confirmation.

    ``age_ms`` is the time in milliseconds since control confirmed the revision,
    or ``NEVER_CONFIRMED``. ``is_child`` states whether the sender of the report
    is subscribed to this parent, ``wants_cover`` whether its next report must
    name its cover, ``is_learnt`` whether the parent holds a configuration that
    it may serve with.
    """

    protocol_version: int = PROTOCOL_VERSION
    revision: Revision = Revision(0)
    digest: bytes = b""
    age_ms: int = NEVER_CONFIRMED
    is_child: bool = False
    wants_cover: bool = False
    is_learnt: bool = False


class RolloutRequest(msgspec.Struct, frozen=True, rename="camel"):
    """Request a control daemon's report.

    ``cover_digest`` is the digest of the cover that the requesting daemon holds.
    """

    protocol_version: int = PROTOCOL_VERSION
    cover_digest: int = 0


_SCHEMAS = {
    Update: _SCHEMA.Update,
    Subscription: _SCHEMA.Subscription,
    Report: _SCHEMA.Report,
    Heartbeat: _SCHEMA.Heartbeat,
    RolloutRequest: _SCHEMA.RolloutRequest,
}


def encode(message: msgspec.Struct) -> bytes:
    """Encode a message of this package."""
    return encode_message(_SCHEMAS[type(message)], message)


def decode(message_type: type[Message], payload: bytes) -> Result[Message, Failure]:
    """Decode a message of ``message_type``; fail with a ``WIRE_*`` code."""
    schema = _SCHEMAS[message_type]
    return decode_message(
        schema, message_type, payload, PROTOCOL_VERSION, MAX_MESSAGE_BYTES
    )
