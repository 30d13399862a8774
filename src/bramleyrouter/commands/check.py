"""``bramleyctl check``: check a manifest without a daemon."""

import argparse

from result import Err, Ok, Result

from bramleyrouter.board.sections import Manifest
from bramleyrouter.commands.arguments import add_manifest_argument
from bramleyrouter.commands.exits import Exit
from bramleyrouter.commands.outputs import print_error
from bramleyrouter.control.manifests import (
    build_manifest_failure,
    check_manifest,
    parse_manifest,
)
from bramleyrouter.failures import Failure


def add_parser(subparsers) -> None:
    """Add the subcommand."""
    parser = subparsers.add_parser(
        "check", help="check a manifest without contacting a daemon"
    )
    add_manifest_argument(parser)
    parser.set_defaults(run=run)


async def run(args: argparse.Namespace) -> Exit:
    """Check the file and print every finding."""
    checked = read_manifest(args.file.content)
    if isinstance(checked, Err):
        return report_findings(args.file.path, checked.err_value)
    manifest = checked.ok_value
    shards = sum(len(service.shards) for service in manifest.services)
    print(
        f"{args.file.path}: generation {manifest.generation}, "
        f"{len(manifest.services)} services, {shards} shards, no errors."
    )
    return Exit.DONE


def read_manifest(text: bytes) -> Result[Manifest, Failure]:
    """Decode and check the JSON of a manifest."""
    parsed = parse_manifest(text)
    if isinstance(parsed, Err):
        return parsed
    findings = check_manifest(parsed.ok_value)
    return Err(build_manifest_failure(findings)) if findings else Ok(parsed.ok_value)


def report_findings(path: str, failure: Failure) -> Exit:
    """Print the findings of a manifest and return the exit code."""
    print_error(f"{path}: {failure.text}", failure.findings)
    return Exit.INVALID_MANIFEST
