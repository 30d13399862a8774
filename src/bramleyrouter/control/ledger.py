"""The submission ledger: who may dispatch a request, and how it ended.

Functions here are deterministic. ``now_ms`` is the log's time, which never
decreases. An identity is accepted only within its lifetime, and its record is
kept for as long; so an identity that is accepted is always recognised.
"""

import heapq
import re
from dataclasses import dataclass, field

import msgspec
from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.control.limits import (
    IDENTITY_LIFETIME_MS,
    MAX_ANSWER_BYTES,
    MAX_IDENTITY_LEAD_MS,
    MAX_LEDGER_ANSWER_BYTES,
    MAX_LEDGER_RECORDS,
    MAX_RETIRED_TOKENS,
)
from bramleyrouter.control.messages import Claim, ClaimResult, Settle
from bramleyrouter.failures import Failure
from bramleyrouter.ids import DaemonId, DaemonIncarnation
from bramleyrouter.states import Outcome

RecordKey = tuple[str, str]
# Milliseconds of the creation time, then what makes the id unique.
IDENTITY = re.compile(r"([0-9]{1,15})-.+", re.DOTALL)


class Record(msgspec.Struct, array_like=True, gc=False):
    """Hold one submission.

    Many are held, so the garbage collector does not track them; they refer to
    no container but a tuple of bytes.

    ``outcome`` is none while the claim is open. ``retired`` lists tokens that
    ended as not run: a late copy of their claim is not granted. An empty
    ``body_digest`` is of a record that a settlement made ahead of its claim.
    """

    body_digest: bytes
    claimant: DaemonId
    claimant_incarnation: DaemonIncarnation
    attempt_token: bytes
    outcome: Outcome | None = None
    code: int = 0
    answer: bytes = b""
    retired: tuple[bytes, ...] = ()


@dataclass
class Ledger:
    """Hold the records by (tenant, request id) and when each ends.

    ``ends`` is a heap of (time in milliseconds by the log, key).
    """

    records: dict[RecordKey, Record] = field(default_factory=dict)
    ends: list[tuple[int, RecordKey]] = field(default_factory=list)
    answer_bytes: int = 0


def parse_created_ms(request_id: str) -> int | None:
    """Return the creation time in an id such as "1764843456789-7f3a"."""
    match = IDENTITY.fullmatch(request_id)
    return int(match[1]) if match else None


def invalid_identity(request_id: str) -> Failure:
    """Return the failure of an id without a creation time."""
    text = (
        f'"{request_id}" is not an identity; milliseconds since 1970, "-" and a '
        "unique part were expected."
    )
    return Failure(Code.INVALID_IDENTITY, text)


def check_identity(request_id: str, now_ms: int) -> Result[int, Failure]:
    """Return the creation time of an identity that may be used now."""
    created_ms = parse_created_ms(request_id)
    if created_ms is None:
        return Err(invalid_identity(request_id))
    if created_ms - now_ms > MAX_IDENTITY_LEAD_MS:
        text = (
            f'Identity "{request_id}" was created {created_ms - now_ms} ms after the '
            f"ledger's time; at most {MAX_IDENTITY_LEAD_MS} ms are accepted."
        )
        return Err(Failure(Code.INVALID_IDENTITY, text))
    if now_ms - created_ms > IDENTITY_LIFETIME_MS:
        text = (
            f'Identity "{request_id}" was created more than '
            f"{IDENTITY_LIFETIME_MS} ms ago; its outcome is no longer known."
        )
        return Err(Failure(Code.IDENTITY_EXPIRED, text))
    return Ok(created_ms)


def is_full(ledger: Ledger) -> bool:
    """Return whether no new identity can be recorded."""
    return len(ledger.records) >= MAX_LEDGER_RECORDS


def ledger_full() -> Failure:
    """Return the failure of a claim that finds the ledger full."""
    text = f"The ledger holds {MAX_LEDGER_RECORDS} submissions and accepts no new one."
    return Failure(Code.LEDGER_FULL, text)


