"""Decode and validate manifests; each kind of finding has a numbered code."""

import re
from collections import Counter
from collections.abc import Iterator

import msgspec
from result import Err, Ok, Result

from bramleyrouter.board.sections import Manifest, ServiceSpec
from bramleyrouter.codes import Code
from bramleyrouter.conf.defaults import MAX_MANIFEST_BYTES
from bramleyrouter.control.limits import MAX_NAME_CHARACTERS
from bramleyrouter.failures import Failure, Finding
from bramleyrouter.ids import Generation
from bramleyrouter.utils.decoding import DECODE_ERRORS

MAX_SERVICES = 10_000
MAX_SHARDS = 100_000
MAX_VERSIONS = 16
MAX_REPLICAS = 64
# The largest integer that every JSON parser represents exactly.
MAX_INTEGER = 2**53 - 1
# Findings listed in one failure; one more states how many were left out.
MAX_FINDINGS = 200

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:\-]*")
NAME_HINT = (
    'Use ASCII letters, digits, ".", "_", ":" and "-", a letter or digit first, '
    f"at most {MAX_NAME_CHARACTERS} characters."
)


def is_name(text: str) -> bool:
    """Return whether ``text`` is a valid name of a service, shard, server and so on."""
    return len(text) <= MAX_NAME_CHARACTERS and NAME_PATTERN.fullmatch(text) is not None


def decode_manifest(raw: object) -> Result[Manifest, Failure]:
    """Convert parsed JSON into a manifest, or list everything of the wrong type.

    ``check_manifest`` validates the values.
    """
    if not isinstance(raw, dict):
        text = f'"{type(raw).__name__}" was found; an object was expected.'
        return Err(build_manifest_failure((_build_error("E001", "manifest", text),)))
    findings = list(_find_key_errors(raw, Manifest, "manifest"))
    generation = raw.get("generation")
    if "generation" in raw and not _is_integer(generation):
        text = f"An integer of at most {MAX_INTEGER} was expected."
        findings.append(_build_error("E003", "generation", text))
    services = raw.get("services", [])
    if not isinstance(services, list):
        text = f'"{type(services).__name__}" was found; a list was expected.'
        findings.append(_build_error("E003", "services", text))
        services = []
    specs = []
    for i, service in enumerate(services):
        place = f"services[{i}]"
        errors = list(_find_service_type_errors(service, place))
        findings += errors
        if not errors:
            specs.append(msgspec.convert(service, type=ServiceSpec))
    if findings or not isinstance(generation, int):
        return Err(build_manifest_failure(findings))
    return Ok(Manifest(Generation(generation), tuple(specs)))


def parse_manifest(text: bytes) -> Result[Manifest, Failure]:
    """Parse the JSON text of a manifest."""
    try:
        raw = msgspec.json.decode(text)
    except DECODE_ERRORS as exc:
        finding = _build_error("E001", "manifest", f"Not valid JSON: {exc}.")
        return Err(build_manifest_failure((finding,)))
    return decode_manifest(raw)


def check_manifest(manifest: Manifest) -> tuple[Finding, ...]:
    """Return every finding about the values of a manifest.

    All findings are errors; a manifest with any finding is refused.
    """
    return tuple(_find_manifest_value_errors(manifest))


def build_manifest_failure(findings) -> Failure:
    """Build the failure that lists up to ``MAX_FINDINGS`` of ``findings``."""
    listed = tuple(findings)
    text = f"The manifest has {len(listed)} finding(s) and was not accepted."
    if len(listed) > MAX_FINDINGS:
        more = len(listed) - MAX_FINDINGS
        rest = _build_error("E000", "manifest", f"{more} more findings are not listed.")
        listed = (*listed[:MAX_FINDINGS], rest)
    return Failure(Code.INVALID_MANIFEST, text, listed)


def _build_error(number: str, place: str, text: str, hint: str = "") -> Finding:
    return Finding(f"manifest.{number}", "error", place, text, hint)


def _is_integer(value: object) -> bool:
    is_int = isinstance(value, int) and not isinstance(value, bool)
    return is_int and abs(value) <= MAX_INTEGER  # type: ignore[arg-type]


