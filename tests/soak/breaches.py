"""Break one promise at a time in a copy of the source; report the seed that finds it.

Run ``python -m tests.soak.breaches`` from the root of the checkout; it is no part of
CI. A breach replaces text that occurs exactly once in its file.
"""

import argparse
import os
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).resolve().parents[2]
MAX_SEEDS = 10
SEED_TIMEOUT_S = 180


class Breach(NamedTuple):
    """Say what to break, where, and the rules that the soak must find broken."""

    name: str
    file: str
    old: str
    new: str
    rules: tuple[str, ...]


BREACHES = (
    Breach(
        "a reload signal ends the process",
        "platform/settings_watch.py",
        "            on_change(new)\n",
        "            raise SystemExit(1)\n",
        ("ended by itself",),
    ),
    Breach(
        "the log isn't written",
        "consensus/files.py",
        "    while view:",
        "    while False:",
        ("older table", "lost", "no acknowledgement"),
    ),
    Breach(
        "an older table replaces a newer one",
        "control/route_tables.py",
        "command.version <= tables.version",
        "command.version == tables.version",
        ("older table",),
    ),
    Breach(
        "a read alters the table",
        "platform/operators.py",
        "PlatformReply(200, outcome.ok_value.document)",
        'PlatformReply(200, outcome.ok_value.document.replace(b"300", b"301"))',
        ("other table",),
    ),
    Breach(
        "an invalid table is acknowledged",
        "platform/operators.py",
        "    if findings:",
        "    if False:",
        ("invalid table",),
    ),
    Breach(
        "a body is cut",
        "platform/callers.py",
        "status, body = reply.server.status, reply.server.body",
        "status, body = reply.server.status, reply.server.body[:8000]",
        ("answer of another request",),
    ),
    Breach(
        "a submission is sent twice",
        "platform/route_documents.py",
        "is_idempotent = item.type == RequestKind.IDEMPOTENT.value",
        "is_idempotent = True",
        ("ran twice",),
    ),
    Breach(
        "a submission that ran is refused",
        "platform/callers.py",
        "        status, body = reply.server.status, reply.server.body",
        "        status, body = reply.server.status, reply.server.body\n"
        "        if len(body) == 20:\n"
        "            return 503, HTTPHeaders({'Content-Length': '0'}), b''",
        ("promise",),
    ),
    Breach(
        "a request has another id",
        "platform/server_transport.py",
        "{names.REQUEST_ID}: {request.request_id}",
        "{names.REQUEST_ID}: {request.request_id}-1",
        ("unasked",),
    ),
    Breach(
        "a stop closes busy connections",
        "platform/callers.py",
        "for conn in state.connections - state.busy.keys():",
        "for conn in set(state.connections):",
        ("cut request",),
    ),
    Breach(
        "a stop waits for nothing",
        "daemons/lifecycles.py",
        "await stop_daemon(daemon, balancer_wait_s, stop_timeout_s)",
        "await daemon.close()",
        ("cut request",),
    ),
    Breach(
        "no route table counts as no route",
        "gateway/requests.py",
        'build_refusal(gateway, "no route table yet", NO_TABLE_RETRY_S)',
        'GatewayReply(ReplyKind.NO_ROUTE, "no route table yet")',
        ("denied",),
    ),
    Breach(
        "readiness is never reported",
        "platform/entry_daemon.py",
        "is_ready = not reasons",
        "is_ready = False",
        ("not ready",),
    ),
)


def make_copy(folder: Path, breach: Breach) -> None:
    """Copy the source and break it."""
    for name in ("src", "tests"):
        shutil.copytree(
            ROOT / name, folder / name, ignore=shutil.ignore_patterns("__pycache__")
        )
    path = folder / "src" / "bramleyrouter" / breach.file
    text = path.read_text()
    if text.count(breach.old) != 1:
        raise ValueError(f'"{breach.old}" must occur once in "{breach.file}".')
    path.write_text(text.replace(breach.old, breach.new))


def find_seed(breach: Breach, first_seed: int) -> int | None:
    """Return the first seed whose run finds one of the breach's rules broken."""
    with tempfile.TemporaryDirectory(prefix="bramley-breach-") as name:
        copy = Path(name)
        make_copy(copy, breach)
        env = dict(os.environ, PYTHONPATH=f"{copy / 'src'}:{copy}", PYTHONHASHSEED="0")
        for seed in range(first_seed, first_seed + MAX_SEEDS):
            folder = copy / "logs"
            command = [sys.executable, "-m", "tests.soak.main", "--seeds", "1"]
            command += ["--first-seed", str(seed), "--folder", str(folder)]
            subprocess.run(
                command,
                cwd=copy,
                env=env,
                timeout=SEED_TIMEOUT_S,
                stdout=subprocess.DEVNULL,
                check=False,
            )
            # The file is missing only if the soak itself has failed.
            lines = (folder / str(seed) / "result.txt").read_text().splitlines()
            if any(f" {rule}: " in line for line in lines for rule in breach.rules):
                return seed
    return None


def main(arguments: list[str]) -> int:
    """Print the seed that finds each breach; return 1 if one isn't found."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--parallel", type=int, default=1)
    parser.add_argument("names", nargs="*", help="breaches to try; all by default")
    options = parser.parse_args(arguments)
    chosen = [item for item in BREACHES if item.name in (options.names or [item.name])]
    with ThreadPoolExecutor(options.parallel) as pool:
        find = lambda breach: find_seed(breach, options.first_seed)
        seeds = []
        for breach, seed in zip(chosen, pool.map(find, chosen), strict=True):
            found = f"seed {seed}" if seed is not None else "not found"
            print(f"{breach.name}: {found} ({', '.join(breach.rules)})", flush=True)
            seeds.append(seed)
    return 1 if None in seeds else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