def expire_records(ledger: Ledger, now_ms: int) -> None:
    """Drop the records whose identities are refused from now on."""
    while ledger.ends and ledger.ends[0][0] < now_ms:
        _, key = heapq.heappop(ledger.ends)
        ledger.answer_bytes -= len(ledger.records.pop(key).answer)


def claim(ledger: Ledger, request: Claim, now_ms: int) -> ClaimResult:
    """Grant the claim, or tell what the ledger holds of an earlier one."""
    checked = check_identity(request.request_id, now_ms)
    if isinstance(checked, Err):
        return ClaimResult(False, failure=checked.err_value)
    key = (request.tenant, request.request_id)
    record = ledger.records.get(key)
    if record is None:
        if is_full(ledger):
            return ClaimResult(False, failure=ledger_full())
        _add_record(ledger, key, checked.ok_value, _open_record(request))
        return _granted(request)
    return _claim_again(ledger, key, record, request)


def _claim_again(
    ledger: Ledger, key: RecordKey, record: Record, request: Claim
) -> ClaimResult:
    if record.body_digest not in (b"", request.body_digest):
        text = f'Identity "{request.request_id}" was used before with another body.'
        return ClaimResult(False, failure=Failure(Code.IDENTITY_REUSED, text))
    is_same = record.attempt_token == request.attempt_token
    if record.outcome is None and is_same:
        return _granted(request)
    is_retired = request.attempt_token in record.retired
    if record.outcome is Outcome.NOT_RUN and not is_retired:
        ledger.answer_bytes -= len(record.answer)
        ledger.records[key] = _open_record(request, record.retired)
        return _granted(request)
    return ClaimResult(
        False,
        record.claimant,
        record.claimant_incarnation,
        record.outcome,
        record.code,
        record.answer,
    )


def settle(ledger: Ledger, request: Settle, now_ms: int) -> None:
    """Record the outcome of an open claim; its first settlement stays.

    A settlement from another token leaves the claim as it is. If it says "not
    run", its token is retired: its claimant gave up, and a copy of its claim
    that the network still holds must not be granted to nobody.
    """
    key = (request.tenant, request.request_id)
    record = ledger.records.get(key)
    if record is None:
        _retire_ahead(ledger, key, request, now_ms)
        return
    if record.attempt_token != request.attempt_token:
        if request.outcome is Outcome.NOT_RUN:
            _retire(record, request.attempt_token)
        return
    if record.outcome is not None:
        return
    record.outcome, record.code, record.answer = request.outcome, request.code, b""
    if request.outcome is Outcome.NOT_RUN:
        _retire(record, request.attempt_token)
    total = ledger.answer_bytes + len(request.answer)
    if len(request.answer) > MAX_ANSWER_BYTES or total > MAX_LEDGER_ANSWER_BYTES:
        if request.outcome is Outcome.DONE:
            record.code = int(Code.ANSWER_NOT_KEPT)
        return
    record.answer = request.answer
    ledger.answer_bytes = total


def _retire_ahead(ledger: Ledger, key: RecordKey, request: Settle, now_ms: int):
    checked = check_identity(request.request_id, now_ms)
    if request.outcome is not Outcome.NOT_RUN or isinstance(checked, Err):
        return
    if is_full(ledger):
        return
    record = Record(
        b"",
        DaemonId(""),
        DaemonIncarnation(0),
        request.attempt_token,
        request.outcome,
        request.code,
    )
    _retire(record, request.attempt_token)
    _add_record(ledger, key, checked.ok_value, record)


def _retire(record: Record, token: bytes) -> None:
    if token not in record.retired:
        record.retired = (*record.retired, token)[-MAX_RETIRED_TOKENS:]


def _add_record(ledger: Ledger, key: RecordKey, created_ms: int, record: Record):
    ledger.records[key] = record
    heapq.heappush(ledger.ends, (created_ms + IDENTITY_LIFETIME_MS, key))


def _open_record(request: Claim, retired: tuple[bytes, ...] = ()) -> Record:
    return Record(
        request.body_digest,
        request.claimant,
        request.claimant_incarnation,
        request.attempt_token,
        retired=retired,
    )


def _granted(request: Claim) -> ClaimResult:
    return ClaimResult(True, request.claimant, request.claimant_incarnation)
