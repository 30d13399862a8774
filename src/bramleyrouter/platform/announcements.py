"""Decode the heartbeats of backend servers."""

from collections.abc import Collection

import msgspec
from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.fleet.records import ServerPhase, ServerRow
from bramleyrouter.ids import DataCentre, ServerId, ServerIncarnation, ServiceName
from bramleyrouter.utils.addresses import split_address

MILLISECONDS = 1000.0
_PHASES = {"ready": ServerPhase.READY, "draining": ServerPhase.DRAINING}


class _Heartbeat(msgspec.Struct, rename="camel"):
    service: str
    addr: str
    zone: str
    # Version of the server's software, not of its data.
    version: str
    slots: int
    state: str
    warmup_left_ms: float
    seq: int
    # Unix milliseconds of the server's start.
    born: int = 0


class _Leave(msgspec.Struct):
    born: int | None = None


_HEARTBEAT = msgspec.json.Decoder(_Heartbeat)
_LEAVE = msgspec.json.Decoder(_Leave)


def _invalid(text: str) -> Err[Failure]:
    return Err(Failure(Code.INVALID_ANNOUNCEMENT, text))


def decode_heartbeat(
    server_id: str, body: bytes, data_centres: Collection[str]
) -> Result[ServerRow, Failure]:
    """Decode a heartbeat; fail with ``INVALID_ANNOUNCEMENT``."""
    try:
        beat = _HEARTBEAT.decode(body)
        split_address(beat.addr)
    except (msgspec.MsgspecError, UnicodeDecodeError, ValueError) as exc:
        return _invalid(f'The heartbeat of "{server_id}" can\'t be read: {exc}.')
    phase = _PHASES.get(beat.state)
    if phase is None or not server_id or not beat.service:
        return _invalid(f'State "{beat.state}" of "{server_id}" is not known.')
    if data_centres and beat.zone not in data_centres:
        return _invalid(f'"{server_id}" names the unknown data centre "{beat.zone}".')
    if beat.slots <= 0 or beat.seq < 0 or beat.warmup_left_ms < 0 or beat.born < 0:
        return _invalid(f'A number in the heartbeat of "{server_id}" is negative.')
    return Ok(
        ServerRow(
            ServerId(server_id),
            ServerIncarnation(beat.born),
            beat.seq,
            ServiceName(beat.service),
            beat.addr,
            DataCentre(beat.zone),
            beat.slots,
            phase,
            beat.warmup_left_ms / MILLISECONDS,
        )
    )


def decode_leave(body: bytes) -> ServerIncarnation | None:
    """Return the incarnation that a server's withdrawal names, if any.

    Bytes that can't be read name none: the server that is known then leaves.
    """
    if not body:
        return None
    try:
        leave = _LEAVE.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
    return None if leave.born is None else ServerIncarnation(leave.born)
