"""TCP relay that simulates network partitions between chosen sources and a target."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import os
from collections.abc import Callable
from pathlib import Path

HOST = "127.0.0.1"
CHUNK_BYTES = 64 * 1024


class PartitionMode(enum.Enum):
    """How connections from a source are blocked."""

    # Open connections are reset, and new ones are reset as soon as they are accepted.
    REFUSE = "refuse"
    # Connections stay open, but all data is silently dropped.
    DROP = "drop"


class PartitionRelay:
    """Relays connections to a target, except those from blocked sources.

    Parameters
    ----------
    target : str
        ``host:port`` that connections are relayed to.
    source_of : callable
        Returns the name of the source of a connection, given the local and the
        remote port as the source sees them.
    """

    def __init__(
        self, target: str, source_of: Callable[[tuple[int, int]], str]
    ) -> None:
        self.target = target
        self.address = ""
        self.modes_by_source: dict[str, PartitionMode] = {}
        self._source_of = source_of
        self._server: asyncio.Server | None = None
        self._writers_by_task: dict[asyncio.Task, list[asyncio.StreamWriter]] = {}
        self._sources_by_task: dict[asyncio.Task, str] = {}
        # Connections that lost data, so that they cannot be resumed.
        self._lossy_tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._relay_connection, HOST, 0)
        self.address = f"{HOST}:{self._server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        assert self._server is not None
        self._server.close()
        tasks = list(self._writers_by_task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def block(self, source: str, mode: PartitionMode) -> None:
        """Block the connections from a source."""
        self.modes_by_source[source] = mode
        if mode is PartitionMode.REFUSE:
            self._reset(
                t for t, name in self._sources_by_task.items() if name == source
            )

    def heal(self) -> None:
        """Unblock all sources, and reset the connections that lost data."""
        self.modes_by_source.clear()
        self._reset(self._lossy_tasks)

    def _reset(self, tasks) -> None:
        for task in list(tasks):
            for writer in self._writers_by_task[task]:
                writer.transport.abort()

    async def _relay_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        ports = (writer.get_extra_info(name)[1] for name in ("peername", "sockname"))
        source = self._source_of(tuple(ports))
        self._writers_by_task[task] = [writer]
        self._sources_by_task[task] = source
        try:
            if self.modes_by_source.get(source) is PartitionMode.REFUSE:
                return
            host, _, port = self.target.rpartition(":")
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
            self._writers_by_task[task].append(target_writer)
            await asyncio.gather(
                self._forward(task, reader, target_writer),
                self._forward(task, target_reader, writer),
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._reset([task])
            del self._writers_by_task[task], self._sources_by_task[task]
            self._lossy_tasks.discard(task)

    async def _forward(
        self,
        task: asyncio.Task,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            if self._sources_by_task[task] in self.modes_by_source:
                self._lossy_tasks.add(task)
            if task not in self._lossy_tasks:
                writer.write(data)
                await writer.drain()
        if task not in self._lossy_tasks:
            writer.close()


def process_of_connection(ports: tuple[int, int], process_ids: set[int]) -> int:
    """Return the identifier of the process that opened a loopback connection, or 0.

    Parameters
    ----------
    ports : tuple of int
        Local and remote port, as the process sees them.
    process_ids : set of int
        Candidate processes, all started by this process.
    """
    endpoints = [f"0100007F:{port:04X}" for port in ports]
    lines = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()]
    sockets = {f"socket:[{fields[9]}]" for fields in lines if fields[1:3] == endpoints}
    for process_id in process_ids:
        # The process may end, or close a file, during the listing.
        with contextlib.suppress(FileNotFoundError):
            for link in Path(f"/proc/{process_id}/fd").iterdir():
                with contextlib.suppress(FileNotFoundError):
                    if os.readlink(link) in sockets:
                        return process_id
    return 0
