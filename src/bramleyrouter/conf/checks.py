"""Checks of settings, which return findings with a code, a place and a hint."""

import msgspec

from bramleyrouter.conf.settings import Settings
from bramleyrouter.failures import Finding
from bramleyrouter.utils.addresses import split_address
from bramleyrouter.utils.decoding import DECODE_ERRORS

MIN_SECRET_CHARACTERS = 16
LOG_LEVELS = ("debug", "info", "warning", "error")


def find_type_errors(raw: object) -> tuple[Finding, ...]:
    """Return a finding for each unknown, missing or mistyped key."""
    if not isinstance(raw, dict):
        text = f'The file holds a "{type(raw).__name__}"; an object was expected.'
        return (Finding("settings.E002", "error", "file", text),)
    fields = {field.name: field for field in msgspec.structs.fields(Settings)}
    findings = [
        Finding(
            "settings.E003",
            "error",
            key,
            f'"{key}" is not a setting.',
            "Look for a misspelling in docs/reference/settings.md.",
        )
        for key in raw
        if key not in fields
    ]
    for name, field in fields.items():
        if name not in raw:
            if field.required:
                text = f'"{name}" is missing.'
                findings.append(Finding("settings.E004", "error", name, text))
            continue
        try:
            msgspec.convert(raw[name], type=field.type)
        except DECODE_ERRORS as exc:
            text = f"The value has the wrong type: {exc}."
            findings.append(Finding("settings.E005", "error", name, text))
    return tuple(findings)


def check_settings(cfg: Settings) -> tuple[Finding, ...]:
    """Check the values of settings with valid types; return every finding."""
    return (
        *_check_addresses(cfg),
        *_check_secrets(cfg),
        *_check_numbers(cfg),
        *_check_names(cfg),
    )


def _check_addresses(cfg: Settings):
    places = [
        ("internal_address", cfg.internal_address),
        ("http_address", cfg.http_address),
        *((f"control[{i}]", address) for i, address in enumerate(cfg.control)),
        *((f"members[{i}]", address) for i, address in enumerate(cfg.members)),
    ]
    for place, address in places:
        try:
            split_address(address)
        except ValueError as exc:
            yield Finding(
                "settings.E006",
                "error",
                place,
                f'"{address}" is not an address: {exc}',
                'Write an IP number and a port, as in "10.0.0.1:7000".',
            )
    if not cfg.control:
        yield Finding(
            "settings.E007",
            "error",
            "control",
            "No control daemon is named.",
            "List the internal addresses of the control daemons.",
        )


def _check_secrets(cfg: Settings):
    secrets = (
        ("cluster_key", cfg.cluster_key),
        ("operator_token", cfg.operator_token),
    )
    for place, secret in secrets:
        if len(secret) < MIN_SECRET_CHARACTERS:
            yield Finding(
                "settings.E008",
                "error",
                place,
                f"The secret has fewer than {MIN_SECRET_CHARACTERS} characters.",
                "Generate one with a random generator.",
            )


def _check_numbers(cfg: Settings):
    positive = (
        "max_deadline_s",
        "default_deadline_s",
        "max_body_bytes",
        "max_running_queries",
        "stop_timeout_s",
        "recent_decisions",
    )
    for name in positive:
        value = getattr(cfg, name)
        if not value > 0:
            text = f'"{value}" was given; a number above 0 was expected.'
            yield Finding("settings.E009", "error", name, text)
    for name in ("balancer_wait_s", "max_waiting_queries"):
        value = getattr(cfg, name)
        if not value >= 0:
            text = f'"{value}" was given; 0 or more was expected.'
            yield Finding("settings.E009", "error", name, text)
    for name in ("hedge_budget", "retry_budget"):
        value = getattr(cfg, name)
        if not 0 <= value <= 1:
            text = f'"{value}" was given; a share from 0 to 1 was expected.'
            yield Finding("settings.E010", "error", name, text)
    if cfg.default_deadline_s > cfg.max_deadline_s:
        yield Finding(
            "settings.E011",
            "error",
            "default_deadline_s",
            f'"{cfg.default_deadline_s}" is above max_deadline_s, '
            f'"{cfg.max_deadline_s}".',
        )
    for name, class_cfg in cfg.classes.items():
        if class_cfg.weight < 1:
            text = f'"{class_cfg.weight}" was given; 1 or more was expected.'
            yield Finding("settings.E012", "error", f"classes.{name}.weight", text)
    for name, tenant_cfg in cfg.tenants.items():
        if not 0 < tenant_cfg.max_share <= 1:
            text = (
                f'"{tenant_cfg.max_share}" was given; above 0 and at most 1 expected.'
            )
            yield Finding("settings.E012", "error", f"tenants.{name}.max_share", text)


def _check_names(cfg: Settings):
    for place, name in (
        ("daemon_id", cfg.daemon_id),
        ("data_centre", cfg.data_centre),
    ):
        if not name:
            yield Finding("settings.E013", "error", place, "The name is empty.")
    if cfg.log_level not in LOG_LEVELS:
        yield Finding(
            "settings.E014",
            "error",
            "log_level",
            f'"{cfg.log_level}" is not a level; one of {LOG_LEVELS} was expected.',
        )
