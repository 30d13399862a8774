"""Run the experiments and write JSON, a Markdown table and plots.

Run as ``python -m bramleyrouter.measure.main [--only NAME] [--seconds N]``. It
starts daemons and stand-ins as processes of their own on loopback, and stops
them. It is no program of the product, whose processes start no others.
"""

import argparse
import asyncio
import json
import tempfile
import time
from pathlib import Path

from bramleyrouter.measure import experiments
from bramleyrouter.measure.deployments import start_deployment
from bramleyrouter.measure.reports import write_report

# Name, size, experiment, queries per second.
PLAN = (
    ("steady", experiments.TERRE_SURE, experiments.measure_steady, 10.0),
    ("stragglers", experiments.TERRE_SURE, experiments.measure_stragglers, 10.0),
    ("versions", experiments.TERRE_SURE, experiments.measure_versions, 10.0),
    ("out-and-back", experiments.TERRE_SURE, experiments.measure_data_centre_out, 10.0),
    ("replica-lost", experiments.TERRE_SURE, experiments.measure_replica_lost, 10.0),
    ("steady", experiments.PORCHLIGHT, experiments.measure_steady, 10.0),
    ("stragglers", experiments.PORCHLIGHT, experiments.measure_stragglers, 10.0),
    ("versions", experiments.PORCHLIGHT, experiments.measure_versions, 10.0),
    ("out-and-back", experiments.PORCHLIGHT, experiments.measure_data_centre_out, 10.0),
    ("replica-lost", experiments.PORCHLIGHT, experiments.measure_replica_lost, 10.0),
    ("overload", experiments.OVERLOAD, experiments.measure_overload, 0.0),
    ("cold", experiments.COLD, experiments.measure_cold, 40.0),
)
DEFAULT_SECONDS = 20.0


def _processor_times(deployment) -> dict[str, float]:
    names = deployment.processes.children
    return {name: deployment.processes.processor_time(name) for name in names}


def _spent(before: dict[str, float], after: dict[str, float], prefix: str) -> float:
    return sum(after[name] - before[name] for name in after if name.startswith(prefix))


async def _run_group(size, plans, seconds: float, folder: Path) -> list[dict]:
    deployment = await start_deployment(size, folder / size.name)
    found = []
    try:
        await asyncio.sleep(experiments.WARM_UP_S)
        for name, measure, rate in plans:
            print(f"{size.name}: {name} ...", flush=True)
            before = _processor_times(deployment)
            figures = await measure(deployment, rate, seconds)
            after = _processor_times(deployment)
            found.append(
                {
                    "experiment": name,
                    "size": size._asdict(),
                    "rate_qps": rate,
                    "seconds": seconds,
                    "figures": figures,
                    "entry_processor_s": _spent(before, after, "entry"),
                    "baseline_processor_s": _spent(before, after, "baseline"),
                    "entry_resident_mb": deployment.processes.resident_bytes("entry-1")
                    / 1e6,
                    "control_resident_mb": deployment.processes.resident_bytes(
                        "control-1"
                    )
                    / 1e6,
                }
            )
            print(json.dumps(figures, indent=1), flush=True)
    finally:
        await deployment.processes.stop_all()
    return found


async def _run(only: list[str], seconds: float, folder: Path) -> list[dict]:
    found = []
    sizes = dict.fromkeys(size for _, size, _, _ in PLAN)
    for size in sizes:
        plans = [
            (name, measure, rate)
            for name, of_size, measure, rate in PLAN
            if of_size is size and (not only or name in only or size.name in only)
        ]
        if plans:
            found += await _run_group(size, plans, seconds, folder)
    return found


def main() -> None:
    """Run the chosen experiments."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--only", action="append", default=[], help="name of an experiment or a size"
    )
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS)
    parser.add_argument("--out", type=Path, default=Path("measurements/out"))
    args = parser.parse_args()
    started = time.time()
    with tempfile.TemporaryDirectory(prefix="bramley-measure-") as folder:
        found = asyncio.run(_run(args.only, args.seconds, Path(folder)))
    write_report(found, args.out, time.time() - started)


if __name__ == "__main__":
    main()
