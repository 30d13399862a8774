"""Entry point of ``bramleyctl``, the operators' command."""

import argparse
import asyncio
import sys
from collections.abc import Sequence

from bramleyrouter import __version__
from bramleyrouter.commands import (
    availability,
    check,
    control,
    explain,
    publish,
    rollout,
    status,
)
from bramleyrouter.commands.exits import EPILOG


def build_parser() -> argparse.ArgumentParser:
    """Return the parser with all subcommands."""
    parser = argparse.ArgumentParser(
        prog="bramleyctl",
        description="Publish configurations and manage a cluster of bramleyrouter.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--version", action="version", version=f"%(prog)s {__version__}"
    )
    subparsers = parser.add_subparsers(dest="command", required=True)
    check.add_parser(subparsers)
    publish.add_parser(subparsers)
    availability.add_parsers(subparsers)
    status.add_parser(subparsers)
    rollout.add_parser(subparsers)
    control.add_parser(subparsers)
    explain.add_parser(subparsers)
    return parser


async def run_command(arguments: Sequence[str]) -> int:
    """Run one command line and return its exit code.

    Invalid arguments end the process with ``Exit.USAGE``.
    """
    args = build_parser().parse_args(arguments)
    return int(await args.run(args))


def main() -> None:
    """Run ``bramleyctl`` on the process's arguments and exit."""
    sys.exit(asyncio.run(run_command(sys.argv[1:])))


if __name__ == "__main__":
    main()
