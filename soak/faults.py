"""Faults that the soak injects into processes, connections and stand-ins."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import TYPE_CHECKING

from .relay import FaultyRelay

if TYPE_CHECKING:
    from .run import Soak

# Seeds below were played before instances were cut off from each other and
# settings changed; they keep the faults that they had.
FIRST_SEED_WITH_PEERS = 500
# Seeds below were played before servers said that they are leaving or busy.
FIRST_SEED_WITH_NOTICES = 800


class FaultInjector:
    """Injects faults in an order that the seed decides.

    Parameters
    ----------
    soak : Soak
        What is harmed.
    nodes : int
        Number of nodes, named from 1.
    """

    def __init__(self, soak: Soak, nodes: int) -> None:
        self._soak = soak
        self._nodes = nodes

    async def run(self, until: float) -> None:
        """Inject faults in series that overlap, then end them all."""
        tasks = []
        faults = [self.kill, self.stop_planned, self.pause, self.cut_store]
        if self._soak.seed >= FIRST_SEED_WITH_PEERS:
            faults += [self.cut_peers, self.change_settings]
        if self._soak.seed >= FIRST_SEED_WITH_NOTICES:
            faults += [self.say_leaving, self.say_busy]
        faults += [
            self.break_store,
            self.break_backend,
            self.restart_engine,
            self.reconfigure,
            self.silence_orders,
        ]
        while time.monotonic() < until:
            fault = self._soak.random.choice(faults)
            tasks.append(asyncio.create_task(fault()))
            await asyncio.sleep(self._soak.random.uniform(0.2, 1.6))
        await asyncio.gather(*tasks)
        for relay in self._soak.relays.values():
            relay.heal()
        self._soak.store.rejected_peers.clear()
        store = self._soak.store
        store.delay_s = store.response_loss_rate = store.late_apply_delay_s = 0.0

    def _node(self) -> int:
        return self._soak.random.randint(1, self._nodes)

    async def kill(self) -> None:
        """Kill a process and start it again."""
        number = self._node()
        process = self._soak.processes[number]
        if process.returncode is not None or number in self._soak.paused:
            return
        process.kill()
        await process.wait()
        await asyncio.sleep(self._soak.random.uniform(0.0, 1.0))
        await self._soak.start_node(number)

    async def stop_planned(self) -> None:
        """Stop a process as the platform does, and start it again."""
        number = self._node()
        process = self._soak.processes[number]
        if process.returncode is not None or number in self._soak.paused:
            return
        process.send_signal(signal.SIGTERM)
        await process.wait()
        if self._soak.processes[number] is process:
            await self._soak.start_node(number)

    async def pause(self) -> None:
        """Pause a process for some seconds, longer than a lease."""
        number = self._node()
        process = self._soak.processes[number]
        if process.returncode is not None or number in self._soak.paused:
            return
        self._soak.paused.add(number)
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._soak.random.uniform(0.5, 4.0))
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)
        self._soak.paused.discard(number)

    async def cut_store(self) -> None:
        """Cut one node off from the store, in one of several ways."""
        relay = self._soak.relays[f"store-{self._node()}"]
        await self._harm(relay)

    async def cut_peers(self) -> None:
        """Harm the way of all other nodes to one node."""
        await self._harm(self._soak.relays[f"peer-{self._node()}"])

    async def change_settings(self) -> None:
        """Change a settings file, or spoil it for a while, with or without a signal."""
        number = self._node()
        process = self._soak.processes[number]
        if process.returncode is not None or number in self._soak.paused:
            return
        path = self._soak.folder / f"node-{number}.yaml"
        if self._soak.random.random() < 0.3:
            path.write_text("node: [")
            await asyncio.sleep(self._soak.random.uniform(0.1, 0.8))
        self._soak.write_settings(number, self._soak.random.randint(3, 5))
        if self._soak.random.random() < 0.5 and process.returncode is None:
            process.send_signal(signal.SIGHUP)

    async def break_backend(self) -> None:
        """Harm the connections of one backend server."""
        engine = self._soak.random.choice(self._soak.engines)
        await self._harm(self._soak.relays[engine.name])

    async def _harm(self, relay: FaultyRelay) -> None:
        kinds = ("delay", "up", "down", "both", "refuse", "reset")
        kind = self._soak.random.choice(kinds)
        relay.delay_s = 0.3 if kind == "delay" else 0.0
        relay.drops_up = kind in ("up", "both")
        relay.drops_down = kind in ("down", "both")
        relay.refuses = kind == "refuse"
        if kind == "reset":
            relay.reset()
        await asyncio.sleep(self._soak.random.uniform(0.3, 3.0))
        relay.heal()

    async def break_store(self) -> None:
        """Let the store misbehave for all."""
        kind = self._soak.random.choice(("away", "slow", "lost", "late", "compact"))
        store = self._soak.store
        if kind == "compact":
            store.compact()
            return
        store.rejected_peers = {"*"} if kind == "away" else set()
        store.delay_s = 0.4 if kind == "slow" else 0.0
        store.response_loss_rate = 0.4 if kind in ("lost", "late") else 0.0
        store.late_apply_delay_s = 1.5 if kind == "late" else 0.0
        await asyncio.sleep(self._soak.random.uniform(0.5, 3.0))
        store.rejected_peers = set()
        store.delay_s = store.response_loss_rate = store.late_apply_delay_s = 0.0

    async def restart_engine(self) -> None:
        """Start an engine anew under its name, with nothing loaded."""
        engine = self._soak.random.choice(self._soak.engines)
        if engine.model:
            engine.restart()
            self._soak.announce(engine)

    async def say_leaving(self) -> None:
        """Let a backend server say that it is leaving, and start anew later."""
        engine = self._soak.random.choice(self._soak.engines)
        if engine.is_leaving:
            return
        engine.is_leaving = True
        await asyncio.sleep(self._soak.random.uniform(0.3, 3.0))
        engine.is_leaving = False
        engine.restart()
        self._soak.announce(engine)

    async def say_busy(self) -> None:
        """Let a backend server turn some calls away for a while, or all do."""
        engines = [self._soak.random.choice(self._soak.engines)]
        if self._soak.random.random() < 0.2:
            engines = list(self._soak.engines)
        for engine in engines:
            engine.retry_after = self._soak.random.choice(
                ("0.3", "1", "2.5", "-1", "x")
            )
            engine.reject_next = self._soak.random.randint(1, 6)

    async def reconfigure(self) -> None:
        """Change the configuration a few times in quick succession."""
        for _ in range(self._soak.random.randint(1, 4)):
            self._soak.configure(keeps_withdrawn=not self._soak.withdrawn_at)
            await asyncio.sleep(0.1)
        if not self._soak.withdrawn_at:
            self._soak.withdrawn_at = time.monotonic()
            self._soak.configure(keeps_withdrawn=False)

    async def silence_orders(self) -> None:
        """Let an engine carry out some orders late and without an answer."""
        self._soak.random.choice(self._soak.engines[:2]).unanswered_orders += 3
