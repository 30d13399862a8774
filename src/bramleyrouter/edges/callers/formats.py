"""Convert between the JSON bodies of callers and typed messages."""

import msgspec
from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.conf import defaults
from bramleyrouter.conf.settings import Settings
from bramleyrouter.failures import Failure
from bramleyrouter.ids import (
    ClassName,
    RequestId,
    ServiceName,
    ShardName,
    TenantName,
)
from bramleyrouter.routing.messages import (
    Answer,
    Query,
    ServiceTarget,
    Submission,
    SubmissionAnswer,
)
from bramleyrouter.states import CoverageMode
from bramleyrouter.utils.decoding import DECODE_ERRORS

MAX_NAME_CHARACTERS = 128
MAX_TARGETS = 1000
MS_PER_SECOND = 1000.0


class QueryBody(msgspec.Struct, forbid_unknown_fields=True):
    """Define the body of ``POST /v1/query``."""

    targets: tuple[ServiceTarget, ...]
    query: msgspec.Raw
    request_id: str = ""
    tenant: str = ""
    class_name: str = msgspec.field(default="", name="class")
    deadline_ms: float | None = None
    coverage: CoverageMode | None = None


class SubmitBody(msgspec.Struct, forbid_unknown_fields=True):
    """Define the body of ``POST /v1/submit``."""

    request_id: str
    service: ServiceName
    shard: ShardName
    operation: msgspec.Raw
    tenant: str = ""
    class_name: str = msgspec.field(default="", name="class")
    deadline_ms: float | None = None


class MissingBody(msgspec.Struct):
    """Define the entry for one missing shard in an answer."""

    service: str
    shard: str
    code: int
    reason: str


class AnswerBody(msgspec.Struct):
    """Define the answer to a query.

    ``included`` lists the shards by service; ``results`` contains the JSON of the
    backend servers by service and shard.
    """

    code: int
    request_id: str
    version: str
    revision: int
    shards_requested: int
    shards_included: int
    included: dict[str, list[str]]
    missing: list[MissingBody]
    results: dict[str, dict[str, msgspec.Raw]]


class SubmitAnswerBody(msgspec.Struct):
    """Define the answer to a submission."""

    code: int
    name: str
    request_id: str
    outcome: str
    text: str
    answer: msgspec.Raw


_query_decoder = msgspec.json.Decoder(QueryBody)
_submit_decoder = msgspec.json.Decoder(SubmitBody)


class DecodingSettings(msgspec.Struct, frozen=True):
    """Store the settings that decoding uses.

    ``classes`` maps each class to whether ``best`` coverage is its default.
    """

    tenant: str
    class_name: str
    default_deadline_s: float
    max_deadline_s: float
    classes: dict[str, bool]
    tenants: frozenset[str]


def read_query_defaults(cfg: Settings) -> DecodingSettings:
    """Read the settings that decoding uses.

    Settings without classes or tenants accept any name.
    """
    return DecodingSettings(
        defaults.DEFAULT_TENANT,
        defaults.DEFAULT_CLASS,
        cfg.default_deadline_s,
        cfg.max_deadline_s,
        {name: item.latency_first for name, item in cfg.classes.items()},
        frozenset(cfg.tenants),
    )


def _build_malformed_error(text: str) -> Err[Failure]:
    return Err(Failure(Code.MALFORMED_REQUEST, text))


def _compute_deadline(
    body: QueryBody | SubmitBody, now: float, cfg: DecodingSettings
) -> Result[float, Failure]:
    if body.deadline_ms is None:
        return Ok(now + cfg.default_deadline_s)
    seconds = body.deadline_ms / MS_PER_SECOND
    if not seconds > 0:
        text = f'The deadline, "{body.deadline_ms}" ms, has passed.'
        return Err(Failure(Code.DEADLINE_PASSED, text))
    return Ok(now + min(seconds, cfg.max_deadline_s))


def _read_common_fields(
    body: QueryBody | SubmitBody, now: float, cfg: DecodingSettings
) -> Result[tuple[TenantName, ClassName, float], Failure]:
    """Read tenant, class and deadline, which both kinds of body have."""
    names = _read_names(body, cfg)
    if isinstance(names, Err):
        return names
    tenant, class_name = names.ok_value
    return _compute_deadline(body, now, cfg).map(
        lambda deadline: (tenant, class_name, deadline)
    )


