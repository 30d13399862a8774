"""Submissions: non-idempotent requests that are dispatched at most once.

A daemon claims a submission in the replicated ledger before it dispatches it,
and settles the claim with the outcome.
"""

import asyncio
import hashlib
from dataclasses import dataclass, field

from absl import logging
from result import Err

from bramleyrouter.codes import Code
from bramleyrouter.control.messages import Claim, ClaimResult, Settle
from bramleyrouter.homes.messages import SubmitReply, SubmitRequest
from bramleyrouter.ids import RequestId, ServerId, TenantName
from bramleyrouter.routing.concurrency_limit import record_attempt, record_query
from bramleyrouter.routing.contexts import Context, update_staleness
from bramleyrouter.routing.messages import Submission, SubmissionAnswer
from bramleyrouter.routing.replica_choice import BACKOFF_S, choose_replica
from bramleyrouter.routing.replica_index import ReplicaView
from bramleyrouter.routing.retries import RetryKind, classify_failure
from bramleyrouter.states import DaemonState, Outcome

# Length of the digest by which the ledger detects a different body.
DIGEST_BYTES = 16
TOKEN_BYTES = 16
# Time-out of one call to the ledger, in seconds; the call is then repeated.
LEDGER_CALL_TIMEOUT_S = 1.0
# Pauses between two calls to the ledger, in seconds: after a failed call, and
# while another daemon holds an unsettled claim.
LEDGER_RETRY_PAUSE_S = 0.02
CLAIMANT_POLL_INTERVAL_S = 0.05
# Time reserved before the deadline to send the answer, in seconds.
ANSWER_MARGIN_S = 0.005
# Maximum number of servers that a submission is sent to, one after another, while
# each replies that it did not run it.
MAX_SERVERS_TRIED = 3
# Time for which a settle call without confirmation is retried, and the longest
# pause between two retries, in seconds.
SETTLE_RETRY_PERIOD_S = 60.0
MAX_SETTLE_PAUSE_S = 2.0
# Time for which a graceful stop waits for settle calls that are being retried, in
# seconds. The homes are handed over afterwards.
DRAIN_SETTLE_TIMEOUT_S = 3.0
# Maximum number of running submissions, including those that wait for the ledger,
# as a multiple of the requests that admission lets run and wait.
SUBMISSIONS_PER_PERMIT = 4

SubmissionIdentity = tuple[TenantName, RequestId]
# Codes after which a retry of a settle call can't succeed.
_FINAL_SETTLE_CODES = {Code.IDENTITY_EXPIRED, Code.IDENTITY_REUSED}


@dataclass(eq=False)
class RunningSubmission:
    """Hold a submission running in this daemon; resends of the same body join it."""

    digest: bytes
    task: asyncio.Task[SubmissionAnswer]


@dataclass
class SubmissionState:
    """Hold the running submissions and the settle calls that are being retried.

    ``unsettled`` has the body digest and the outcome of submissions whose outcome
    the ledger has not confirmed. ``token_count`` counts the attempt tokens.
    """

    running: dict[SubmissionIdentity, RunningSubmission] = field(default_factory=dict)
    unsettled: dict[SubmissionIdentity, tuple[bytes, Settle]] = field(
        default_factory=dict
    )
    settle_tasks: set[asyncio.Task] = field(default_factory=set)
    token_count: int = 0


async def execute_submission(
    ctx: Context, state: SubmissionState, req: Submission
) -> SubmissionAnswer:
    """Execute a submission, or join its execution in this daemon.

    The identity of a submission is its tenant and request ID. The execution
    continues when the calling task is cancelled, so that its claim is settled.
    """
    identity = (req.tenant, req.request_id)
    digest = hashlib.blake2b(req.body, digest_size=DIGEST_BYTES).digest()
    running = state.running.get(identity)
    known_digest = (
        running.digest if running else state.unsettled.get(identity, (digest,))[0]
    )
    if known_digest != digest:
        text = "The identity is in use by a request with another body."
        return _build_answer(req, Outcome.NOT_RUN, Code.IDENTITY_REUSED, text)
    if running is not None:
        return await _join_running(ctx, running, req)
    if identity in state.unsettled:
        settle = state.unsettled[identity][1]
        if settle.outcome is not Outcome.NOT_RUN:
            code = Code(settle.code)
            return _build_answer(req, settle.outcome, code, answer=settle.answer)
    permits = ctx.cfg.max_running_queries + ctx.cfg.max_waiting_queries
    if len(state.running) >= SUBMISSIONS_PER_PERMIT * permits:
        text = "Too many submissions run in this daemon."
        return _build_undecided_answer(req, text)
    coroutine = _run_submission(ctx, state, req, digest)
    task = asyncio.get_running_loop().create_task(coroutine)
    state.running[identity] = RunningSubmission(digest, task)
    task.add_done_callback(lambda _: state.running.pop(identity, None))
    return await asyncio.shield(task)


