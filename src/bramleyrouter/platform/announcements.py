"""Decode the heartbeats and withdrawals of backend servers.

A heartbeat is the announcement that a server sends by HTTP on the platform.
"""

from collections.abc import Collection

import msgspec
from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.fleet.records import (
    MAX_NAME_CHARACTERS,
    ServerPhase,
    ServerRow,
    VersionedRow,
    VersionNumber,
    check_row,
    drop_version,
)
from bramleyrouter.ids import DataCentre, ServerId, ServerIncarnation, ServiceName
from bramleyrouter.utils.decoding import DECODE_ERRORS

MS_PER_SECOND = 1000.0
# Largest difference by which a server's clock may be ahead of this VM's, in seconds.
# An incarnation further in the future would shut out the server's true one.
MAX_CLOCK_LEAD_S = 3600.0
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
    seq: VersionNumber
    # The start of the server in Unix milliseconds.
    born: VersionNumber = 0


class _Withdrawal(msgspec.Struct):
    born: VersionNumber | None = None


_HEARTBEAT_DECODER = msgspec.json.Decoder(_Heartbeat)
_WITHDRAWAL_DECODER = msgspec.json.Decoder(_Withdrawal)


def _build_invalid_announcement(text: str) -> Err[Failure]:
    return Err(Failure(Code.INVALID_ANNOUNCEMENT, text))


def _is_in_future(born_ms: int, now_s: float) -> bool:
    return born_ms > (now_s + MAX_CLOCK_LEAD_S) * MS_PER_SECOND


def _limit_version(version: str) -> str:
    """Return the version, or nothing if it is not a name that messages can carry.

    The server is in service all the same; only rollouts depend on versions.
    """
    is_name = version.isascii() and version.isprintable() and " " not in version
    return version if is_name and len(version) <= MAX_NAME_CHARACTERS else ""


def decode_heartbeat(
    server_id: str, body: bytes, data_centres: Collection[str], now_s: float
) -> Result[ServerRow, Failure]:
    """Decode a heartbeat; fail with ``INVALID_ANNOUNCEMENT``.

    An empty ``data_centres`` accepts any data centre. ``now_s`` is the time of day in
    Unix seconds.
    """
    try:
        heartbeat = _HEARTBEAT_DECODER.decode(body)
    except DECODE_ERRORS as exc:
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
    if heartbeat.slots <= 0:
        return _build_invalid_announcement(
            f'"{server_id}" declares "{heartbeat.slots}" slots; 1 or more are expected.'
        )
    if _is_in_future(heartbeat.born, now_s):
        return _build_invalid_announcement(
            f'"{server_id}" claims to start in the future, at "{heartbeat.born}" ms.'
        )
    row = VersionedRow(
        ServerId(server_id),
        ServerIncarnation(heartbeat.born),
        heartbeat.seq,
        ServiceName(heartbeat.service),
        heartbeat.addr,
        DataCentre(heartbeat.zone),
        heartbeat.slots,
        phase,
        heartbeat.warmup_left_ms / MS_PER_SECOND,
        version=_limit_version(heartbeat.version),
    )
    return check_row(row if row.version else drop_version(row))


def decode_withdrawal(
    body: bytes, now_s: float
) -> Result[ServerIncarnation | None, Failure]:
    """Return the incarnation named in a server's withdrawal, or none if it names none.

    Fail with ``INVALID_ANNOUNCEMENT`` if a body is there that can't be read: it names
    no server to remove. ``now_s`` is the time of day in Unix seconds.
    """
    if not body:
        return Ok(None)
    try:
        withdrawal = _WITHDRAWAL_DECODER.decode(body)
    except DECODE_ERRORS as exc:
        return _build_invalid_announcement(f"The withdrawal can't be read: {exc}.")
    if withdrawal.born is None:
        return Ok(None)
    if _is_in_future(withdrawal.born, now_s):
        text = f'The withdrawal names the future start "{withdrawal.born}" ms.'
        return _build_invalid_announcement(text)
    return Ok(ServerIncarnation(withdrawal.born))