def _read_names(
    body: QueryBody | SubmitBody, cfg: DecodingSettings
) -> Result[tuple[TenantName, ClassName], Failure]:
    tenant = body.tenant or cfg.tenant
    class_name = body.class_name or cfg.class_name
    for field_name, name in (
        ("request_id", body.request_id),
        ("tenant", tenant),
        ("class", class_name),
    ):
        if len(name) > MAX_NAME_CHARACTERS or not name.isprintable():
            text = (
                f"{field_name} is not printable or has over "
                f"{MAX_NAME_CHARACTERS} characters."
            )
            return _build_malformed_error(text)
    if cfg.tenants and tenant not in cfg.tenants and tenant != cfg.tenant:
        text = f'Tenant "{tenant}" is not in the settings.'
        return Err(Failure(Code.UNKNOWN_TENANT_OR_CLASS, text))
    if cfg.classes and class_name not in cfg.classes and class_name != cfg.class_name:
        text = f'Class "{class_name}" is not in the settings.'
        return Err(Failure(Code.UNKNOWN_TENANT_OR_CLASS, text))
    return Ok((TenantName(tenant), ClassName(class_name)))


def decode_query(
    text: bytes, run_id: RequestId, now: float, cfg: DecodingSettings
) -> Result[tuple[Query, str], Failure]:
    """Decode a query; return it with the caller's request id.

    ``run_id`` identifies this query to homes and backend servers. The caller's id
    is not used for that because callers may repeat it.
    """
    try:
        body = _query_decoder.decode(text)
    except DECODE_ERRORS as exc:
        return _build_malformed_error(f"The body can't be decoded: {exc}.")
    common = _read_common_fields(body, now, cfg)
    if isinstance(common, Err):
        return common
    if not 0 < len(body.targets) <= MAX_TARGETS:
        return _build_malformed_error(
            f"Between 1 and {MAX_TARGETS} targets were expected."
        )
    tenant, class_name, deadline = common.ok_value
    coverage = body.coverage
    if coverage is None:
        is_latency_first = cfg.classes.get(class_name, False)
        coverage = CoverageMode.BEST if is_latency_first else CoverageMode.FULL
    query = Query(
        run_id,
        tenant,
        class_name,
        deadline,
        body.targets,
        coverage,
        bytes(body.query),
    )
    return Ok((query, body.request_id or run_id))


def decode_submission(
    text: bytes, now: float, cfg: DecodingSettings
) -> Result[Submission, Failure]:
    """Decode a submission; the caller's request id is its identity."""
    try:
        body = _submit_decoder.decode(text)
    except DECODE_ERRORS as exc:
        return _build_malformed_error(f"The body can't be decoded: {exc}.")
    common = _read_common_fields(body, now, cfg)
    if isinstance(common, Err):
        return common
    if not body.request_id:
        return Err(Failure(Code.INVALID_IDENTITY, "request_id is missing."))
    tenant, class_name, deadline = common.ok_value
    submission = Submission(
        RequestId(body.request_id),
        tenant,
        class_name,
        deadline,
        body.service,
        body.shard,
        bytes(body.operation),
    )
    return Ok(submission)


def encode_answer(answer: Answer, caller_request_id: str) -> bytes:
    """Encode the answer to a query as JSON."""
    included: dict[str, list[str]] = {}
    results: dict[str, dict[str, msgspec.Raw]] = {}
    for key in answer.included:
        included.setdefault(key.service, []).append(key.shard)
        raw = msgspec.Raw(answer.results[key])
        results.setdefault(key.service, {})[key.shard] = raw
    missing = [
        MissingBody(item.service, item.shard, int(item.code), item.code.name)
        for item in answer.missing
    ]
    body = AnswerBody(
        int(Code.OK),
        caller_request_id,
        answer.version,
        answer.revision,
        len(answer.included) + len(answer.missing),
        len(answer.included),
        included,
        missing,
        results,
    )
    return msgspec.json.encode(body)


def encode_submission(answer: SubmissionAnswer) -> bytes:
    """Encode the answer to a submission as JSON."""
    body = SubmitAnswerBody(
        int(answer.code),
        answer.code.name,
        answer.request_id,
        answer.outcome.value,
        answer.text,
        msgspec.Raw(answer.answer or b"null"),
    )
    return msgspec.json.encode(body)
