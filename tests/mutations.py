"""Apply mutations to a copy of the source and report which tests catch them.

Run ``python -m tests.mutations`` from the root of the checkout; it is no part
of CI. A mutation replaces text that occurs exactly once in its file.
"""

import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parent.parent
TIMEOUT_S = 240


class Mutation(NamedTuple):
    """Say what to break, where, and which tests ought to fail."""

    name: str
    file: str
    old: str
    new: str
    checks: tuple[str, ...]


def _command(check: str) -> list[str]:
    if check.startswith("features"):
        return [sys.executable, "-m", "behave", "--format", "progress", check]
    return [sys.executable, "-m", "pytest", "-x", "-p", "no:randomly", check]


def _run(copy: Path, check: str) -> bool:
    """Return whether a check passes on the copy; a hang counts as caught."""
    env = dict(os.environ, PYTHONPATH=f"{copy / 'src'}:{copy}", PYTHONHASHSEED="0")
    try:
        done = subprocess.run(
            _command(check),
            cwd=copy,
            env=env,
            timeout=TIMEOUT_S,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
    except subprocess.TimeoutExpired:
        return False
    return done.returncode == 0


def find_catching(mutation: Mutation) -> str | None:
    """Return the first check that fails under a mutation, or none."""
    with tempfile.TemporaryDirectory(prefix="bramley-mutation-") as folder:
        copy = Path(folder)
        for name in ("src", "tests", "features"):
            shutil.copytree(ROOT / name, copy / name)
        for name in ("pyproject.toml", "docs"):
            os.symlink(ROOT / name, copy / name)
        path = copy / "src" / "bramleyrouter" / mutation.file
        text = path.read_text()
        if mutation.old and text.count(mutation.old) != 1:
            raise ValueError(f"{mutation.name}: the text must occur exactly once.")
        if mutation.old:
            path.write_text(text.replace(mutation.old, mutation.new))
        return next((one for one in mutation.checks if not _run(copy, one)), None)


def main(names: list[str]) -> int:
    """Try the named mutations, or all; return how many nothing caught."""
    from tests.mutation_list import MUTATIONS

    # Without this, a check that fails anyway would seem to catch everything.
    checks = sorted({check for one in MUTATIONS for check in one.checks})
    unsound = find_catching(Mutation("none", "codes.py", "", "", tuple(checks)))
    if unsound:
        print(f"{unsound} fails without a mutation.", file=sys.stderr)
        return 1
    missed = 0
    for mutation in MUTATIONS:
        if names and mutation.name not in names:
            continue
        caught = find_catching(mutation)
        missed += caught is None
        shown = f"`{caught}`" if caught else "not caught"
        print(f"| {mutation.name} | `{mutation.file}` | {shown} |", flush=True)
    return missed


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
