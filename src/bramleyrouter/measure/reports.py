"""Write the results of experiments as JSON, a Markdown table and a plot."""

import json
import os
from collections.abc import Iterator
from pathlib import Path

COLUMNS = (
    ("p50_ms", "p50 ms", 1),
    ("p99_ms", "p99 ms", 1),
    ("p999_ms", "p99.9 ms", 1),
    ("coverage", "coverage", 4),
    ("extra_load", "extra load", 3),
    ("goodput_qps", "goodput q/s", 1),
    ("refused", "refused", 0),
    ("peak_over_slots", "peak/slots", 2),
    ("violations", "violations", 0),
)


def _rows(found: list[dict]) -> Iterator[tuple[str, str, dict]]:
    for item in found:
        label = f"{item['size']['name']}: {item['experiment']}"
        for who, figures in item["figures"].items():
            if isinstance(figures, dict):
                yield label, who, figures


def make_table(found: list[dict]) -> str:
    """Return a Markdown table of all experiments."""
    names = " | ".join(title for _, title, _ in COLUMNS)
    lines = [f"| experiment | who | {names} |", "|---" * (len(COLUMNS) + 2) + "|"]
    for label, who, figures in _rows(found):
        cells = [
            f"{figures[key]:.{digits}f}" if key in figures else ""
            for key, _, digits in COLUMNS
        ]
        lines.append(f"| {label} | {who} | {' | '.join(cells)} |")
    return "\n".join(lines) + "\n"


def _plot(found: list[dict], path: Path) -> None:
    try:
        import matplotlib
    except ImportError:
        return
    matplotlib.use("Agg")
    from matplotlib import pyplot

    rows = [row for row in _rows(found) if "p99_ms" in row[2]]
    figure, axes = pyplot.subplots(figsize=(9, 0.4 * len(rows) + 1.5))
    labels = [f"{label} ({who})" for label, who, _ in rows]
    axes.barh(labels, [figures["p99_ms"] for _, _, figures in rows])
    axes.invert_yaxis()
    axes.set_xlabel("99th percentile of latency, ms")
    figure.tight_layout()
    figure.savefig(path)


def write_report(found: list[dict], folder: Path, seconds: float) -> None:
    """Write ``results.json``, ``results.md`` and ``p99.png`` to ``folder``."""
    folder.mkdir(parents=True, exist_ok=True)
    load = os.getloadavg()
    report = {"load_average": load, "seconds": seconds, "experiments": found}
    (folder / "results.json").write_text(json.dumps(report, indent=1))
    table = make_table(found)
    (folder / "results.md").write_text(table)
    _plot(found, folder / "p99.png")
    print(table)
