"""``bramleyctl publish``: publish a manifest."""

import argparse

import msgspec
from result import Err

from bramleyrouter.commands.arguments import (
    add_change_identity_options,
    add_connection_options,
    add_manifest_argument,
    build_change_identity,
    build_connection_options,
)
from bramleyrouter.commands.check import read_manifest, report_findings
from bramleyrouter.commands.exits import Exit
from bramleyrouter.commands.outputs import report_failure
from bramleyrouter.commands.requests import send_request


def add_parser(subparsers) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser("publish", help="check and publish a manifest")
    add_manifest_argument(parser)
    add_connection_options(parser)
    add_change_identity_options(parser)
    parser.set_defaults(run=run)


async def run(args: argparse.Namespace) -> Exit:
    """Publish the manifest and print its revision."""
    connection, identity = build_connection_options(args), build_change_identity(args)
    checked = read_manifest(args.file.content)
    if isinstance(checked, Err):
        return report_findings(args.file.path, checked.err_value)
    print(f"request id {identity.request_id}")
    manifest = msgspec.to_builtins(checked.ok_value)
    body = {**identity._asdict(), "manifest": manifest}
    reply = await send_request(connection, "POST", "/v1/config/manifest", body)
    if reply.code:
        return report_failure(reply, identity.request_id)
    revision, generation = reply.fields["revision"], reply.fields["generation"]
    print(f"generation {generation} accepted as revision {revision}")
    return Exit.DONE
