"""``bramleyctl explain``: the story of one request from log lines."""

import argparse
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path

import msgspec

from bramleyrouter.commands.exits import Exit

# Printed first, in this order; the other fields follow.
_LEADING = ("at", "daemon", "part", "event")


def add_parser(subparsers) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "explain",
        help="print what the log lines say of one request, in order",
        description="Read structured log lines from files, or from standard input, "
        "and print those of one request in order of time, across processes.",
    )
    parser.add_argument("id", metavar="ID", help="id of the request")
    parser.add_argument("files", nargs="*", type=Path, metavar="FILE")
    parser.set_defaults(run=run)


def lines_of(request_id: str, lines: Iterable[str]) -> Iterator[dict]:
    """Yield the events of a request.

    What stands before the first brace, such as a prefix of the collector, and
    lines that hold no event are passed over.
    """
    decoder = msgspec.json.Decoder(dict)
    for line in lines:
        start = line.find("{")
        if start < 0 or request_id not in line:
            continue
        try:
            event = decoder.decode(line[start:])
        except msgspec.MsgspecError:
            continue
        if event.get("id") == request_id:
            yield event


def format_event(event: dict) -> str:
    """Return one line for the reader."""
    leading = " ".join(str(event.get(name, "-")) for name in _LEADING)
    rest = " ".join(
        f"{name}={value}"
        for name, value in event.items()
        if name not in _LEADING and name != "id" and value not in ("", None, [])
    )
    return f"{leading}: {rest}"


def _read(files: list[Path]) -> Iterator[str]:
    if not files:
        yield from sys.stdin
    for path in files:
        with open(path, encoding="utf-8", errors="replace") as file:
            yield from file


async def run(args: argparse.Namespace) -> Exit:
    """Print the story; ``REFUSED`` when no line names the request."""
    try:
        events = sorted(
            lines_of(args.id, _read(args.files)), key=lambda one: one.get("at", 0)
        )
    except OSError as exc:
        print(f'"{exc.filename}" can\'t be read: {exc.strerror}.', file=sys.stderr)
        return Exit.USAGE
    for event in events:
        print(format_event(event))
    if not events:
        print(f'No line names the request "{args.id}".', file=sys.stderr)
        return Exit.REFUSED
    return Exit.DONE