async def _join_running(
    ctx: Context, running: RunningSubmission, req: Submission
) -> SubmissionAnswer:
    remaining_s = req.deadline - ANSWER_MARGIN_S - ctx.clock()
    done, _ = await asyncio.wait({running.task}, timeout=max(remaining_s, 0))
    if done:
        return running.task.result()
    text = "The first run of this request has not ended."
    return _build_answer(req, Outcome.UNKNOWN, Code.OUTCOME_UNKNOWN, text)


async def drain_submissions(state: SubmissionState) -> None:
    """Wait for running submissions, then for settle calls that are retried.

    The second wait is limited to DRAIN_SETTLE_TIMEOUT_S.
    """
    while state.running:
        await asyncio.wait([running.task for running in state.running.values()])
    if state.settle_tasks:
        await asyncio.wait(state.settle_tasks, timeout=DRAIN_SETTLE_TIMEOUT_S)


async def _run_submission(
    ctx: Context, state: SubmissionState, req: Submission, digest: bytes
) -> SubmissionAnswer:
    own_identity = ctx.board.identity
    claim = Claim(
        tenant=req.tenant,
        request_id=req.request_id,
        body_digest=digest,
        claimant=own_identity.daemon_id,
        claimant_incarnation=own_identity.incarnation,
        attempt_token=_build_attempt_token(ctx, state),
    )
    answer = await _claim(ctx, state, req, claim)
    if answer is None:
        answer = await _execute_claimed_submission(ctx, state, req)
        await _settle_claim(ctx, state, req, claim, answer)
    return answer


def _build_attempt_token(ctx: Context, state: SubmissionState) -> bytes:
    """Return a token that is unique to this attempt.

    It is derived from the daemon, its incarnation and a counter, so that daemons
    with the same random seed never build the same token.
    """
    own_identity = ctx.board.identity
    state.token_count += 1
    text = f"{own_identity.daemon_id}/{own_identity.incarnation}/{state.token_count}"
    salt = ctx.rng.randbytes(TOKEN_BYTES)
    return hashlib.blake2b(text.encode(), key=salt, digest_size=TOKEN_BYTES).digest()


async def _claim(
    ctx: Context, state: SubmissionState, req: Submission, claim: Claim
) -> SubmissionAnswer | None:
    """Repeat the claim until the ledger decides; return None if it is granted.

    All calls use the same token, so that the ledger recognises a claim whose reply
    was lost. If the reply to the last call is missing, the claim may be recorded.
    Nothing was dispatched for it, so it is settled as not run.
    """
    may_be_recorded = is_claimed_elsewhere = False
    while True:
        remaining_s = req.deadline - ANSWER_MARGIN_S - ctx.clock()
        if remaining_s <= 0:
            break
        reply = await ctx.control_client.claim(
            claim, min(remaining_s, LEDGER_CALL_TIMEOUT_S)
        )
        if isinstance(reply, Err):
            may_be_recorded = True
            if reply.err_value.code is not Code.LEDGER_UNREACHABLE:
                break
            await _pause_before_retry(ctx, req, LEDGER_RETRY_PAUSE_S)
            continue
        result = reply.unwrap()
        if result.is_granted:
            return None
        may_be_recorded, is_claimed_elsewhere = False, True
        answer = _interpret_earlier_claim(ctx, req, claim, result)
        if answer is not None:
            return answer
        if req.deadline - ANSWER_MARGIN_S - ctx.clock() <= CLAIMANT_POLL_INTERVAL_S:
            text = "The daemon that runs this request has not settled it."
            return _build_answer(req, Outcome.UNKNOWN, Code.OUTCOME_UNKNOWN, text)
        await asyncio.sleep(CLAIMANT_POLL_INTERVAL_S)
    text = "The ledger could not be reached by the deadline."
    if may_be_recorded:
        not_run = _build_not_run_answer(req, Code.LEDGER_UNREACHABLE, text)
        _settle_in_background(ctx, state, claim, _build_settle(claim, not_run))
    if is_claimed_elsewhere:
        return _build_answer(req, Outcome.UNKNOWN, Code.OUTCOME_UNKNOWN, text)
    return _build_undecided_answer(req, text)


async def _pause_before_retry(ctx: Context, req: Submission, pause_s: float) -> None:
    remaining_s = req.deadline - ANSWER_MARGIN_S - ctx.clock()
    await asyncio.sleep(max(0.0, min(pause_s, remaining_s)))


