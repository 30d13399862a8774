"""Read the API key of a caller's request, and remove it from what is forwarded."""

import re

from tornado.httputil import HTTPHeaders

from bramleyrouter.gateway.customers import compute_key_digest
from bramleyrouter.gateway.exchanges import Credentials, Headers
from bramleyrouter.platform import names

# The listener maps each byte of a head to one character.
HEAD_ENCODING = "latin-1"
_AUTHORIZATION = names.AUTHORIZATION.lower()
# Many servers take an underscore for a hyphen in the names of headers.
_TENANT_NAMES = (names.TENANT, names.TENANT.replace("-", "_"))
_REMOVED_NAMES = frozenset(name.lower() for name in _TENANT_NAMES)
# Several values of the header may share a line, separated by commas.
_KEY_PART = re.compile(rf"(?:^|,)[ \t]*{names.KEY_SCHEME}(?=[ \t,]|$)", re.I | re.A)
_SCHEME = re.compile(rf"{names.KEY_SCHEME}[ \t]+", re.I | re.A)


def read_credentials(headers: HTTPHeaders, forwarded: Headers) -> Credentials | None:
    """Return the credentials of a request, or none if nothing has to be removed.

    ``headers`` are all headers of the request and ``forwarded`` those that are sent on
    without customers. A request with different values of ``Authorization`` has no
    usable key, as it is unclear which one applies.
    """
    if not any(name in headers for name in (names.AUTHORIZATION, *_TENANT_NAMES)):
        return None
    values = set(headers.get_list(names.AUTHORIZATION))
    key = _read_key(values.pop()) if len(values) == 1 else ""
    kept = tuple(header for header in forwarded if not _must_be_removed(*header))
    return Credentials(compute_key_digest(key.encode(HEAD_ENCODING)), kept)


def _read_key(value: str) -> str:
    """Return the key in a value of ``Authorization``, empty if it holds none."""
    value = value.strip(" \t")
    scheme = _SCHEME.match(value)
    return value[scheme.end() :] if scheme else ""


def _must_be_removed(name: str, value: str) -> bool:
    lowered = name.lower()
    if lowered == _AUTHORIZATION:
        return bool(_KEY_PART.search(value))
    return lowered in _REMOVED_NAMES
