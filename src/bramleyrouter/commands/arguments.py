"""Command-line options shared by the subcommands, and their parsed values."""

import argparse
import getpass
import secrets
import time
from pathlib import Path
from typing import NamedTuple
from urllib.parse import urlsplit

from bramleyrouter.control.manifests import NAME_HINT, is_name

DEFAULT_TIMEOUT_S = 30.0


class ConnectionOptions(NamedTuple):
    """Hold the addresses of the daemons, the operators' token and the timeout.

    ``urls`` are tried in turn until ``timeout_s`` seconds have passed.
    """

    urls: tuple[str, ...]
    token: str
    timeout_s: float


class InputFile(NamedTuple):
    """Hold the path and content of a file given as an argument."""

    path: str
    content: bytes


class ChangeIdentity(NamedTuple):
    """Hold the operator and the request id that identify a change."""

    operator: str
    request_id: str


def add_connection_options(parser: argparse.ArgumentParser) -> None:
    """Add the options for reaching the daemons."""
    parser.add_argument(
        "--url",
        action="append",
        required=True,
        type=_parse_url,
        metavar="URL",
        help='HTTP address of a daemon, as in "http://10.0.0.1:8000"; may be given '
        "several times, and the next is tried when one can't be reached",
    )
    parser.add_argument(
        "--token-file",
        required=True,
        type=_read_token,
        dest="token",
        metavar="FILE",
        help="file with the operators' token, as in the daemons' settings",
    )
    parser.add_argument(
        "--timeout",
        type=_parse_seconds,
        default=DEFAULT_TIMEOUT_S,
        metavar="SECONDS",
        help="longest time for the whole command (default: %(default)s)",
    )


def add_change_identity_options(parser: argparse.ArgumentParser) -> None:
    """Add the options that identify a change."""
    parser.add_argument(
        "--request-id",
        type=_parse_name,
        metavar="ID",
        help="id of this change (default: a new one, which is printed); repeating a "
        "change under its id has no second effect",
    )
    parser.add_argument(
        "--operator",
        type=_parse_name,
        # argparse also passes a default that is a string through ``type``.
        default=_find_login_name(),
        metavar="NAME",
        help="name under which the change is recorded (default: the login name)",
    )


def add_manifest_argument(parser: argparse.ArgumentParser) -> None:
    """Add the argument for a manifest file, which is read during parsing."""
    parser.add_argument(
        "file", type=_read_file, metavar="FILE", help="JSON file with the manifest"
    )


def build_connection_options(args: argparse.Namespace) -> ConnectionOptions:
    """Build the connection options from the parsed arguments."""
    return ConnectionOptions(tuple(args.url), args.token, args.timeout)


def build_change_identity(args: argparse.Namespace) -> ChangeIdentity:
    """Build the identity of a change, with a new request id if none is given."""
    return ChangeIdentity(args.operator, args.request_id or generate_request_id())


def generate_request_id() -> str:
    """Generate a unique id that begins with the wall-clock time in milliseconds."""
    return f"{time.time_ns() // 1_000_000}-{secrets.token_hex(8)}"


def parse_revision(text: str) -> int:
    """Parse a revision given on the command line."""
    if not (text.isascii() and text.isdigit() and len(text) <= 18):
        raise argparse.ArgumentTypeError(f'"{text}" is not a revision')
    return int(text)


def _read_file(path: str) -> InputFile:
    try:
        return InputFile(path, Path(path).read_bytes())
    except OSError as exc:
        text = f'"{path}" can\'t be read: {exc.strerror}'
        raise argparse.ArgumentTypeError(text) from exc


def _read_token(path: str) -> str:
    token = _read_file(path).content.strip().decode("latin-1")
    if not (token and token.isascii() and token.isprintable()):
        text = f'"{path}" holds no token in printable ASCII'
        raise argparse.ArgumentTypeError(text)
    return token


def _find_login_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "operator"


def _parse_url(text: str) -> str:
    parts = urlsplit(text)
    if parts.scheme not in ("http", "https") or not parts.netloc:
        raise argparse.ArgumentTypeError(f'"{text}" is not an HTTP address')
    return text.rstrip("/")


def _parse_seconds(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0 < seconds < 86_400:
        raise argparse.ArgumentTypeError(f'"{text}" is not a number of seconds')
    return seconds


def _parse_name(text: str) -> str:
    if not is_name(text):
        raise argparse.ArgumentTypeError(f"{ascii(text)} is not a name. {NAME_HINT}")
    return text