def _find_key_errors(raw: dict, struct: type, place: str) -> Iterator[Finding]:
    fields = {field.name: field for field in msgspec.structs.fields(struct)}
    for key in raw:
        if key not in fields:
            text = f'"{_quote(key)}" is not a field.'
            yield _build_error("E002", place, text, f"The fields are {tuple(fields)}.")
    for name, field in fields.items():
        if field.required and name not in raw:
            yield _build_error("E002", place, f'"{name}" is missing.')


def _find_service_type_errors(raw: object, place: str) -> Iterator[Finding]:
    if not isinstance(raw, dict):
        text = f'"{type(raw).__name__}" was found; an object was expected.'
        yield _build_error("E003", place, text)
        return
    yield from _find_key_errors(raw, ServiceSpec, place)
    for field in msgspec.structs.fields(ServiceSpec):
        if field.name not in raw:
            continue
        value = raw[field.name]
        try:
            msgspec.convert(value, type=field.type)
        except DECODE_ERRORS as exc:
            text = f"The value has the wrong type: {exc}."
            yield _build_error("E003", f"{place}.{field.name}", text)
            continue
        if field.name == "replicas" and not _is_integer(value):
            text = f"An integer of at most {MAX_INTEGER} was expected."
            yield _build_error("E003", f"{place}.replicas", text)


def _find_manifest_value_errors(manifest: Manifest) -> Iterator[Finding]:
    if manifest.generation < 1:
        text = f'"{manifest.generation}" was given; 1 or more was expected.'
        yield _build_error("E004", "generation", text)
    elif manifest.generation > MAX_INTEGER:
        text = f'"{manifest.generation}" is above {MAX_INTEGER}.'
        yield _build_error("E004", "generation", text)
    size = len(msgspec.msgpack.encode(manifest))
    if size > MAX_MANIFEST_BYTES:
        text = f"{size} bytes are encoded; at most {MAX_MANIFEST_BYTES} are accepted."
        yield _build_error("E005", "manifest", text)
    if len(manifest.services) > MAX_SERVICES:
        text = f"{len(manifest.services)} services; at most {MAX_SERVICES} expected."
        yield _build_error("E005", "services", text)
    names = [service.name for service in manifest.services]
    yield from _find_duplicates(names, "services", "E006")
    for i, service in enumerate(manifest.services):
        yield from _find_service_value_errors(service, f"services[{i}]")


def _find_service_value_errors(spec: ServiceSpec, place: str) -> Iterator[Finding]:
    yield from _find_bad_names([spec.name], f"{place}.name")
    if not spec.shards:
        text = f'Service "{_quote(spec.name)}" has no shard.'
        yield _build_error("E008", f"{place}.shards", text)
    if len(spec.shards) > MAX_SHARDS:
        text = f"{len(spec.shards)} shards; at most {MAX_SHARDS} expected."
        yield _build_error("E005", f"{place}.shards", text)
    yield from _find_duplicates(spec.shards, f"{place}.shards", "E006")
    yield from _find_bad_names(spec.shards, f"{place}.shards")
    if not spec.versions:
        yield _build_error(
            "E009",
            f"{place}.versions",
            f'Service "{_quote(spec.name)}" permits no index version.',
            "List at least one version that its backend servers hold.",
        )
    if len(spec.versions) > MAX_VERSIONS:
        text = f"{len(spec.versions)} versions; at most {MAX_VERSIONS} expected."
        yield _build_error("E005", f"{place}.versions", text)
    yield from _find_duplicates(spec.versions, f"{place}.versions", "E006")
    yield from _find_bad_names(spec.versions, f"{place}.versions")
    if not 1 <= spec.replicas <= MAX_REPLICAS:
        text = f'"{spec.replicas}" was given; 1 to {MAX_REPLICAS} was expected.'
        yield _build_error("E010", f"{place}.replicas", text)


def _find_duplicates(names, place: str, number: str) -> Iterator[Finding]:
    for name, count in Counter(names).items():
        if count > 1:
            text = f'"{_quote(name)}" appears {count} times.'
            yield _build_error(number, place, text, "Names must be unique here.")


def _find_bad_names(names, place: str) -> Iterator[Finding]:
    for name in names:
        if not is_name(name):
            yield _build_error(
                "E007", place, f'"{_quote(name)}" is not a name.', NAME_HINT
            )


def _quote(text: str) -> str:
    """Shorten and escape a value for an error message."""
    short = text if len(text) <= 40 else text[:40] + "..."
    return short.encode("unicode_escape").decode("ascii")