def _interpret_earlier_claim(
    ctx: Context, req: Submission, claim: Claim, result: ClaimResult
) -> SubmissionAnswer | None:
    """Return the answer that an earlier claim implies, or None to keep waiting.

    A claimant that still runs is waited for. If it has failed, the outcome of the
    submission is unknown.
    """
    if result.failure is not None:
        code, text = result.failure.code, result.failure.text
        outcome = Outcome.UNKNOWN if code >= Code.OUTCOME_UNKNOWN else Outcome.NOT_RUN
        return _build_answer(req, outcome, code, text)
    if result.outcome is not None:
        code = Code(result.code)
        return _build_answer(req, result.outcome, code, answer=result.answer)
    if _is_claimant_alive(ctx, result, claim):
        return None
    text = f'Daemon "{result.claimant}" was lost while it ran the request.'
    return _build_answer(req, Outcome.UNKNOWN, Code.CLAIMANT_LOST, text)


def _is_claimant_alive(ctx: Context, result: ClaimResult, claim: Claim) -> bool:
    if result.claimant == claim.claimant:
        return result.claimant_incarnation == claim.claimant_incarnation
    record = ctx.board.daemons.records.get(result.claimant)
    return (
        record is not None
        and record.incarnation == result.claimant_incarnation
        and record.state is not DaemonState.DEAD
    )


async def _execute_claimed_submission(
    ctx: Context, state: SubmissionState, req: Submission
) -> SubmissionAnswer:
    """Dispatch a claimed submission once it is admitted.

    Admission comes after the claim: a refusal promises that the submission did
    not run, and only the ledger knows whether an earlier attempt succeeded.
    """
    admitted = await ctx.admission.admit(req)
    if isinstance(admitted, Err):
        failure = admitted.err_value
        ctx.observer.refused(req.tenant, req.class_name, failure.code)
        return _build_not_run_answer(req, failure.code, failure.text)
    try:
        return await _send_to_replicas(ctx, state, req)
    finally:
        admitted.ok_value(False)


async def _send_to_replicas(
    ctx: Context, state: SubmissionState, req: Submission
) -> SubmissionAnswer:
    """Send the submission to one server at a time.

    Another server is tried only after a reply that the submission did not run.
    """
    spec = ctx.index.specs.get(req.service)
    if spec is None:
        text = f'Service "{req.service}" is not in the manifest.'
        return _build_not_run_answer(req, Code.UNKNOWN_SERVICE, text)
    if req.shard not in ctx.index.shard_keys[req.service]:
        text = f'Shard "{req.shard}" of "{req.service}" is not in the manifest.'
        return _build_not_run_answer(req, Code.UNKNOWN_SHARD, text)
    tried: set[ServerId] = set()
    refusal = SubmitReply(
        Outcome.NOT_RUN, Code.NO_SERVER, "No usable server holds the shard."
    )
    while len(tried) < MAX_SERVERS_TRIED:
        now = ctx.clock()
        if now >= req.deadline - ANSWER_MARGIN_S:
            text = "The deadline passed before the request was sent."
            return _build_not_run_answer(req, Code.DEADLINE_PASSED, text)
        update_staleness(ctx, now)
        candidates = _list_candidates(ctx, req, spec.versions)
        view = choose_replica(candidates, tried, ctx.choice_state, ctx.rng, now)
        if view is None:
            break
        tried.add(view.record.server_id)
        reply = await _send_once(ctx, state, req, view)
        if reply.outcome is not Outcome.NOT_RUN:
            return _build_answer(
                req, reply.outcome, reply.code, reply.text, reply.answer
            )
        view.backoff_until = ctx.clock() + BACKOFF_S
        refusal = reply
    code = refusal.code if 200 <= refusal.code < 300 else Code.CONNECT_FAILED
    return _build_not_run_answer(req, code, refusal.text)


def _list_candidates(ctx: Context, req: Submission, versions) -> list[ReplicaView]:
    """Return the usable servers that hold a permitted version of the shard."""
    found: dict[ServerId, ReplicaView] = {}
    for version in reversed(versions):
        holders = ctx.index.holders.get((req.service, version), {})
        for view in holders.get(req.shard, ()):
            found.setdefault(view.record.server_id, view)
    return list(found.values())


