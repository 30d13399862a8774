"""``bramleyctl explain``: print the log events of one request or server in order."""

import argparse
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

from bramleyrouter.commands.exits import Exit
from bramleyrouter.utils.decoding import DECODE_ERRORS

# These fields are printed first, in this order.
_LEADING_FIELDS = ("at", "daemon", "part", "event")


def add_parser(subparsers) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "explain",
        help="print the log events of one request or server in order of time",
        description="Read structured log lines from files, or from standard input, "
        "and print those of one request, or those that name one backend server, in "
        "order of time, across processes.",
    )
    parser.add_argument("id", metavar="ID", help="id of the request or the server")
    parser.add_argument("files", nargs="*", type=Path, metavar="FILE")
    parser.set_defaults(run=run)


def find_events(wanted_id: str, lines: Iterable[str]) -> Iterator[dict]:
    """Yield the log events of a request or a server.

    Text before the first brace, such as a prefix added by a log collector, is
    ignored, as are lines without an event.
    """
    decoder = msgspec.json.Decoder(dict)
    for line in lines:
        start = line.find("{")
        if start < 0 or wanted_id not in line:
            continue
        try:
            event = decoder.decode(line[start:])
        except DECODE_ERRORS:
            continue
        if wanted_id in (event.get("id"), event.get("server")):
            yield event


def format_event(event: dict, shows_id: bool = False) -> str:
    """Format an event as one line; empty fields are left out."""
    leading = " ".join(str(event.get(name, "-")) for name in _LEADING_FIELDS)
    rest = " ".join(
        f"{name}={value}"
        for name, value in event.items()
        if name not in _LEADING_FIELDS
        and (shows_id or name != "id")
        and value not in ("", None, [])
    )
    return f"{leading}: {rest}"


def _read_lines(files: list[Path]) -> Iterator[str]:
    if not files:
        yield from sys.stdin
    for path in files:
        with open(path, encoding="utf-8", errors="replace") as file:
            yield from file


async def run(args: argparse.Namespace) -> Exit:
    """Print the events; return ``REFUSED`` if the request has none."""
    try:
        events = sorted(
            find_events(args.id, _read_lines(args.files)),
            key=lambda item: item.get("at", 0),
        )
    except OSError as exc:
        print(f'"{exc.filename}" can\'t be read: {exc.strerror}.', file=sys.stderr)
        return Exit.USAGE
    for event in events:
        print(format_event(event, shows_id=event.get("id") != args.id))
    if not events:
        print(f'No log event has the id "{args.id}".', file=sys.stderr)
        return Exit.REFUSED
    return Exit.DONE
