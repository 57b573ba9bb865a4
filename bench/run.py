"""Runs all benchmarks (section 1.4 of the design) and writes the results."""

import argparse
import sys
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from .decisions import decision_rows
from .replays import SEEDS, harder_rows, replay_rows
from .rows import Row
from .slopes import Slope, measure_slopes

RESULTS = Path(__file__).resolve().parent / "results.json"
COMMAND = "python -m bench.run"


class Results(msgspec.Struct):
    """Results of a full benchmark run.

    Parameters
    ----------
    seconds : float
        Duration of the run.
    """

    command: str
    seeds: list[int]
    rows: list[Row]
    slopes: list[Slope]
    seconds: float


def _gateway_rows() -> list[Row]:
    # Imported here so that the other sections can be measured without processes.
    from .gateway import gateway_rows

    return gateway_rows()


def _overload_rows() -> list[Row]:
    from .overload import overload_rows

    return overload_rows()


SECTIONS_BY_NAME: dict[str, Callable[[], list[Row]]] = {
    "decisions": decision_rows,
    "replays": replay_rows,
    "gateway": _gateway_rows,
    "overload": _overload_rows,
}
# Shows how far the replay results depend on the assumed workload.
EXTRA_SECTIONS_BY_NAME: dict[str, Callable[[], list[Row]]] = {"harder": harder_rows}


def read_results(path: Path = RESULTS) -> Results:
    """Read the results of the last run."""
    return msgspec.json.decode(path.read_bytes(), type=Results)


def main() -> int:
    """Run the benchmarks and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    sections_by_name = SECTIONS_BY_NAME | EXTRA_SECTIONS_BY_NAME
    parser.add_argument("--only", choices=sections_by_name, help="one section")
    only = parser.parse_args().only
    started = time.monotonic()
    rows: list[Row] = []
    for name in [only] if only else SECTIONS_BY_NAME:
        print(f"# {name}", flush=True)
        for row in sections_by_name[name]():
            rows.append(row)
            print(row, flush=True)
    slopes: list[Slope] = []
    if only is None:
        print("# slopes", flush=True)
        slopes = measure_slopes()
        for slope in slopes:
            print(slope)
        results = Results(
            COMMAND, list(SEEDS), rows, slopes, time.monotonic() - started
        )
        text = msgspec.json.format(msgspec.json.encode(results))
        RESULTS.write_bytes(text + b"\n")
    met = sum(row.is_met for row in rows)
    print(f"{met} met, {len(rows) - met} missed")
    return 0


if __name__ == "__main__":
    sys.exit(main())
