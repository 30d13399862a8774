"""``bramleyctl out`` and ``in``: take out of service, and back in."""

import argparse

from bramleyrouter.commands.arguments import (
    add_author_options,
    add_target_options,
    author_of,
    target_of,
)
from bramleyrouter.commands.exits import Exit
from bramleyrouter.commands.outputs import print_error, report_failure
from bramleyrouter.commands.requests import send_request


def add_parsers(subparsers) -> None:
    """Add the arguments of both subcommands."""
    for name, is_out, text in (
        ("out", True, "take a data centre or a backend server out of service"),
        ("in", False, "take a data centre or a backend server back into service"),
    ):
        parser = subparsers.add_parser(name, help=text)
        what = parser.add_mutually_exclusive_group(required=True)
        what.add_argument("--data-centre", metavar="NAME")
        what.add_argument("--server", metavar="ID")
        add_target_options(parser)
        add_author_options(parser)
        parser.set_defaults(run=run, is_out=is_out)


async def run(args: argparse.Namespace) -> Exit:
    """Set the availability and print the revision that it became."""
    target, author = target_of(args), author_of(args)
    print(f"request id {author.request_id}")
    if args.data_centre is not None:
        place = {"data_centre": args.data_centre}
    else:
        place = {"server_id": args.server}
    body = {**author._asdict(), "is_out": args.is_out, **place}
    reply = await send_request(target, "POST", "/v1/config/availability", body)
    if reply.code:
        return report_failure(reply, author.request_id)
    (name,) = place.values()
    if not reply.fields.get("is_known", True):
        print_error(f'"{name}" is not known to the daemon; check its spelling.')
    state = "out of" if args.is_out else "in"
    print(f'"{name}" is {state} service as revision {reply.fields["revision"]}')
    return Exit.DONE
