"""Print the errors and failures of the subcommands."""

import sys
from collections.abc import Iterable

from bramleyrouter.commands.exits import Exit, choose_exit
from bramleyrouter.commands.requests import Reply


def print_error(text: str, findings: Iterable[object] = ()) -> None:
    """Print a message and findings to standard error."""
    print(f"bramleyctl: {text}", file=sys.stderr)
    for finding in findings:
        print(f"  {finding}", file=sys.stderr)


def report_failure(reply: Reply, request_id: str = "") -> Exit:
    """Print why a request failed and return the exit code.

    If the outcome is uncertain, the output asks the operator to repeat the
    change with ``request_id``.
    """
    name = reply.fields.get("name", "")
    text = f"[{reply.code}] {name} {reply.fields.get('text', '')}"
    print_error(text, reply.fields.get("findings", ()))
    code = choose_exit(reply.code)
    if code is Exit.UNCERTAIN and request_id:
        print_error(f"It may be accepted later. Repeat with --request-id {request_id}")
    return code
