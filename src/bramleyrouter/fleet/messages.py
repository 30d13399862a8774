"""Messages of the fleet stream from control daemons to entry daemons.

They are encoded as MessagePack arrays, which are compact for many small rows.
"""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

import msgspec
from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.fleet.records import (
    ServerRow,
    VersionedRow,
    check_row,
    drop_version,
)
from bramleyrouter.fleet.rollout_records import VersionRollout
from bramleyrouter.ids import DataCentre, Revision, TableVersion
from bramleyrouter.utils.decoding import DECODE_ERRORS


class Update(msgspec.Struct, frozen=True, array_like=True):
    """Carry changes; a field that is None did not change.

    An update without any field is a keepalive. With ``is_full``, ``rows`` replaces
    all earlier rows of the stream. The first update of a stream names the data
    centre of the control daemon. ``data_centres_out`` is valid only together with
    ``revision`` and ``members`` only together with ``members_index``; these two
    numbers order the values of different control daemons. ``entry_daemons`` is the
    number of entry daemons subscribed directly to this control daemon, by data
    centre. ``relays`` holds the address and data centre of each relay. An
    update names only the version of the route table; subscribers fetch the table
    itself, most of them from a control daemon in their own data centre.
    """

    rows: tuple[ServerRow, ...] = ()
    is_full: bool = False
    table_version: TableVersion | None = None
    revision: Revision | None = None
    data_centres_out: tuple[DataCentre, ...] = ()
    members_index: int | None = None
    members: tuple[str, ...] = ()
    entry_daemons: dict[DataCentre, int] | None = None
    data_centre: DataCentre | None = None
    relays: tuple[tuple[str, DataCentre], ...] | None = None


class RolloutUpdate(Update, frozen=True, array_like=True):
    """Carry the newest rollout of each service too, if ``rollouts_revision`` is set.

    That number orders the values of different control daemons. While a rollout is open,
    ``confirmed_revision`` says that the log of the control daemon was current, and that
    this was the newest number. Without rollouts, an update has the form that earlier
    releases read.
    """

    rollouts_revision: int | None = None
    rollouts: tuple[VersionRollout, ...] = ()
    confirmed_revision: int | None = None


# Fields that only ``RolloutUpdate`` has.
ROLLOUT_FIELDS = frozenset({"rollouts_revision", "rollouts", "confirmed_revision"})


class DecodedUpdate(NamedTuple):
    """Hold an update and why some of its rows were left out."""

    update: Update
    row_errors: tuple[Failure, ...]


# Payload of a subscription. An entry daemon sends DIRECT for the control daemon's own
# stream, or the address of another control daemon whose stream is to be forwarded. A
# control daemon sends MIRROR for a stream that it forwards to entry daemons.
DIRECT = b""
MIRROR = b"mirror"


class _UpdateFrame(Update, frozen=True, array_like=True):
    """Hold an update whose rows are not decoded yet."""

    rows: tuple[msgspec.Raw, ...] = ()  # type: ignore[assignment]


class _RolloutFrame(RolloutUpdate, frozen=True, array_like=True):
    """Hold an update with rollouts whose rows are not decoded yet."""

    rows: tuple[msgspec.Raw, ...] = ()  # type: ignore[assignment]


_ENCODER = msgspec.msgpack.Encoder()
_FRAME_DECODER = msgspec.msgpack.Decoder(_RolloutFrame)
_ROW_DECODER = msgspec.msgpack.Decoder(VersionedRow)


def encode_update(update: Update) -> bytes:
    """Encode an update as MessagePack."""
    return _ENCODER.encode(update)


def encode_updates(
    rows: tuple[ServerRow, ...], all_fields: Iterable[dict]
) -> Iterator[bytes]:
    """Encode updates that have their rows in common; each row is encoded once."""
    encoded = tuple(msgspec.Raw(_ENCODER.encode(row)) for row in rows)
    unchanged = _ENCODER.encode(_UpdateFrame(rows=encoded))
    for fields in all_fields:
        if fields:
            form = _UpdateFrame if ROLLOUT_FIELDS.isdisjoint(fields) else _RolloutFrame
            yield _ENCODER.encode(form(rows=encoded, **fields))
        else:
            yield unchanged


def decode_update(payload: bytes) -> Result[DecodedUpdate, Failure]:
    """Decode an update; fail with ``WIRE_MALFORMED``.

    A row that can't be read or whose fields are out of range is left out, so that it
    doesn't cost the other servers their changes.
    """
    try:
        frame = _FRAME_DECODER.decode(payload)
    except DECODE_ERRORS as exc:
        text = f"The fleet update can't be decoded: {exc}."
        return Err(Failure(Code.WIRE_MALFORMED, text))
    has_rollouts = not (
        frame.rollouts_revision is None and frame.confirmed_revision is None
    )
    form = RolloutUpdate if has_rollouts else Update
    fields = {
        name: getattr(frame, name) for name in form.__struct_fields__ if name != "rows"
    }
    decoded = [_decode_row(raw) for raw in frame.rows]
    rows = tuple(item.ok_value for item in decoded if isinstance(item, Ok))
    errors = tuple(item.err_value for item in decoded if isinstance(item, Err))
    return Ok(DecodedUpdate(form(rows=rows, **fields), errors))


def _decode_row(raw: msgspec.Raw) -> Result[ServerRow, Failure]:
    try:
        row = _ROW_DECODER.decode(raw)
    except DECODE_ERRORS as exc:
        text = f"A row can't be decoded: {exc}."
        return Err(Failure(Code.INVALID_ANNOUNCEMENT, text))
    return check_row(row if row.version else drop_version(row))
