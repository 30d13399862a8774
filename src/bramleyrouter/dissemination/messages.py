"""Typed messages of the dissemination of configuration, and their encoding."""

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
# A whole manifest (4 MiB) with the sets of what is out; below the frame limit.
MAX_MESSAGE_BYTES = 6 * 1024 * 1024
# Daemons listed by name in a report or a rollout.
MAX_LISTED = 32

MANIFEST_UNCHANGED = 0
MANIFEST_WHOLE = 1
MANIFEST_DIFFERENCE = 2
ManifestForm = Annotated[int, msgspec.Meta(ge=0, le=MANIFEST_DIFFERENCE)]

NEVER_CONFIRMED = -1

_SCHEMA = capnp.load(str(Path(__file__).with_name("dissemination.capnp")))


class Change(msgspec.Struct, frozen=True, rename="camel"):
    """Carry one change; ``manifest`` is MessagePack in ``manifest_form``."""

    revision: Revision = Revision(0)
    manifest_form: ManifestForm = MANIFEST_UNCHANGED
    manifest: bytes = b""
    data_centres_out: tuple[DataCentre, ...] = ()
    servers_out: tuple[ServerId, ...] = ()
    digest: bytes = b""


class Update(msgspec.Struct, frozen=True, rename="camel"):
    """Carry consecutive changes, oldest first, or one whole state."""

    protocol_version: int = PROTOCOL_VERSION
    is_full: bool = False
    changes: tuple[Change, ...] = ()


class Subscription(msgspec.Struct, frozen=True, rename="camel"):
    """Ask for updates after ``revision``."""

    protocol_version: int = PROTOCOL_VERSION
    daemon_id: DaemonId = DaemonId("")
    incarnation: DaemonIncarnation = DaemonIncarnation(0)
    revision: Revision = Revision(0)
    digest: bytes = b""
    is_full_wanted: bool = False


class Lag(msgspec.Struct, frozen=True, rename="camel"):
    """Name a daemon that is behind and what it acknowledged."""

    daemon_id: DaemonId = DaemonId("")
    revision: Revision = Revision(0)


class Report(msgspec.Struct, frozen=True, rename="camel"):
    """Acknowledge for the sender and the daemons below it, its cover.

    The names of the cover travel only when the receiver lacks them.
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
    """Answer a report with the parent's revision and how old its proof is."""

    protocol_version: int = PROTOCOL_VERSION
    revision: Revision = Revision(0)
    digest: bytes = b""
    age_ms: int = NEVER_CONFIRMED
    is_child: bool = False
    wants_cover: bool = False
    is_learnt: bool = False


class RolloutRequest(msgspec.Struct, frozen=True, rename="camel"):
    """Ask a control daemon for its report; name the cover already held."""

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
    """Return the bytes of a message of this package."""
    return encode_message(_SCHEMAS[type(message)], message)


def decode(kind: type[Message], payload: bytes) -> Result[Message, Failure]:
    """Decode a message of ``kind``; fail with a ``WIRE_*`` code."""
    schema = _SCHEMAS[kind]
    return decode_message(schema, kind, payload, PROTOCOL_VERSION, MAX_MESSAGE_BYTES)
