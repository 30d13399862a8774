"""``bramleyctl out`` and ``in``: take places out of service and back in."""

import argparse

from bramleyrouter.commands.arguments import (
    add_change_identity_options,
    add_connection_options,
    build_change_identity,
    build_connection_options,
)
from bramleyrouter.commands.exits import Exit
from bramleyrouter.commands.outputs import print_error, report_failure
from bramleyrouter.commands.requests import send_request


def add_parsers(subparsers) -> None:
    """Add both subcommands."""
    for name, is_out, text in (
        ("out", True, "take a data centre or a backend server out of service"),
        ("in", False, "take a data centre or a backend server back into service"),
    ):
        parser = subparsers.add_parser(name, help=text)
        place_options = parser.add_mutually_exclusive_group(required=True)
        place_options.add_argument("--data-centre", metavar="NAME")
        place_options.add_argument("--server", metavar="ID")
        add_connection_options(parser)
        add_change_identity_options(parser)
        parser.set_defaults(run=run, is_out=is_out)


async def run(args: argparse.Namespace) -> Exit:
    """Set the availability and print the revision of the change."""
    connection, identity = build_connection_options(args), build_change_identity(args)
    print(f"request id {identity.request_id}")
    if args.data_centre is not None:
        place = {"data_centre": args.data_centre}
    else:
        place = {"server_id": args.server}
    body = {**identity._asdict(), "is_out": args.is_out, **place}
    reply = await send_request(connection, "POST", "/v1/config/availability", body)
    if reply.code:
        return report_failure(reply, identity.request_id)
    (name,) = place.values()
    if not reply.fields.get("is_known", True):
        print_error(f'"{name}" is not known to the daemon; check its spelling.')
    state = "out of" if args.is_out else "in"
    print(f'"{name}" is {state} service as revision {reply.fields["revision"]}')
    return Exit.DONE
