"""Command line shared by the daemons."""

import argparse
import sys

from result import Err

from bramleyrouter import __version__
from bramleyrouter.conf.settings import Settings, read_settings

EXIT_OK = 0
EXIT_INVALID_SETTINGS = 2
EXIT_START_FAILED = 3

_EPILOG = """exit codes:
  0  stopped on a signal, or --check found no error
  2  the settings or the arguments are not valid
  3  the daemon could not start
"""


def build_parser(program: str, description: str) -> argparse.ArgumentParser:
    """Return the parser of a daemon's command line."""
    parser = argparse.ArgumentParser(
        prog=program,
        description=description,
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--settings", required=True, metavar="FILE", help="JSON file with the settings"
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    parser.add_argument(
        "--version", action="version", version=f"%(prog)s {__version__}"
    )
    return parser


def load_settings(args: argparse.Namespace) -> Settings:
    """Read the settings; print every finding and exit if they are not valid.

    With ``--check``, the process exits with 0 if the settings are valid.
    """
    loaded = read_settings(args.settings)
    if isinstance(loaded, Err):
        failure = loaded.err_value
        print(failure, file=sys.stderr)
        for finding in failure.findings:
            print(f"  {finding}", file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    if args.check:
        print(f"{args.settings}: no errors.")
        sys.exit(EXIT_OK)
    return loaded.ok_value
