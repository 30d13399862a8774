"""Typed settings, decoded from a JSON file; all findings are reported at once."""

from pathlib import Path

import msgspec
from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.conf import defaults
from bramleyrouter.failures import Failure, Finding
from bramleyrouter.utils.decoding import DECODE_ERRORS


class ClassSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Configure the admission of one class of requests.

    When several classes wait, queries are admitted in proportion to ``weight``.
    ``latency_first`` makes ``best`` coverage the default of the class's queries.
    """

    weight: int = 1
    latency_first: bool = False


class TenantSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limit the share of the running queries that one tenant may have, 0 to 1."""

    max_share: float = 1.0


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold the settings of one daemon; ``docs/reference/settings.md`` lists them.

    Only control daemons use ``data_folder``, which stores the replicated log, and
    ``members``, the internal addresses of the cluster's initial members.
    """

    daemon_id: str
    data_centre: str
    internal_address: str
    http_address: str
    cluster_key: str
    operator_token: str
    control: tuple[str, ...]
    data_folder: str = ""
    members: tuple[str, ...] = ()
    classes: dict[str, ClassSettings] = {}
    tenants: dict[str, TenantSettings] = {}
    max_deadline_s: float = defaults.MAX_DEADLINE_S
    default_deadline_s: float = defaults.DEFAULT_DEADLINE_S
    max_body_bytes: int = defaults.MAX_BODY_BYTES
    max_running_queries: int = defaults.MAX_RUNNING_QUERIES
    max_waiting_queries: int = defaults.MAX_WAITING_QUERIES
    balancer_wait_s: float = defaults.BALANCER_WAIT_S
    stop_timeout_s: float = defaults.STOP_TIMEOUT_S
    recent_decisions: int = defaults.RECENT_DECISIONS
    hedge_budget: float = defaults.HEDGE_BUDGET
    retry_budget: float = defaults.RETRY_BUDGET
    log_level: str = defaults.LOG_LEVEL


def decode_settings(text: bytes) -> Result[Settings, Failure]:
    """Decode and check settings in JSON; the failure lists every finding."""
    from bramleyrouter.conf.checks import check_settings, find_type_errors

    try:
        raw = msgspec.json.decode(text)
    except DECODE_ERRORS as exc:
        finding = Finding("settings.E001", "error", "file", f"Not valid JSON: {exc}.")
        return _build_invalid_settings((finding,))
    findings = find_type_errors(raw)
    if not findings:
        cfg = msgspec.convert(raw, type=Settings)
        findings = check_settings(cfg)
        if not any(finding.level == "error" for finding in findings):
            return Ok(cfg)
    return _build_invalid_settings(findings)


def _build_invalid_settings(findings: tuple[Finding, ...]) -> Err[Failure]:
    text = f"The settings have {len(findings)} finding(s)."
    return Err(Failure(Code.SETTINGS_INVALID, text, findings))


def read_settings(path: str) -> Result[Settings, Failure]:
    """Read and decode the JSON file at ``path``.

    Fail with ``SETTINGS_UNREADABLE`` or ``SETTINGS_INVALID``.
    """
    try:
        text = Path(path).read_bytes()
    except OSError as exc:
        failure = Failure(
            Code.SETTINGS_UNREADABLE, f'"{path}" can\'t be read: {exc.strerror}.'
        )
        return Err(failure)
    return decode_settings(text)
