"""Check that no node process ends by itself or exceeds the memory of its machine."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .run import Soak

# Memory of the machine in the settings of each node.
MEMORY_MB = 222
SAMPLE_INTERVAL_S = 0.2
KIB_PER_MB = 1024
# Lines of a node's log about an error that ended a term, or the read of a table.
FAILURE_EVENTS = ("leader_failed", "fleet_step_failed", "table_failed", "row_failed")
MAX_QUOTED_CHARS = 300


class ProcessCheck:
    """Watches the node processes of a run and reads their logs at its end.

    Parameters
    ----------
    soak : Soak
        Run whose nodes are watched.

    Attributes
    ----------
    peak_mb : float
        Largest resident memory of any node process.
    """

    def __init__(self, soak: Soak) -> None:
        self._soak = soak
        self._started_at_by_pid: dict[int, float] = {}
        self._peaks_mb_by_process: dict[str, float] = {}
        self._findings_by_process: dict[str, str] = {}

    def record_start(self, pid: int) -> None:
        """Record that a process has been started."""
        self._started_at_by_pid[pid] = time.monotonic()

    async def run(self) -> None:
        """Sample all processes until the task is cancelled."""
        while True:
            for node, process in list(self._soak.processes.items()):
                if process.returncode is None:
                    self.record_peak(node, process.pid, peak_mb(process.pid))
                else:
                    self.record_end(node, process.pid, process.returncode)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def record_peak(self, node: int, pid: int, peak: float) -> None:
        """Record the peak of a process of a node, in MB."""
        name = _process_name(node, pid)
        before = self._peaks_mb_by_process.get(name, 0.0)
        self._peaks_mb_by_process[name] = max(before, peak)
        if before < MEMORY_MB <= peak:
            self._soak.endings.note(f"{name} reaches {peak:.0f} MB")

    def record_end(self, node: int, pid: int, status: int) -> None:
        """Record that a process has ended, which may have been asked of it."""
        name = _process_name(node, pid)
        started_at = self._started_at_by_pid[pid]
        if name in self._findings_by_process:
            return
        if not self._soak.endings.is_end_expected(node, started_at):
            context = self._soak.endings.recent_events()
            self._findings_by_process[name] = (
                f"{name} ended by itself with status {status}; beside {context}"
            )

    @property
    def peak_mb(self) -> float:
        """Largest resident memory of any node process, in MB."""
        return max(self._peaks_mb_by_process.values(), default=0.0)

    def findings(self) -> list[str]:
        """Return a line for each process or duty that failed."""
        lines = list(self._findings_by_process.values())
        if self._soak.has_bad_input:
            lines += [
                f"{name} held {peak:.0f} MB, its machine has {MEMORY_MB} MB"
                for name, peak in self._peaks_mb_by_process.items()
                if peak >= MEMORY_MB
            ]
            for node in range(1, self._soak.node_count + 1):
                lines += failure_findings(self._soak.folder / f"node-{node}.log")
        return lines


def _process_name(node: int, pid: int) -> str:
    return f"node-{node} (process {pid})"


def peak_mb(pid: int) -> float:
    """Return the peak of a process's resident memory in MB; 0 if it has ended."""
    try:
        text = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        # The process has ended since; its last sample counts.
        return 0.0
    for line in text.splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / KIB_PER_MB
    return 0.0


def failure_findings(log: Path) -> list[str]:
    """Return a line for each kind of error that ended duties of a node."""
    counts: Counter[str] = Counter()
    first_by_event: dict[str, str] = {}
    for line in log.read_text(errors="replace").splitlines():
        for event in FAILURE_EVENTS:
            if f" event={event} " in line:
                counts[event] += 1
                first_by_event.setdefault(event, line[:MAX_QUOTED_CHARS])
    return [
        f"{log.stem} logs {count} times {event}: {first_by_event[event]}"
        for event, count in counts.items()
    ]
