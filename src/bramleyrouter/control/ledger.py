"""The submission ledger: which daemon may dispatch a request, and its outcome.

The functions are deterministic. ``now_ms`` is the log's time in milliseconds,
which never decreases. An identity (request id with creation time) is accepted only
within its lifetime, and its record is stored for as long, so an earlier use of an
accepted identity is always known.
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
# The creation time in milliseconds, followed by a unique part.
IDENTITY_PATTERN = re.compile(r"([0-9]{1,15})-.+", re.DOTALL)


class SubmissionRecord(msgspec.Struct, array_like=True, gc=False):
    """Hold the claim and outcome of one submission.

    The ledger stores many records, so they are excluded from cyclic garbage
    collection. This is safe because a record can't be part of a reference cycle: its
    only container is a tuple of bytes.

    ``outcome`` is none while the claim is open. ``retired`` lists the attempt
    tokens settled as not run; a delayed copy of their claim is not granted. The
    ``body_digest`` is empty if a settlement created the record before its claim
    arrived.
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
    """Hold the records by (tenant, request id) and their expiry times.

    ``expiries`` is a heap of (log time in milliseconds, key).
    """

    records: dict[RecordKey, SubmissionRecord] = field(default_factory=dict)
    expiries: list[tuple[int, RecordKey]] = field(default_factory=list)
    answer_bytes: int = 0


def parse_created_ms(request_id: str) -> int | None:
    """Return the creation time in an id such as "1764843456789-7f3a"."""
    match = IDENTITY_PATTERN.fullmatch(request_id)
    return int(match[1]) if match else None


def build_invalid_identity_failure(request_id: str) -> Failure:
    """Build the failure for a request id without a creation time."""
    text = (
        f'"{request_id}" is not an identity; milliseconds since 1970, "-" and a '
        "unique part were expected."
    )
    return Failure(Code.INVALID_IDENTITY, text)


def check_identity(request_id: str, now_ms: int) -> Result[int, Failure]:
    """Return the creation time (ms) of an identity if it is valid now.

    Fail with ``INVALID_IDENTITY`` or ``IDENTITY_EXPIRED``.
    """
    created_ms = parse_created_ms(request_id)
    if created_ms is None:
        return Err(build_invalid_identity_failure(request_id))
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
    """Return whether the ledger accepts no new identity."""
    return len(ledger.records) >= MAX_LEDGER_RECORDS


def build_ledger_full_failure() -> Failure:
    """Build the failure for a claim that a full ledger refuses."""
    text = f"The ledger holds {MAX_LEDGER_RECORDS} submissions and accepts no new one."
    return Failure(Code.LEDGER_FULL, text)


def expire_records(ledger: Ledger, now_ms: int) -> None:
    """Remove the records whose identities have expired."""
    while ledger.expiries and ledger.expiries[0][0] < now_ms:
        _, key = heapq.heappop(ledger.expiries)
        ledger.answer_bytes -= len(ledger.records.pop(key).answer)


def claim(ledger: Ledger, request: Claim, now_ms: int) -> ClaimResult:
    """Grant the claim, or return what the ledger holds about an earlier one."""
    checked = check_identity(request.request_id, now_ms)
    if isinstance(checked, Err):
        return ClaimResult(False, failure=checked.err_value)
    key = (request.tenant, request.request_id)
    record = ledger.records.get(key)
    if record is None:
        if is_full(ledger):
            return ClaimResult(False, failure=build_ledger_full_failure())
        _add_record(ledger, key, checked.ok_value, _build_open_record(request))
        return _build_granted_result(request)
    return _claim_recorded_identity(ledger, key, record, request)


def _claim_recorded_identity(
    ledger: Ledger, key: RecordKey, record: SubmissionRecord, request: Claim
) -> ClaimResult:
    if record.body_digest not in (b"", request.body_digest):
        text = f'Identity "{request.request_id}" was used before with another body.'
        return ClaimResult(False, failure=Failure(Code.IDENTITY_REUSED, text))
    is_same_attempt = record.attempt_token == request.attempt_token
    if record.outcome is None and is_same_attempt:
        return _build_granted_result(request)
    is_retired = request.attempt_token in record.retired
    if record.outcome is Outcome.NOT_RUN and not is_retired:
        ledger.answer_bytes -= len(record.answer)
        ledger.records[key] = _build_open_record(request, record.retired)
        return _build_granted_result(request)
    return ClaimResult(
        False,
        record.claimant,
        record.claimant_incarnation,
        record.outcome,
        record.code,
        record.answer,
    )


def settle(ledger: Ledger, request: Settle, now_ms: int) -> None:
    """Record the outcome of an open claim; later settlements do not change it.

    A settlement with another attempt token leaves the claim unchanged. If its
    outcome is "not run", its token is retired: its claimant has given up, so a
    delayed copy of its claim must not be granted, as nobody would settle it.
    """
    key = (request.tenant, request.request_id)
    record = ledger.records.get(key)
    if record is None:
        _retire_before_claim(ledger, key, request, now_ms)
        return
    if record.attempt_token != request.attempt_token:
        if request.outcome is Outcome.NOT_RUN:
            _retire_token(record, request.attempt_token)
        return
    if record.outcome is not None:
        return
    record.outcome, record.code, record.answer = request.outcome, request.code, b""
    if request.outcome is Outcome.NOT_RUN:
        _retire_token(record, request.attempt_token)
    total_answer_bytes = ledger.answer_bytes + len(request.answer)
    if (
        len(request.answer) > MAX_ANSWER_BYTES
        or total_answer_bytes > MAX_LEDGER_ANSWER_BYTES
    ):
        if request.outcome is Outcome.DONE:
            record.code = int(Code.ANSWER_NOT_KEPT)
        return
    record.answer = request.answer
    ledger.answer_bytes = total_answer_bytes


def _retire_before_claim(ledger: Ledger, key: RecordKey, request: Settle, now_ms: int):
    """Retire the token of a claim that was settled as not run before it arrived.

    The record prevents that the claim is granted if a delayed copy still arrives.
    """
    checked = check_identity(request.request_id, now_ms)
    if request.outcome is not Outcome.NOT_RUN or isinstance(checked, Err):
        return
    if is_full(ledger):
        return
    record = SubmissionRecord(
        b"",
        DaemonId(""),
        DaemonIncarnation(0),
        request.attempt_token,
        request.outcome,
        request.code,
    )
    _retire_token(record, request.attempt_token)
    _add_record(ledger, key, checked.ok_value, record)


def _retire_token(record: SubmissionRecord, token: bytes) -> None:
    if token not in record.retired:
        record.retired = (*record.retired, token)[-MAX_RETIRED_TOKENS:]


def _add_record(
    ledger: Ledger, key: RecordKey, created_ms: int, record: SubmissionRecord
):
    ledger.records[key] = record
    heapq.heappush(ledger.expiries, (created_ms + IDENTITY_LIFETIME_MS, key))


def _build_open_record(
    request: Claim, retired: tuple[bytes, ...] = ()
) -> SubmissionRecord:
    return SubmissionRecord(
        request.body_digest,
        request.claimant,
        request.claimant_incarnation,
        request.attempt_token,
        retired=retired,
    )


def _build_granted_result(request: Claim) -> ClaimResult:
    return ClaimResult(True, request.claimant, request.claimant_incarnation)
