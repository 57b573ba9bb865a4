"""Run all tests and print a final line with the counts.

Test classes run concurrently in a few worker processes. Tests listed in
KNOWN-RED.txt may fail without failing the run; they are printed. A listed test
that passes, or that does not exist, fails the run, so that the list stays true.
"""

import io
import multiprocessing
import sys
import unittest
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
# Fleet tests start about ten processes each and are idle most of the time.
WORKERS = 6
# Modules whose classes run one after the other when all others have ended: they press
# a process with a crowd of clients, and other load would hide or fake its faults.
SERIAL_MODULES = ("tests.test_clients_that_stop_short",)


def read_known_red(path: Path = KNOWN_RED) -> set[str]:
    """Read the identifiers of tests that are known to fail.

    Parameters
    ----------
    path : Path
        File whose entries start with a line ``test: <identifier>``.

    Returns
    -------
    set of str
        Identifiers as printed by ``unittest.TestCase.id``.
    """
    if not path.exists():
        return set()
    lines = path.read_text().splitlines()
    return {line[5:].strip() for line in lines if line.startswith("test:")}


@dataclass(slots=True)
class Outcome:
    """Results of a group of tests, such as one class."""

    passed_ids: list[str] = field(default_factory=list)
    failures_by_id: dict[str, str] = field(default_factory=dict)
    skipped_ids: list[str] = field(default_factory=list)


class _Result(unittest.TestResult):
    """Collects the identifiers of passed tests."""

    def __init__(self):
        super().__init__()
        self.passed_ids: list[str] = []

    def addSuccess(self, test):  # noqa: N802
        super().addSuccess(test)
        self.passed_ids.append(test.id())


def run_ids(test_ids: list[str]) -> Outcome:
    """Run tests by identifier in this process and return their results."""
    result = _Result()
    result.buffer = True
    unittest.defaultTestLoader.loadTestsFromNames(test_ids).run(result)
    outcome = Outcome(result.passed_ids)
    for test, trace in [*result.failures, *result.errors]:
        outcome.failures_by_id[test.id()] = trace
    outcome.skipped_ids = [test.id() for test, _ in result.skipped]
    if result.unexpectedSuccesses or result.expectedFailures:
        outcome.failures_by_id[test_ids[0]] = "expected failures are not used here"
    return outcome


def _iterate_tests(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from _iterate_tests(item)
        else:
            yield item


def _ids_by_class(patterns: list[str]) -> dict[str, list[str]]:
    ids_by_class: dict[str, list[str]] = {}
    for pattern in patterns:
        loader = unittest.TestLoader()
        suite = loader.discover(
            str(ROOT / "tests"), pattern=pattern, top_level_dir=str(ROOT)
        )
        for error in loader.errors:
            # A module that cannot be imported counts as a failed test below.
            print(error)
        for test in _iterate_tests(suite):
            ids_by_class.setdefault(test.id().rpartition(".")[0], []).append(test.id())
    return ids_by_class


def _run_all(ids_by_class: dict[str, list[str]]) -> Outcome:
    combined = Outcome()
    # Classes that start processes take the longest, so they start first.
    class_names = sorted(ids_by_class, key=lambda name: "test_fleet" not in name)
    serial_names = [name for name in class_names if _is_serial(name)]
    other_names = [name for name in class_names if not _is_serial(name)]
    for names, workers in ((other_names, WORKERS), (serial_names, 1)):
        if names:
            _run_classes(names, ids_by_class, workers, combined)
    return combined


def _is_serial(class_name: str) -> bool:
    return class_name.rpartition(".")[0] in SERIAL_MODULES


def _run_classes(
    class_names: list[str],
    ids_by_class: dict[str, list[str]],
    workers: int,
    combined: Outcome,
) -> None:
    """Run classes in worker processes and add their results."""
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(workers, mp_context=context) as executor:
        names_by_future = {
            executor.submit(run_ids, ids_by_class[name]): name for name in class_names
        }
        for future in as_completed(names_by_future):
            name = names_by_future[future]
            outcome = future.result()
            failed = len(outcome.failures_by_id)
            print(f"{name}: {len(outcome.passed_ids)} passed, {failed} failed")
            for test_id, trace in outcome.failures_by_id.items():
                print(f"\nFAILED {test_id}\n{trace}")
            combined.passed_ids += outcome.passed_ids
            combined.failures_by_id.update(outcome.failures_by_id)
            combined.skipped_ids += outcome.skipped_ids


def main() -> int:
    """Run the tests and return the exit status."""
    patterns = sys.argv[1:] or ["test_*.py"]
    sys.stdout = io.TextIOWrapper(sys.stdout.buffer, line_buffering=True)
    ids_by_class = _ids_by_class(patterns)
    combined = _run_all(ids_by_class)
    known_red = read_known_red()
    known_ids = {test_id for ids in ids_by_class.values() for test_id in ids}
    known_failures = set(combined.failures_by_id) & known_red
    for test_id in sorted(known_failures):
        print(f"known red: {test_id}")
    wrong_entries = known_red & set(combined.passed_ids)
    if patterns == ["test_*.py"]:
        wrong_entries |= known_red - known_ids
    for test_id in sorted(wrong_entries):
        print(f"listed in KNOWN-RED.txt but passes or does not exist: {test_id}")
    failed = len(set(combined.failures_by_id) - known_red) + len(wrong_entries)
    passed = len(combined.passed_ids) - len(known_red & set(combined.passed_ids))
    skipped = len(combined.skipped_ids) + len(known_failures)
    print(f"{passed} passed, {failed} failed, {skipped} skipped")
    return 0 if failed == 0 and passed > 0 else 1


if __name__ == "__main__":
    sys.exit(main())
