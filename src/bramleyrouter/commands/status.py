"""``bramleyctl status``: show the configuration and its rollout."""

import argparse
import asyncio

from bramleyrouter.commands.arguments import (
    ConnectionOptions,
    add_connection_options,
    build_connection_options,
    parse_revision,
)
from bramleyrouter.commands.exits import Exit, choose_exit
from bramleyrouter.commands.outputs import print_error, report_failure
from bramleyrouter.commands.requests import Reply, send_request

POLL_INTERVAL_S = 0.25


def add_parser(subparsers) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "status", help="show the accepted configuration and its rollout"
    )
    add_connection_options(parser)
    parser.add_argument(
        "--wait",
        action="store_true",
        help="return once all daemons have confirmed the revision",
    )
    parser.add_argument(
        "--revision",
        type=parse_revision,
        metavar="N",
        help="revision whose rollout is shown (default: the accepted one)",
    )
    parser.set_defaults(run=run)


async def run(args: argparse.Namespace) -> Exit:
    """Print the configuration and its rollout.

    With ``--wait``, poll until all daemons have confirmed the revision or the
    timeout has passed.
    """
    connection = build_connection_options(args)
    loop = asyncio.get_running_loop()
    deadline = loop.time() + connection.timeout_s
    revision = args.revision
    if revision is None:
        state = await send_request(connection, "GET", "/v1/config")
        if state.code:
            return report_failure(state)
        _print_state(state.fields)
        revision = state.fields["revision"]
    path = f"/v1/config/status?revision={revision}"
    while True:
        remaining_s = max(deadline - loop.time(), POLL_INTERVAL_S)
        rollout = await send_request(
            connection._replace(timeout_s=remaining_s), "GET", path
        )
        is_time_over = loop.time() + POLL_INTERVAL_S >= deadline
        if _is_final(rollout) or not args.wait or is_time_over:
            return _report_rollout(connection, rollout, args.wait)
        await asyncio.sleep(POLL_INTERVAL_S)


def _is_final(rollout: Reply) -> bool:
    if rollout.code:
        return choose_exit(rollout.code) is not Exit.UNCERTAIN
    return rollout.fields["is_complete"]


def _report_rollout(
    connection: ConnectionOptions, rollout: Reply, has_waited: bool
) -> Exit:
    if rollout.code:
        return report_failure(rollout)
    fields = rollout.fields
    revision, daemon_count = fields["revision"], fields["daemons"]
    if fields["is_complete"]:
        print(f"revision {revision} is confirmed by all {daemon_count} daemons")
        return Exit.DONE
    print(f"revision {revision} is not confirmed by all of {daemon_count} daemons")
    for daemon in fields["behind"]:
        print(f"behind: {daemon['daemon_id']} at revision {daemon['revision']}")
    if fields["silent"]:
        names = ", ".join(fields["silent"])
        print(f"no acknowledgement from {fields['silent_count']}: {names}")
    if not has_waited:
        return Exit.DONE
    print_error(f"The rollout did not end within {connection.timeout_s:g} s.")
    return Exit.NOT_IN_TIME


def _print_state(fields: dict) -> None:
    print(f"revision {fields['revision']}, generation {fields['generation']}")
    print(f"digest {fields['digest']}")
    for name in ("data_centres_out", "servers_out"):
        names = ", ".join(fields[name]) or "none"
        print(f"{name.replace('_', ' ')}: {names}")