async def _send_once(
    ctx: Context, state: SubmissionState, req: Submission, view: ReplicaView
) -> SubmitReply:
    """Send the submission once; without a timely reply its outcome is unknown."""
    remaining_s = req.deadline - ANSWER_MARGIN_S - ctx.clock()
    message = SubmitRequest(
        request_id=req.request_id,
        tenant=req.tenant,
        class_name=req.class_name,
        revision=ctx.board.config.revision,
        remaining_s=remaining_s,
        is_stale=ctx.choice_state.is_stale,
        server_id=view.record.server_id,
        service=req.service,
        shard=req.shard,
        operation=req.body,
    )
    started = ctx.clock()
    view.load.in_flight += 1
    try:
        call = ctx.home_client.submit(view.record.home, message)
        reply = await asyncio.wait_for(call, remaining_s)
    except TimeoutError:
        text = "The server's home did not answer by the deadline."
        reply = SubmitReply(Outcome.UNKNOWN, Code.OUTCOME_UNKNOWN, text)
    except Exception:
        logging.exception("routing: submission to home %s failed", view.record.home)
        text = "The request may have reached the server."
        reply = SubmitReply(Outcome.UNKNOWN, Code.OUTCOME_UNKNOWN, text)
    finally:
        view.load.in_flight -= 1
    now = ctx.clock()
    is_dropped = classify_failure(reply.code) is RetryKind.SHED
    record_attempt(ctx.admission.state.limit, 0.0, 0.0, is_dropped)
    record_query(ctx.admission.state.limit, is_dropped, now)
    ctx.observer.shard_request_finished(req.service, now - started, reply.code)
    return reply


async def _settle_claim(
    ctx: Context,
    state: SubmissionState,
    req: Submission,
    claim: Claim,
    answer: SubmissionAnswer,
) -> None:
    """Settle the claim; retry in the background if the deadline passes first.

    The outcome is valid before the ledger confirms it, because no other daemon
    may dispatch the submission while the claim is unsettled.
    """
    settle = _build_settle(claim, answer)
    remaining_s = req.deadline - ANSWER_MARGIN_S - ctx.clock()
    if remaining_s > 0:
        reply = await ctx.control_client.settle(settle, remaining_s)
        if reply.is_ok():
            return
    _settle_in_background(ctx, state, claim, settle)


def _build_settle(claim: Claim, answer: SubmissionAnswer) -> Settle:
    return Settle(
        tenant=claim.tenant,
        request_id=claim.request_id,
        attempt_token=claim.attempt_token,
        outcome=answer.outcome,
        code=int(answer.code),
        answer=answer.answer,
    )


def _settle_in_background(
    ctx: Context, state: SubmissionState, claim: Claim, settle: Settle
) -> None:
    """Retry a settle call in the background; ``drain_submissions`` waits for it."""
    identity = (claim.tenant, claim.request_id)
    state.unsettled[identity] = (claim.body_digest, settle)
    task = asyncio.get_running_loop().create_task(_retry_settle(ctx, settle))
    state.settle_tasks.add(task)

    def handle_task_end(_):
        state.settle_tasks.discard(task)
        if state.unsettled.get(identity) == (claim.body_digest, settle):
            del state.unsettled[identity]

    task.add_done_callback(handle_task_end)


async def _retry_settle(ctx: Context, settle: Settle) -> None:
    retry_until, pause = ctx.clock() + SETTLE_RETRY_PERIOD_S, LEDGER_RETRY_PAUSE_S
    while ctx.clock() < retry_until:
        reply = await ctx.control_client.settle(settle, LEDGER_CALL_TIMEOUT_S)
        if reply.is_ok() or reply.unwrap_err().code in _FINAL_SETTLE_CODES:
            return
        await asyncio.sleep(pause)
        pause = min(pause * 2, MAX_SETTLE_PAUSE_S)
    logging.warning(
        "routing: the ledger did not confirm the outcome %s of request %s",
        settle.outcome.value,
        settle.request_id,
    )


def _build_undecided_answer(req: Submission, text: str) -> SubmissionAnswer:
    """Return the answer to a submission that the ledger did not decide on.

    This attempt did not run, but callers and load balancers resend requests to
    other daemons, and only the ledger has a record of those attempts. The outcome of
    the submission is therefore unknown, and the answer is no refusal.
    """
    text = f"{text} This sending did not run; an earlier one may have."
    return _build_answer(req, Outcome.UNKNOWN, Code.LEDGER_NOT_CONSULTED, text)


def _build_not_run_answer(req: Submission, code: Code, text: str) -> SubmissionAnswer:
    return _build_answer(req, Outcome.NOT_RUN, code, text)


def _build_answer(
    req: Submission, outcome: Outcome, code: Code, text: str = "", answer: bytes = b""
) -> SubmissionAnswer:
    return SubmissionAnswer(req.request_id, outcome, code, text, answer)
