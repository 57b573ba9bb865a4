"""Fault injection into processes, connections and stand-ins of the soak test."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import TYPE_CHECKING

from sequoiafall.lease import LEASE_KEY, LEASE_TABLE, LeaseRecord

from .endings import SETTINGS_NEWS_S
from .late_streams import LateStreams
from .relay import FaultyRelay

if TYPE_CHECKING:
    from sequoiafall.standins.adapter_engine import AdapterEngine

    from .run import Soak

# Lower seeds inject no peer link faults and settings changes. Adding these to the
# choice would change the sequence of faults that each of the lower seeds yields.
FIRST_SEED_WITH_PEER_FAULTS = 500
# For the same reason, servers announce that they leave or are busy only from here on.
FIRST_SEED_WITH_SERVER_NOTICES = 800
# And servers name limits only from here on.
FIRST_SEED_WITH_LIMITS = 1000
# And prompts crash engines only from here on.
FIRST_SEED_WITH_HARMFUL_PROMPTS = 1100
# And the store comes back from an older copy only from here on.
FIRST_SEED_WITH_RESTORED_STORE = 1200
# And callers send slow streams to stopping nodes only from here on.
FIRST_SEED_WITH_LATE_STREAMS = 5000
# And servers of several versions serve, and callers take streams up, from here on.
FIRST_SEED_WITH_VERSIONS = 7000
# And foreign entries, malformed answers and stalled clients come from here on.
FIRST_SEED_WITH_BAD_INPUT = 8000
# And the leader is cut off, and all nodes are restarted in turn, from here on.
FIRST_SEED_WITH_CUT_LEADERS = 10_000
# Seconds between the stops of two nodes that are restarted in turn.
RESTART_GAP_S = 2.0


class FaultInjector:
    """Injects faults in an order that the seed determines.

    Parameters
    ----------
    soak : Soak
        Run whose nodes, relays and stand-ins receive the faults.
    node_count : int
        Number of nodes, counted from 1.
    """

    def __init__(self, soak: Soak, node_count: int) -> None:
        self._soak = soak
        self._node_count = node_count
        self._late_streams = LateStreams(soak)

    async def run(self, end_at: float) -> None:
        """Inject overlapping faults, then clear all that remain.

        Parameters
        ----------
        end_at : float
            Monotonic time in seconds after which no further fault starts.
        """
        tasks = []
        faults = [
            self.kill_node,
            self.stop_node,
            self.pause_node,
            self.disrupt_store_link,
        ]
        if self._soak.seed >= FIRST_SEED_WITH_PEER_FAULTS:
            faults += [self.disrupt_peer_link, self.change_settings]
        if self._soak.seed >= FIRST_SEED_WITH_SERVER_NOTICES:
            faults += [self.announce_leaving, self.reject_as_busy]
        if self._soak.seed >= FIRST_SEED_WITH_LIMITS:
            faults += [self.name_limit, self.name_limit]
        if self._soak.seed >= FIRST_SEED_WITH_HARMFUL_PROMPTS:
            faults += [self.send_harmful_prompts, self.end_answers_with_connection]
        if self._soak.seed >= FIRST_SEED_WITH_RESTORED_STORE:
            faults += [self.restore_store, self.restore_store]
        if self._soak.seed >= FIRST_SEED_WITH_LATE_STREAMS:
            faults += [self.stop_node_beside_streams] * 3
        if self._soak.seed >= FIRST_SEED_WITH_VERSIONS:
            faults += [self.kill_all_nodes]
        if self._soak.seed >= FIRST_SEED_WITH_CUT_LEADERS:
            faults += [self.cut_off_leader] * 3 + [self.restart_in_turn]
        faults += [
            self.disrupt_store,
            self.disrupt_backend_link,
            self.restart_engine,
            self.change_configuration,
            self.delay_orders,
        ]
        while time.monotonic() < end_at:
            fault = self._soak.random.choice(faults)
            tasks.append(asyncio.create_task(fault()))
            await asyncio.sleep(self._soak.random.uniform(0.2, 1.6))
        await asyncio.gather(*tasks)
        for relay in self._soak.relays.values():
            relay.clear_faults()
        self._soak.store.rejected_peers.clear()
        store = self._soak.store
        store.delay_s = store.response_loss_rate = store.late_apply_delay_s = 0.0

    def _random_node(self) -> int:
        return self._soak.random.randint(1, self._node_count)

    async def kill_node(self) -> None:
        """Kill a node with SIGKILL and start it again within a second."""
        await self._kill(self._random_node())

    async def kill_all_nodes(self) -> None:
        """Kill all nodes at once that run, and start them again within a second."""
        numbers = range(1, self._node_count + 1)
        await asyncio.gather(*(self._kill(number) for number in numbers))
        self._soak.sound_requests.record_restart()

    async def _kill(self, number: int) -> None:
        process = self._soak.processes[number]
        if process.returncode is not None or number in self._soak.paused:
            return
        self._soak.disturb(number)
        self._soak.endings.record_kill(number)
        process.kill()
        await process.wait()
        await asyncio.sleep(self._soak.random.uniform(0.0, 1.0))
        self._soak.disturb(number)
        await self._soak.restart_node(number, process)

    async def cut_off_leader(self) -> None:
        """Cut the leader off from the store and from all that poll it."""
        row = self._soak.store.rows.get((LEASE_TABLE, LEASE_KEY))
        record = LeaseRecord.from_row(row)
        if record is None:
            return
        number = int(record.instance.rpartition("-")[2])
        self._soak.disturb(number)
        relays = [self._soak.relays[f"{link}-{number}"] for link in ("store", "peer")]
        for relay in relays:
            relay.drops_up = relay.drops_down = True
        await asyncio.sleep(self._soak.random.uniform(1.0, 8.0))
        for relay in relays:
            relay.clear_faults()
        self._soak.disturb(number)

    async def restart_in_turn(self) -> None:
        """Stop all nodes with SIGTERM, one after the other, and start them again."""
        restarts = []
        for number in range(1, self._node_count + 1):
            restarts.append(asyncio.create_task(self._stop(number)))
            await asyncio.sleep(RESTART_GAP_S)
        await asyncio.gather(*restarts)

    async def stop_node(self) -> None:
        """Stop a node with SIGTERM, as the platform does, and start it again."""
        await self._stop(self._random_node())

    async def _stop(self, number: int) -> None:
        process = self._soak.processes[number]
        if process.returncode is not None or number in self._soak.paused:
            return
        self._soak.disturb(number)
        self._soak.endings.record_stop(number)
        process.send_signal(signal.SIGTERM)
        await process.wait()
        self._soak.disturb(number)
        await self._soak.restart_node(number, process)

    async def stop_node_beside_streams(self) -> None:
        """Stop a node, and send it streams at the slowest pace until it ends."""
        number = self._random_node()
        process = self._soak.processes[number]
        if process.returncode is not None or number in self._soak.paused:
            return
        self._soak.write_settings(number, self._late_streams.choose_grace_s())
        await asyncio.sleep(SETTINGS_NEWS_S)
        async with self._soak.caller_session() as session:
            await self._late_streams.open_connections(session, number)
            if process.returncode is not None or number in self._soak.paused:
                return
            self._soak.disturb(number)
            self._soak.endings.record_stop(number)
            process.send_signal(signal.SIGTERM)
            await self._late_streams.send(session, number, process)
        await process.wait()
        self._soak.disturb(number)
        await self._soak.restart_node(number, process)

    async def pause_node(self) -> None:
        """Suspend a node for up to 4 s, which can outlast a lease."""
        number = self._random_node()
        process = self._soak.processes[number]
        if process.returncode is not None or number in self._soak.paused:
            return
        self._soak.paused.add(number)
        self._soak.disturb(number)
        self._soak.endings.record_pause(number)
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._soak.random.uniform(0.5, 4.0))
        if process.returncode is None:
            process.send_signal(signal.SIGCONT)
        self._soak.endings.end_pause(number)
        self._soak.disturb(number)
        self._soak.paused.discard(number)

    async def disrupt_store_link(self) -> None:
        """Disrupt the connections of one node to the store."""
        await self._disrupt_node(self._random_node(), "store")

    async def disrupt_peer_link(self) -> None:
        """Disrupt the connections of all other nodes to one node."""
        await self._disrupt_node(self._random_node(), "peer")

    async def _disrupt_node(self, number: int, link: str) -> None:
        self._soak.disturb(number)
        await self._disrupt(self._soak.relays[f"{link}-{number}"])
        self._soak.disturb(number)

    async def change_settings(self) -> None:
        """Rewrite the settings file of a node.

        At random, an invalid file is written first, and SIGHUP is sent afterwards.
        Both end a process that has not started yet: it exits with status 2 for the
        file, and the signal comes before the program can ignore it.
        """
        number = self._random_node()
        process = self._soak.processes[number]
        if process.returncode is not None or number in self._soak.paused:
            return
        path = self._soak.folder / f"node-{number}.yaml"
        has_started = self._soak.has_started(number)
        if self._soak.random.random() < 0.3:
            if has_started:
                path.write_text("node: [")
            await asyncio.sleep(self._soak.random.uniform(0.1, 0.8))
        self._soak.write_settings(number, self._soak.random.randint(3, 5))
        sends_signal = self._soak.random.random() < 0.5
        if sends_signal and has_started and process.returncode is None:
            process.send_signal(signal.SIGHUP)

    async def disrupt_backend_link(self) -> None:
        """Disrupt the connections to one backend server."""
        engine = self._soak.random.choice(self._soak.engines)
        self._soak.limits.lift(engine.name)
        await self._disrupt(self._soak.relays[engine.name], engine)
        self._soak.limits.lift(engine.name)

    async def _disrupt(
        self, relay: FaultyRelay, server: AdapterEngine | None = None
    ) -> None:
        kinds = ("delay", "up", "down", "both", "refuse", "reset")
        kind = self._soak.random.choice(kinds)
        relay.delay_s = 0.3 if kind == "delay" else 0.0
        relay.drops_up = kind in ("up", "both")
        relay.drops_down = kind in ("down", "both")
        relay.refuses = kind == "refuse"
        if server is not None and kind != "delay":
            self._soak.endings.begin_loss(server.name, bool(server.model))
        if kind == "reset":
            relay.reset()
        await asyncio.sleep(self._soak.random.uniform(0.3, 3.0))
        relay.clear_faults()
        if server is not None:
            self._soak.endings.end_loss(server.name)

    async def disrupt_store(self) -> None:
        """Make the store unavailable, slow or lossy for all nodes, or compact it."""
        kind = self._soak.random.choice(("away", "slow", "lost", "late", "compact"))
        store = self._soak.store
        self._soak.disturb(0)
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
        self._soak.disturb(0)

    async def restore_store(self) -> None:
        """Let the store come back from a copy that is some seconds old.

        The operator and the servers write again what they had written.
        """
        soak = self._soak
        copy = soak.store.copy()
        await asyncio.sleep(soak.random.uniform(1.0, 5.0))
        soak.disturb(0)
        soak.store.rejected_peers = {"*"}
        await asyncio.sleep(soak.random.uniform(0.05, 1.5))
        soak.store.restore(copy)
        soak.store.rejected_peers = set()
        await asyncio.sleep(soak.random.uniform(0.0, 1.0))
        soak.write_configuration(includes_withdrawn_key=not soak.key_withdrawn_at)
        soak.configuration.write_versions(soak.store)
        for engine in soak.all_engines:
            soak.register_engine(engine)
        soak.disturb(0)

    async def restart_engine(self) -> None:
        """Restart an engine under the same name, with nothing loaded."""
        engine = self._soak.random.choice(self._soak.engines)
        if engine.model:
            self._soak.end_limit(engine)
            engine.restart()
            self._soak.register_engine(engine)

    async def announce_leaving(self) -> None:
        """Let a backend server announce that it is leaving, and restart it later."""
        engine = self._soak.random.choice(self._soak.engines)
        if engine.is_leaving:
            return
        engine.is_leaving = True
        await asyncio.sleep(self._soak.random.uniform(0.3, 3.0))
        engine.is_leaving = False
        self._soak.end_limit(engine)
        engine.restart()
        self._soak.register_engine(engine)

    async def reject_as_busy(self) -> None:
        """Let one or all backend servers reject their next calls as busy."""
        engines = [self._soak.random.choice(self._soak.engines)]
        if self._soak.random.random() < 0.2:
            engines = list(self._soak.engines)
        for engine in engines:
            engine.retry_after = self._soak.random.choice(
                ("0.3", "1", "2.5", "-1", "x")
            )
            engine.reject_next = self._soak.random.randint(1, 6)

    async def name_limit(self) -> None:
        """Let one, some or all backend servers name limits, and lift them later."""
        count = self._soak.random.choice((1, 2, 4))
        for engine in self._soak.random.sample(self._soak.engines, count):
            rate_per_s = self._soak.random.choice((0.5, 1.0, 2.0, 5.0))
            engine.names_limit_in_control = self._soak.random.random() < 0.5
            engine.limit_per_s = rate_per_s
            self._soak.limits.name(engine.name, rate_per_s)
        await asyncio.sleep(self._soak.random.uniform(4.0, 9.0))
        for engine in self._soak.engines:
            self._soak.end_limit(engine)

    async def send_harmful_prompts(self) -> None:
        """Give a share of the prompts a part that crashes engines."""
        soak = self._soak
        if soak.prompts.harmful_part:
            return
        part = f"harmful-{len(soak.prompts.crashed_at_by_cause)}"
        for engine in soak.all_engines:
            if engine.model:
                engine.crashing_parts.add(part)
        soak.prompts.harmful_part = part
        await asyncio.sleep(soak.random.uniform(4.0, 12.0))
        soak.prompts.harmful_part = ""

    async def end_answers_with_connection(self) -> None:
        """Let a server end its answers with the connection, and cut one of them."""
        engine = self._soak.random.choice(self._soak.engines)
        engine.ends_with_connection = True
        engine.cuts_with_reset = self._soak.random.random() < 0.5 or not engine.model
        engine.cut_after_events = self._soak.random.randint(0, 3)
        await asyncio.sleep(self._soak.random.uniform(1.0, 5.0))
        engine.ends_with_connection = False
        engine.cut_after_events = -1

    async def change_configuration(self) -> None:
        """Change the configuration up to four times in quick succession."""
        for _ in range(self._soak.random.randint(1, 4)):
            self._soak.write_configuration(
                includes_withdrawn_key=not self._soak.key_withdrawn_at
            )
            await asyncio.sleep(0.1)
        if not self._soak.key_withdrawn_at:
            self._soak.key_withdrawn_at = time.monotonic()
            self._soak.write_configuration(includes_withdrawn_key=False)

    async def delay_orders(self) -> None:
        """Let an engine carry out three orders late and without a response."""
        self._soak.random.choice(self._soak.engines[:2]).unanswered_orders += 3
