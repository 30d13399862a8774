"""Decode the heartbeats and withdrawals of backend servers.

A heartbeat is the announcement that a server sends by HTTP on the platform.
"""

from collections.abc import Collection

import msgspec
from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.fleet.records import ServerPhase, ServerRow
from bramleyrouter.ids import DataCentre, ServerId, ServerIncarnation, ServiceName
from bramleyrouter.utils.addresses import split_address

MS_PER_SECOND = 1000.0
_PHASES = {"ready": ServerPhase.READY, "draining": ServerPhase.DRAINING}


class _Heartbeat(msgspec.Struct, rename="camel"):
    service: str
    addr: str
    zone: str
    # The version of the server's software, not of its data.
    version: str
    slots: int
    state: str
    warmup_left_ms: float
    seq: int
    # The start of the server in Unix milliseconds.
    born: int = 0


class _Withdrawal(msgspec.Struct):
    born: int | None = None


_HEARTBEAT_DECODER = msgspec.json.Decoder(_Heartbeat)
_WITHDRAWAL_DECODER = msgspec.json.Decoder(_Withdrawal)


def _build_invalid_announcement(text: str) -> Err[Failure]:
    return Err(Failure(Code.INVALID_ANNOUNCEMENT, text))


def decode_heartbeat(
    server_id: str, body: bytes, data_centres: Collection[str]
) -> Result[ServerRow, Failure]:
    """Decode a heartbeat; fail with ``INVALID_ANNOUNCEMENT``.

    An empty ``data_centres`` accepts any data centre.
    """
    try:
        heartbeat = _HEARTBEAT_DECODER.decode(body)
        split_address(heartbeat.addr)
    except (msgspec.MsgspecError, UnicodeDecodeError, ValueError) as exc:
        return _build_invalid_announcement(
            f'The heartbeat of "{server_id}" can\'t be read: {exc}.'
        )
    phase = _PHASES.get(heartbeat.state)
    if phase is None or not server_id or not heartbeat.service:
        return _build_invalid_announcement(
            f'State "{heartbeat.state}" of "{server_id}" is not known.'
        )
    if data_centres and heartbeat.zone not in data_centres:
        return _build_invalid_announcement(
            f'"{server_id}" names the unknown data centre "{heartbeat.zone}".'
        )
    if (
        heartbeat.slots <= 0
        or heartbeat.seq < 0
        or heartbeat.warmup_left_ms < 0
        or heartbeat.born < 0
    ):
        return _build_invalid_announcement(
            f'A number in the heartbeat of "{server_id}" is negative.'
        )
    return Ok(
        ServerRow(
            ServerId(server_id),
            ServerIncarnation(heartbeat.born),
            heartbeat.seq,
            ServiceName(heartbeat.service),
            heartbeat.addr,
            DataCentre(heartbeat.zone),
            heartbeat.slots,
            phase,
            heartbeat.warmup_left_ms / MS_PER_SECOND,
        )
    )


def decode_withdrawal(body: bytes) -> ServerIncarnation | None:
    """Return the incarnation named in a server's withdrawal, or None.

    A body that can't be decoded names no incarnation; the withdrawal then applies
    to the registered one.
    """
    if not body:
        return None
    try:
        withdrawal = _WITHDRAWAL_DECODER.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
    return None if withdrawal.born is None else ServerIncarnation(withdrawal.born)
