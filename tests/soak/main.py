"""Run the soak: ``python -m tests.soak.main --seeds 50 --first-seed 1``."""

import argparse
import sys
import tempfile
from collections import Counter
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path

from tests.soak.runner import list_faults, run_seed


def parse_arguments(arguments: list[str]) -> argparse.Namespace:
    """Read the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=10, help="number of seeds")
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--parallel", type=int, default=2, help="runs side by side")
    parser.add_argument("--folder", type=Path, help="where logs are kept")
    return parser.parse_args(arguments)


def main(arguments: list[str]) -> int:
    """Run the seeds, print a table of faults and failures, return the exit code."""
    options = parse_arguments(arguments)
    folder = options.folder or Path(tempfile.mkdtemp(prefix="bramley-soak-"))
    met, failed, checks = Counter(), Counter(), Counter()
    failures = 0
    with ProcessPoolExecutor(options.parallel) as pool:
        seeds = range(options.first_seed, options.first_seed + options.seeds)
        futures = {
            pool.submit(run_seed, seed, folder / str(seed)): seed for seed in seeds
        }
        for future in as_completed(futures):
            seed = futures[future]
            plan, record = future.result()
            met.update(list_faults(plan))
            checks.update(record.checks)
            print(f"seed {seed}: {len(record.violations)} violations", flush=True)
            if record.violations:
                failures += 1
                failed.update(list_faults(plan))
                print(plan.describe(), *record.violations, folder / str(seed), sep="\n")
    print("\nfault, seeds with it, failed seeds with it")
    for fault, count in sorted(met.items(), key=lambda item: item[0].value):
        print(f"  {fault.value:34} {count:4} {failed[fault]:4}")
    print("checks:", dict(checks))
    print(f"{failures} of {options.seeds} seeds failed; logs: {folder}")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
