"""``bramleyctl rollout``: try a server version and move a service's traffic to it."""

import argparse
from urllib.parse import urlencode

from bramleyrouter.codes import Code
from bramleyrouter.commands.arguments import (
    add_connection_options,
    build_connection_options,
)
from bramleyrouter.commands.exits import Exit
from bramleyrouter.commands.outputs import report_failure
from bramleyrouter.commands.requests import Reply, send_request

PATH = "/v1/rollouts"


def add_parser(subparsers) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "rollout", help="try a server version, or show what became of it"
    )
    actions = parser.add_subparsers(dest="action", required=True)
    start = actions.add_parser("start", help="order the rollout of a version")
    start.add_argument("service", metavar="SERVICE")
    start.add_argument("version", metavar="VERSION")
    start.add_argument(
        "--duration",
        type=float,
        required=True,
        metavar="SECONDS",
        help="time within which the rollout ends",
    )
    add_connection_options(start)
    start.set_defaults(run=run_start)
    show = actions.add_parser("show", help="show the newest rollout of a service")
    show.add_argument("service", metavar="SERVICE")
    add_connection_options(show)
    show.set_defaults(run=run_show)


async def _read(args: argparse.Namespace) -> Reply:
    path = f"{PATH}?{urlencode({'service': args.service})}"
    return await send_request(build_connection_options(args), "GET", path)


async def run_start(args: argparse.Namespace) -> Exit:
    """Order the rollout after the newest one that is known.

    All attempts name the same earlier rollout, so none of them starts anything after a
    later order. The order may be repeated, also by another call of the command.
    """
    known = await _read(args)
    if known.code not in (Code.OK, Code.UNKNOWN_ROLLOUT):
        return report_failure(known)
    body = {
        "service": args.service,
        "version": args.version,
        "duration_s": args.duration,
        "expected_sequence": known.fields.get("sequence", 0) if not known.code else 0,
    }
    connection = build_connection_options(args)
    reply = await send_request(connection, "POST", PATH, body)
    if reply.code:
        return report_failure(reply)
    sequence = reply.fields["sequence"]
    print(f'"{args.service}" is moved to "{args.version}" by rollout {sequence}')
    return Exit.DONE


async def run_show(args: argparse.Namespace) -> Exit:
    """Print the state of the service's newest rollout."""
    reply = await _read(args)
    if reply.code:
        return report_failure(reply)
    fields = reply.fields
    print(
        f'rollout {fields["sequence"]} of "{args.service}" to "{fields["version"]}" '
        f"within {fields['duration_s']:g} s: {fields['state']}"
    )
    if fields["reason"]:
        print(f"reason: {fields['reason']}")
    return Exit.DONE
