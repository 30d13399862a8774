"""``bramleyctl control``: show and change the control daemons."""

import argparse

from bramleyrouter.codes import Code
from bramleyrouter.commands.arguments import (
    ConnectionOptions,
    add_connection_options,
    build_connection_options,
)
from bramleyrouter.commands.exits import Exit
from bramleyrouter.commands.outputs import print_error, report_failure
from bramleyrouter.commands.requests import send_request

# Timeout of one attempt, in seconds. It is long because adding a member waits
# until the member has caught up with the log.
CHANGE_TIMEOUT_S = 65.0
CHANGE_PATH = "/v1/control/members"


def add_parser(subparsers) -> None:
    """Add the subcommands of ``control``."""
    parser = subparsers.add_parser("control", help="show or change control daemons")
    actions = parser.add_subparsers(dest="action", required=True)
    _add_action(actions, "status", "show the log as each control daemon sees it", ())
    _add_action(actions, "add", "add a control daemon to the log", ("address",))
    _add_action(actions, "remove", "remove a control daemon", ("member_id",))
    _add_action(
        actions,
        "replace",
        "add a control daemon, then remove a lost one",
        ("member_id", "address"),
    )


def _add_action(actions, name: str, text: str, arguments: tuple[str, ...]) -> None:
    parser = actions.add_parser(name, help=text, description=text)
    argument_helps = {
        "member_id": 'id of the member to remove, as "control status" prints it',
        "address": 'internal address of the daemon to add, as in "10.0.0.1:7100"',
    }
    for argument in arguments:
        metavar = argument.upper()
        parser.add_argument(argument, metavar=metavar, help=argument_helps[argument])
    add_connection_options(parser)
    parser.set_defaults(run=run)


async def run(args: argparse.Namespace) -> Exit:
    """Run the chosen action on the control daemons."""
    connection = build_connection_options(args)
    if args.action == "status":
        return await _show_status(connection)
    if args.action == "remove":
        return await _remove(connection, args.member_id)
    add_exit = await _add(connection, args.address)
    if add_exit is not Exit.DONE or args.action == "add":
        return add_exit
    # The new member becomes a voter before the lost one is removed, so that the
    # majority is never smaller than before.
    return await _remove(connection, args.member_id)


async def _add(connection: ConnectionOptions, address: str) -> Exit:
    body = {"action": "add", "address": address}
    reply = await send_request(connection, "POST", CHANGE_PATH, body, CHANGE_TIMEOUT_S)
    if reply.code:
        return report_failure(reply)
    print(f"the control daemon at {address} is a member")
    return Exit.DONE


async def _remove(connection: ConnectionOptions, member_id: str) -> Exit:
    body = {"action": "remove", "member_id": member_id}
    reply = await send_request(connection, "POST", CHANGE_PATH, body, CHANGE_TIMEOUT_S)
    # An earlier attempt may have removed the member although its reply was lost.
    is_already_removed = reply.code == Code.UNKNOWN_MEMBER and reply.may_have_acted
    if reply.code and not is_already_removed:
        return report_failure(reply)
    print(f'"{member_id}" is no member any more')
    return Exit.DONE


async def _show_status(connection: ConnectionOptions) -> Exit:
    reply = await send_request(connection, "GET", "/v1/control")
    if reply.code:
        return report_failure(reply)
    views = reply.fields["control"]
    for view in views:
        print(_format_view(view))
    leaders = [view for view in views if not view["failure"] and view["is_leader"]]
    if not leaders:
        print_error("No control daemon leads.")
        return Exit.UNCERTAIN
    # A deposed leader may still report that it leads; the highest term is current.
    current_leader = max(leaders, key=lambda view: view["term"])
    for member in current_leader["members"]:
        kind = "voter" if member["is_voter"] else "learner"
        print(f'member "{member["member_id"]}" at {member["address"]}: {kind}')
    return Exit.DONE


def _format_view(view: dict) -> str:
    if view["failure"]:
        return f"{view['address']}: {view['failure']['text']}"
    role = "leader" if view["is_leader"] else "follower"
    return (
        f'{view["address"]}: "{view["member_id"]}", {role}, term {view["term"]}, '
        f"committed {view['commit_index']}, applied {view['applied_index']}"
    )
