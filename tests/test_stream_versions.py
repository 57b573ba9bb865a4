"""Tests of streams that callers take up while servers of several versions serve.

What two software versions of the servers write does not fit together, and nothing in a
joined text shows it. So the events that a caller gets over all its tries must come from
one version; a take-up whose version is not known is refused as not run.
"""

import asyncio
import contextlib
import json
from unittest.mock import AsyncMock, patch

import aiohttp
from parameterized import parameterized

from sequoiafall import forwarding
from sequoiafall.boot_clock import boot_time
from sequoiafall.fleet_leader import LeaderDuties
from sequoiafall.platform import names
from sequoiafall.stream_versions import stream_key

from .events import until
from .gateway_case import capture_log
from .platform_case import KEY, PlatformCase, configuration

OTHER_KEY = "key-of-org-2"
STREAMS = 12
# At least half of the share of new streams that begin, which is 1 in these tests.
MIN_RESUMED = STREAMS // 2
EVENT_COUNT = 5
# Much longer than the timeout of `until`, so that a request that is held until its
# deadline fails a test.
DEADLINE_MS = 60_000
# Short timeout between events, which a silence outlasts.
EVENT_TIMEOUT_S = 0.3
SILENCE_S = 1.2
# Outlasts the timeout to the first event.
LONG_SILENCE_S = 60.0
# Longer than the interval at which records of streams are stored.
STORE_TIMEOUT_S = 1.5
ONE_EACH = {"e1": "v1", "e2": "v2"}
TWO_EACH = {"e1": "v1", "e2": "v2", "e3": "v1", "e4": "v2"}
ONE_VERSION = {"e1": "v1", "e2": "v1"}


class Stream:
    """What a caller got over its tries.

    Parameters
    ----------
    request_id : str
        Identifier of the first attempt.
    """

    def __init__(self, request_id):
        self.request_id = request_id
        self.take_ups = 0
        self.events = []
        self.response = None
        self._rest = b""

    def receive(self, data):
        """Record received bytes; an incomplete event at the end is left out."""
        *events, self._rest = (self._rest + data).split(b"\n\n")
        for event in events:
            number, _, text = event.decode().partition("\ndata: piece ")
            self.events.append((int(number[4:]), text.rpartition(" of ")[2]))

    async def read(self, count=None):
        """Read until there are `count` events or the response ends."""
        self._rest = b""
        while count is None or len(self.events) < count:
            data = await self.response.content.readany()
            if not data and self.response.content.at_eof():
                return
            self.receive(data)

    @property
    def software(self):
        return {version for _, version in self.events}

    @property
    def is_complete(self):
        return len(self.events) == EVENT_COUNT


class VersionCase(PlatformCase):
    """Starts nodes and engines of several software versions that hold an adapter."""

    def configure(self, version=1, **changes):
        routes = configuration()["routes"]
        tenant = configuration()["tenants"][0]
        super().configure(
            version,
            routes=[{**route, "timeout_ms": DEADLINE_MS} for route in routes],
            tenants=[tenant, {**tenant, "name": "org-2", "api_keys": [OTHER_KEY]}],
            **changes,
        )

    async def asyncTearDown(self):
        for node in self.nodes:
            # Nothing is left to be completed.
            node.settings.grace_s = 0.0
        await super().asyncTearDown()

    async def start(self, versions, count=2):
        for name, version in versions.items():
            await self.start_engine(name, version)
        await self.start_backend("d1", "desk", "")
        await self.start_fleet(count, backends=False)
        await self.settle()

    async def start_engine(self, name, version):
        engine = await self.start_backend(name)
        engine.software = version
        engine.resident["a1"] = 1
        self.announce(engine)

    async def settle(self):
        """Wait until a leader knows all nodes and the adapters of all engines."""
        await until(self._is_settled)

    def _is_settled(self):
        leader = self.leader
        if leader is None or not all(
            node.is_ready and node.fleet.has_leader for node in self.nodes
        ):
            return False
        announced = {
            row.name
            for row in self.assist
            if not self.store.rows[names.BACKEND_TABLE, row.name].deleted
        }
        planner = leader.fleet.duties.planners_by_service["assist"]
        synced = {
            name
            for name, row in planner.pool.engines_by_name.items()
            if row.is_synced and "a1" in row.slots_by_adapter
        }
        return synced == announced and all(
            {row.name for row in node.fleet.registry.active_servers("assist")}
            == announced
            for node in self.nodes
        )

    @property
    def assist(self):
        return [row for row in self.engines.values() if row.service == "assist"]

    @property
    def member(self):
        return next(node for node in self.nodes if node is not self.leader)

    def advance(self, events=EVENT_COUNT, engines=None):
        """Let streams that pause go on until they have sent `events` events."""
        for engine in engines or self.assist:
            engine.pause_after_events = events
            engine.resume_event.set()
            engine.resume_event.clear()

    async def post(self, node, request_id, path="/draft/x", **headers):
        sent = {
            names.REQUEST_ID: request_id,
            names.DEADLINE_MS: str(DEADLINE_MS),
            names.MODEL: "base/a1",
            names.TOKENS: "1000,20",
            "Host": "shop.example",
            "Authorization": f"Bearer {KEY}",
            **headers,
        }
        url = f"http://{node.settings.front_address}{path}"
        return await self.session.post(url, headers=sent, data=b"body")

    async def begin(self, node, count=STREAMS, events=2):
        """Begin streams, which pause after some events."""
        for engine in self.assist:
            engine.pause_after_events = events
        streams = [
            Stream(f"r{next(self._request_numbers)}") for _number in range(count)
        ]
        await asyncio.gather(*(self._begin(node, row, events) for row in streams))
        return streams

    async def _begin(self, node, stream, events):
        stream.response = await self.post(node, stream.request_id)
        self.assertEqual(stream.response.status, 200)
        await stream.read(events)

    async def finish(self, streams):
        """Read the rest of responses; one that is cut ends early."""
        async with asyncio.timeout(20.0):
            await asyncio.gather(*(self._finish(row) for row in streams))

    async def _finish(self, stream):
        with contextlib.suppress(aiohttp.ClientError):
            await stream.read()

    async def break_off(self, streams):
        """Close the callers' connections, and wait until no engine runs a stream."""
        for stream in streams:
            stream.response.close()
        await until(lambda: not any(engine.running for engine in self.assist))

    async def take_up(self, node, streams, events=None, **headers):
        """Take streams up at a node; return status and runs of each.

        They come in another order than they began, so that servers which are chosen
        in turn are not those that began them.
        """
        streams.sort(key=lambda row: sorted(row.software), reverse=True)
        async with asyncio.timeout(20.0):
            return await asyncio.gather(
                *(self._take_up(node, row, events, headers) for row in streams)
            )

    async def _take_up(self, node, stream, events, changes):
        stream.take_ups += 1
        request_id = f"{stream.request_id}-{stream.take_ups}"
        headers = {
            names.LAST_EVENT: str(len(stream.events)),
            names.RESUMES: stream.request_id,
            **changes,
        }
        headers = {name: value for name, value in headers.items() if value is not None}
        stream.response = await self.post(node, request_id, **headers)
        status = stream.response.status
        if status == 200:
            with contextlib.suppress(aiohttp.ClientError):
                await stream.read(events)
            return 200, self.runs(request_id)
        body = json.loads(await stream.response.read())
        return status, self.runs(request_id), body["error"]["ran"]

    async def kill(self, *nodes):
        """End nodes that announce nothing, release nothing and cut their callers."""
        with contextlib.ExitStack() as stack:
            for node in nodes:
                self.nodes.remove(node)
                node.settings.grace_s = 0.0
                fleet = node.fleet
                stack.enter_context(patch.object(fleet, "leave", AsyncMock()))
                stack.enter_context(patch.object(fleet, "release_place"))
            await asyncio.gather(*(node.stop() for node in nodes))

    async def stop(self, *nodes):
        for node in nodes:
            self.nodes.remove(node)
        await asyncio.gather(*(node.stop() for node in nodes))

    async def restart_all(self, end):
        await end(*self.nodes)
        # The nodes of a fleet that starts anew; none has a memory.
        await asyncio.gather(self.start_node(1), self.start_node(2))
        await self.settle()

    async def store_records(self, node):
        """Wait until records of all streams so far are stored, as far as they are.

        The write that follows a new stream may have begun before the last ones. The
        one after it has not.
        """
        for _ in range(2):
            before = self.store.writes_by_table["streams"]
            (marker,) = await self.begin(node, 1)
            marker.response.close()
            try:
                async with asyncio.timeout(STORE_TIMEOUT_S):
                    await until(
                        lambda count=before: (
                            self.store.writes_by_table["streams"] > count
                        )
                    )
            except TimeoutError:
                return

    def assert_one_version(self, streams):
        """Check that no stream is joined from two versions or has gaps."""
        joined = {
            row.request_id: row.events for row in streams if len(row.software) > 1
        }
        self.assertEqual(joined, {})
        for stream in streams:
            ids = [number for number, _ in stream.events]
            self.assertEqual(ids, list(range(1, len(ids) + 1)), stream.request_id)

    def assert_refused(self, answers):
        """Check that take-ups were refused as not run, and did not run."""
        self.assertEqual(answers, [(503, 0, "not run")] * len(answers))

    def assert_resumed_or_refused(self, answers, min_resumed=MIN_RESUMED):
        resumed = [row for row in answers if row[0] == 200]
        self.assert_refused([row for row in answers if row[0] != 200])
        self.assertGreaterEqual(len(resumed), min_resumed)


class WithinResponseTest(VersionCase):
    """The system itself resumes or moves a stream within one response."""

    def streams_at(self, name, streams):
        engine = self.engines[name]
        return [row for row in streams if engine.runs[row.request_id]]

    async def test_server_crashes(self):
        """The stream goes on at the other server of its version."""
        await self.start(TWO_EACH, 1)
        streams = await self.begin(self.nodes[0])
        self.engines["e1"].down_s = LONG_SILENCE_S
        crashed = self.streams_at("e1", streams)
        await self.engines["e1"].crash()
        self.advance()
        await self.finish(streams)
        self.assertGreater(len(crashed), 1)
        self.assert_one_version(streams)
        complete = [row for row in crashed if row.is_complete]
        self.assertGreaterEqual(2 * len(complete), len(crashed))

    @parameterized.expand([("connections are reset", False), ("crashes", True)])
    async def test_last_server_of_the_version(self, _name, crashes):
        """The response is cut at once."""
        await self.start(ONE_EACH, 1)
        streams = await self.begin(self.nodes[0])
        lost = self.streams_at("e1", streams)
        engine = self.engines["e1"]
        self.store.remove(names.BACKEND_TABLE, "e1")
        await self.settle()
        self.advance(engines=[self.engines["e2"]])
        if crashes:
            engine.down_s = LONG_SILENCE_S
            await engine.crash()
        else:
            engine.reset_connections()
        await self.finish(lost)
        self.assertGreater(len(lost), 1)
        self.assert_one_version(streams)
        self.assertEqual({len(row.events) for row in lost}, {2})
        await self.finish([row for row in streams if row not in lost])
        self.assertEqual(sum(row.is_complete for row in streams), STREAMS - len(lost))

    async def test_silent_server_is_the_only_one_of_its_version(self):
        """The stream stays at it until it goes on."""
        self.enterContext(
            patch.object(forwarding, "EVENT_GAP_TIMEOUT_S", EVENT_TIMEOUT_S)
        )
        await self.start(ONE_EACH, 1)
        streams = await self.begin(self.nodes[0])
        self.engines["e1"].fall_silent(SILENCE_S)
        self.advance()
        await self.finish(streams)
        self.assert_one_version(streams)
        self.assertEqual([row.is_complete for row in streams], [True] * STREAMS)

    async def test_silent_server(self):
        """The stream moves to the other server of its version."""
        await self.start(TWO_EACH, 1)
        streams = await self.begin(self.nodes[0])
        moving = self.streams_at("e1", streams)
        self.engines["e1"].fall_silent(LONG_SILENCE_S)
        self.advance()
        await self.finish(streams)
        self.assertGreater(len(moving), 1)
        self.assert_one_version(streams)
        self.assertEqual([row.is_complete for row in streams], [True] * STREAMS)

    async def test_silent_before_the_first_event(self):
        """A take-up goes on at the version of the server that sent the first event."""
        await self.start(TWO_EACH)
        self.advance(0)
        streams = [Stream(f"r{number}") for number in range(STREAMS)]
        node, other = self.member, self.leader
        calls = {
            row.request_id: asyncio.create_task(self.post(node, row.request_id))
            for row in streams
        }
        await until(lambda: all(self.runs(row.request_id) for row in streams))
        moving = self.streams_at("e1", streams)
        self.assertTrue(moving)
        self.engines["e1"].fall_silent(LONG_SILENCE_S)
        self.advance(2)
        # Streams that pause are silent too, so they are broken off first.
        streams.sort(key=lambda row: row in moving)
        async with asyncio.timeout(20.0):
            for stream in streams:
                stream.response = await calls[stream.request_id]
                await stream.read(2)
                stream.response.close()
        await self.break_off(streams)
        self.engines["e1"].end_silence()
        self.advance()
        answers = await self.take_up(other, streams)
        self.assert_one_version(streams)
        self.assert_resumed_or_refused(answers)


class TakeUpTest(VersionCase):
    """Callers take streams up after a loss, at a node that did not begin them."""

    async def _break_connections(self, streams, _node, other):
        await self.break_off(streams)
        return other

    async def _stop_node(self, _streams, node, other):
        await self.stop(node)
        await self.settle()
        return other

    async def _kill_node(self, _streams, node, other):
        await self.kill(node)
        await self.settle()
        return other

    async def _lose_lease(self, streams, _node, other):
        await self.break_off(streams)
        self.leader.fleet._lose_lease("test")
        await self.settle()
        return other

    async def _stop_leader(self, streams, node, other):
        await self.break_off(streams)
        third = next(row for row in self.nodes if row not in (node, other))
        await self.stop(self.leader)
        await self.settle()
        return third

    async def _kill_leader_and_node(self, _streams, node, _other):
        await self.store_records(node)
        await self.kill(self.leader, node)
        await self.settle()
        return self.nodes[0]

    async def _kill_all(self, _streams, node, _other):
        await self.store_records(node)
        await self.restart_all(self.kill)
        return self.nodes[1]

    async def _stop_all(self, _streams, node, _other):
        await self.store_records(node)
        await self.restart_all(self.stop)
        return self.nodes[1]

    @parameterized.expand(
        [
            ("connections break", _break_connections),
            ("node is stopped", _stop_node),
            ("node is killed", _kill_node),
            ("leader loses its lease", _lose_lease),
            ("leader is stopped", _stop_leader),
            ("leader and node are killed", _kill_leader_and_node),
            ("all nodes are killed", _kill_all),
            ("all nodes are stopped", _stop_all),
        ]
    )
    async def test_take_up(self, _name, lose):
        await self.start(TWO_EACH, 3)
        streams = await self.begin(self.member)
        begun = {version for row in streams for version in row.software}
        self.assertEqual(begun, {"v1", "v2"})
        node = await lose(self, streams, self.member, self.leader)
        self.advance()
        answers = await self.take_up(node, streams)
        self.assert_one_version(streams)
        self.assert_resumed_or_refused(answers)

    async def test_second_and_third_take_up(self):
        """All name the first attempt."""
        await self.start(TWO_EACH)
        nodes = [self.member, self.leader]
        streams = await self.begin(nodes[0])
        for number in (1, 2, 3):
            await self.break_off(streams)
            self.advance(number + 2)
            answers = await self.take_up(nodes[number % 2], streams, number + 2)
            self.assert_one_version(streams)
            self.assert_resumed_or_refused(answers)
            streams = [row for row in streams if len(row.events) == number + 2]

    async def test_stream_that_began_at_its_second_server(self):
        """The version is that of the server that sent the first event."""
        await self.start(TWO_EACH)
        self.engines["e1"].drop_next = STREAMS
        streams = await self.begin(self.member)
        self.assertLess(self.engines["e1"].drop_next, STREAMS)
        self.engines["e1"].drop_next = 0
        await self.break_off(streams)
        self.advance()
        answers = await self.take_up(self.leader, streams)
        self.assert_one_version(streams)
        self.assert_resumed_or_refused(answers)

    async def test_second_take_up_at_new_nodes(self):
        await self.start(TWO_EACH)
        streams = await self.begin(self.member)
        await self.break_off(streams)
        self.advance(3)
        await self.take_up(self.leader, streams, 3)
        self.assert_one_version(streams)
        streams = [row for row in streams if len(row.events) == 3]
        self.assertGreaterEqual(len(streams), MIN_RESUMED)
        await self.store_records(self.member)
        await self.restart_all(self.kill)
        self.advance()
        answers = await self.take_up(self.nodes[1], streams)
        self.assert_one_version(streams)
        self.assert_resumed_or_refused(answers, len(streams) // 2)

    @parameterized.expand([("at a member", False), ("at the leader", True)])
    async def test_store_is_away(self, _name, is_leader):
        """No stream is joined; those that nodes know may go on."""
        await self.start(TWO_EACH)
        node, other = self.member, self.leader
        if is_leader:
            node, other = other, node
        streams = await self.begin(node)
        self.store.rejected_peers.add("*")
        await self.break_off(streams)
        self.advance()
        answers = await self.take_up(other, streams)
        self.assert_one_version(streams)
        self.assert_resumed_or_refused(answers, 0)

    async def test_killed_nodes_that_stored_nothing(self):
        """What no node and no row knows is refused."""
        await self.start(TWO_EACH)
        await self.break_off(await self.begin(self.member, 1))
        self.store.rejected_peers.add("*")
        streams = await self.begin(self.member)
        await self.kill(*self.nodes)
        self.store.rejected_peers.clear()
        await asyncio.gather(self.start_node(1), self.start_node(2))
        await self.settle()
        self.advance()
        answers = await self.take_up(self.nodes[1], streams)
        self.assert_one_version(streams)
        self.assert_refused(answers)


class ReleaseTest(VersionCase):
    """Servers of further versions come, and servers of a version go."""

    async def begin_before_release(self):
        await self.start({"e1": "v1", "e3": "v1"})
        streams = await self.begin(self.member)
        await self.break_off(streams)
        return streams

    async def release(self, version, *servers):
        for name in servers:
            await self.start_engine(name, version)
        await self.settle()

    async def remove(self, *servers):
        for name in servers:
            self.store.remove(names.BACKEND_TABLE, name)
        await self.settle()

    async def take_up_all(self, streams, node=None):
        self.advance()
        answers = await self.take_up(node or self.leader, streams)
        self.assert_one_version(streams)
        return answers

    async def test_stream_that_began_before_the_release(self):
        streams = await self.begin_before_release()
        await self.release("v2", "e2", "e4")
        answers = await self.take_up_all(streams)
        self.assert_resumed_or_refused(answers)

    async def test_stream_that_began_before_the_release_at_new_nodes(self):
        streams = await self.begin_before_release()
        await self.release("v2", "e2", "e4")
        await self.store_records(self.member)
        await self.restart_all(self.kill)
        answers = await self.take_up_all(streams)
        self.assert_resumed_or_refused(answers)

    async def test_rollback(self):
        """Streams of the version that was withdrawn are refused, others go on."""
        await self.begin_before_release()
        await self.release("v2", "e2", "e4")
        streams = await self.begin(self.member)
        await self.break_off(streams)
        await self.remove("e2", "e4")
        kept = [row for row in streams if row.software == {"v1"}]
        withdrawn = [row for row in streams if row.software == {"v2"}]
        self.assertTrue(withdrawn)
        self.assert_refused(await self.take_up_all(withdrawn))
        answers = await self.take_up_all(kept)
        self.assert_resumed_or_refused(answers, len(kept) // 2)

    async def test_version_that_comes_back(self):
        """Streams of the version go on when its servers are back."""
        streams = await self.begin_before_release()
        await self.release("v2", "e2", "e4")
        await self.remove("e1", "e3")
        await self.release("v1", "e5", "e6")
        answers = await self.take_up_all(streams)
        self.assert_resumed_or_refused(answers)

    async def test_third_version(self):
        streams = await self.begin_before_release()
        await self.release("v2", "e2", "e4")
        further = await self.begin(self.member)
        await self.break_off(further)
        await self.release("v3", "e5", "e6")
        answers = await self.take_up_all([*streams, *further])
        self.assert_resumed_or_refused(answers, STREAMS)

    async def _remove(self):
        await self.remove("e1", "e3")

    async def _drain(self):
        for name in ("e1", "e3"):
            self.announce(self.engines[name], state="draining")
        await until(
            lambda: all(
                len(node.fleet.registry.active_servers("assist")) == 2
                for node in self.nodes
            )
        )

    async def _replace(self, *servers):
        """Start servers of the next version under the names of the last ones."""
        servers = servers or ("e1", "e3")
        for name in servers:
            engine = self.engines[name]
            engine.keeps_models = True
            engine.restart()
            engine.software = "v2"
            self.announce(engine)
        await until(
            lambda: all(
                node.fleet.registry.find(name).born == self.engines[name].started_at_ms
                for node in self.nodes
                for name in servers
            )
        )

    @parameterized.expand(
        [("left", _remove), ("are leaving", _drain), ("were replaced", _replace)]
    )
    async def test_no_server_of_the_version(self, _name, end):
        """Take-ups are refused at once; they can't go on any more."""
        streams = await self.begin_before_release()
        await self.release("v2", "e2", "e4")
        await end(self)
        self.assert_refused(await self.take_up_all(streams))

    @parameterized.expand([("at a member", False), ("at the leader", True)])
    async def test_server_is_replaced_when_it_was_chosen(self, _name, is_leader):
        """The stream is not sent to the server that has its name now."""
        streams = await self.begin_before_release()
        await self.release("v2", "e2", "e4")
        request_place = LeaderDuties.request_place

        async def request_and_replace(duties, request):
            answer = await request_place(duties, request)
            if answer.server == "e1":
                if self.engines["e1"].software == "v1":
                    await self._replace("e1")
                await until(self._knows_replaced)
            return answer

        with patch.object(LeaderDuties, "request_place", request_and_replace):
            node = self.leader if is_leader else self.member
            answers = await self.take_up_all(streams, node)
        self.assertEqual(self.engines["e1"].software, "v2")
        self.assert_resumed_or_refused(answers, 1)

    def _knows_replaced(self):
        return all(
            node.fleet.registry.find("e1").born == self.engines["e1"].started_at_ms
            for node in self.nodes
        )

    async def test_no_server_of_the_version_at_new_nodes(self):
        """The servers went while no node was there to see it."""
        streams = await self.begin_before_release()
        await self.release("v2", "e2", "e4")
        await self.store_records(self.member)
        await self.kill(*self.nodes)
        for name in ("e1", "e3"):
            self.store.remove(names.BACKEND_TABLE, name)
        await asyncio.gather(self.start_node(1), self.start_node(2))
        await self.settle()
        self.assert_refused(await self.take_up_all(streams))


class UnnamedStartTest(VersionCase):
    """A server starts again with another version while the store is away."""

    async def restart_as_v2(self):
        """Restart e2, which writes its entry only when the store is back."""
        await self.start(ONE_VERSION)
        self.store.rejected_peers.add("*")
        engine = self.engines["e2"]
        engine.on_restart = None
        engine.keeps_models = True
        engine.restart()
        engine.software = "v2"
        planner = self.leader.fleet.duties.planners_by_service["assist"]
        known = planner.pool.engines_by_name["e2"]
        await until(lambda: known.born == engine.started_at_ms and known.is_synced)
        return engine

    async def test_streams_of_the_new_start(self):
        """Guards against streams that are joined with those of the entry's version."""
        engine = await self.restart_as_v2()
        streams = await self.begin(self.member)
        self.assertIn({"v2"}, [row.software for row in streams])
        born = engine.started_at_ms
        engine.down_s = EVENT_TIMEOUT_S
        await engine.crash()
        await until(lambda: engine.started_at_ms > born)
        self.advance()
        await self.finish(streams)
        self.assert_one_version(streams)

    async def test_entry_of_the_new_start_arrives(self):
        """Streams that began before it go on at its version."""
        engine = await self.restart_as_v2()
        streams = await self.begin(self.member)
        self.store.rejected_peers.clear()
        self.announce(engine)
        await self.start_engine("e4", "v2")
        await self.settle()
        await self.break_off(streams)
        self.advance()
        answers = await self.take_up(self.leader, streams)
        self.assert_one_version(streams)
        self.assert_resumed_or_refused(answers)

    async def test_take_up_of_unknown_origin(self):
        """Guards against the version of the entry for a stream of the new start."""
        await self.restart_as_v2()
        streams = await self.begin(self.member)
        await self.break_off(streams)
        self.advance()
        headers = {names.RESUMES: "r999999"}
        for node in (self.member, self.leader):
            self.assert_refused(await self.take_up(node, streams, **headers))


class UnknownStreamTest(VersionCase):
    """Take-ups that name no stream which the nodes know."""

    CASES = (
        ("never seen", {names.RESUMES: "r999999"}),
        ("own attempt", {names.RESUMES: "r1-1"}),
        ("empty", {names.RESUMES: ""}),
        ("spaces", {names.RESUMES: "r1 r2 r3"}),
        ("not an identifier", {names.RESUMES: "v1;../e1,%00{}"}),
        ("not ASCII", {names.RESUMES: "r\u00fc\u4e2d"}),
        ("long", {names.RESUMES: "r" * 10_000}),
        ("absent", {names.RESUMES: None}),
        ("other organisation", {"Authorization": f"Bearer {OTHER_KEY}"}),
    )

    @parameterized.expand(CASES)
    async def test_several_versions(self, _name, headers):
        """Without a known version, the stream might be joined."""
        await self.start(TWO_EACH)
        streams = await self.begin(self.member)
        await self.break_off(streams)
        self.advance()
        self.assert_refused(await self.take_up(self.leader, streams, **headers))

    @parameterized.expand(CASES)
    async def test_one_version(self, _name, headers):
        await self.start(ONE_VERSION)
        streams = await self.begin(self.member)
        await self.break_off(streams)
        self.advance()
        answers = await self.take_up(self.leader, streams, **headers)
        self.assertEqual(answers, [(200, 1)] * STREAMS)
        self.assert_one_version(streams)
        self.assertEqual({len(row.events) for row in streams}, {EVENT_COUNT})

    async def test_one_version_at_new_nodes(self):
        """Nothing need be known of single streams."""
        await self.start(ONE_VERSION)
        streams = await self.begin(self.member)
        await self.restart_all(self.kill)
        self.advance()
        answers = await self.take_up(self.nodes[1], streams)
        self.assertEqual(answers, [(200, 1)] * STREAMS)
        self.assert_one_version(streams)

    async def test_one_version_is_not_stored(self):
        await self.start(ONE_VERSION)
        streams = await self.begin(self.member)
        await self.break_off(streams)
        self.advance()
        await self.take_up(self.leader, streams)
        await self.stop(self.leader)
        await self.settle()
        self.assertEqual(self.store.writes_by_table["streams"], 0)
        self.assertEqual(self.store.reads_by_table["streams"], 0)
        self.assertNotIn(("fleet", "software_versions"), self.store.rows)


class OtherRequestTest(VersionCase):
    """Requests that are no take-ups are served while two versions serve."""

    async def test_no_last_event_id(self):
        """A request that names a stream but no event begins anew."""
        await self.start(TWO_EACH)
        streams = await self.begin(self.member)
        await self.break_off(streams)
        self.advance()
        answers = await self.take_up(self.leader, streams, **{names.LAST_EVENT: None})
        self.assertEqual(answers, [(200, 1)] * STREAMS)
        for stream in streams:
            ids = [number for number, _ in stream.events]
            self.assertEqual(ids, [1, 2, 1, 2, 3, 4, 5])
            self.assertEqual(len({version for _, version in stream.events[2:]}), 1)

    async def test_route_that_is_not_resumable(self):
        await self.start(TWO_EACH)
        self.advance()
        headers = {names.LAST_EVENT: "2", names.RESUMES: "r999999"}
        response = await self.post(self.member, "r", "/check/x", **headers)
        stream = Stream("r")
        stream.receive(await response.read())
        self.assertEqual(response.status, 200)
        self.assertEqual([number for number, _ in stream.events], [3, 4, 5])
        self.assertEqual(self.runs("r"), 1)

    @parameterized.expand([("/look/x",), ("/order/x",)])
    async def test_plain_service(self, path):
        await self.start(TWO_EACH)
        headers = {names.LAST_EVENT: "2", names.RESUMES: "r999999"}
        status, body, _ = await self.call(self.member, path, request_id="r", **headers)
        self.assertEqual((status, body, self.runs("r")), (200, b"done:body", 1))

    async def test_new_streams(self):
        await self.start(TWO_EACH)
        streams = await self.begin(self.member)
        self.advance()
        await self.finish(streams)
        self.assert_one_version(streams)
        self.assertEqual([row.is_complete for row in streams], [True] * STREAMS)


class ForgottenStreamTest(PlatformCase):
    """Instances forget streams that nobody can take up any more."""

    async def test_instances_that_take_nothing_up(self):
        """Guards against records that a gateway keeps until its memory is used up."""
        nodes = await self.start_fleet()
        for node in nodes:
            for number in range(200):
                key = number.to_bytes(8, "big")
                node.fleet.stream_versions.record(key, "assist", "v1", boot_time())
        await until(lambda: not any(len(row.fleet.stream_versions) for row in nodes))


class CallerHeaderTest(VersionCase):
    """What callers say of themselves is bounded, and their keys are not logged."""

    async def test_very_long_deadline(self):
        """Guards against a time that does not fit into messages between instances."""
        await self.start(TWO_EACH)
        status, body, _ = await self.call(
            self.member,
            "/draft/x",
            adapter="a1",
            **{names.DEADLINE_MS: "99999999999999999"},
        )
        self.assertEqual(status, 200, body)
        versions = self.member.fleet.stream_versions
        (origin,), _ = versions.origins_since(0, boot_time())
        self.assertLess(origin.expires_at - boot_time(), 301.0)
        await self.stop(self.leader)
        await until(lambda: all(node.fleet.has_leader for node in self.nodes))

    async def test_key_in_place_of_an_attempt(self):
        await self.start(ONE_VERSION)
        lines = self.enterContext(capture_log())
        headers = {names.LAST_EVENT: "2", names.RESUMES: KEY}
        response = await self.post(self.member, "r", "/draft/x", **headers)
        await response.read()
        self.assertTrue(any("event=stream_taken_up" in line for line in lines))
        self.assertFalse(any(KEY in line for line in lines), lines)


class ReleaseAfterTheLeaderTest(VersionCase):
    """A second version comes after a change of the leader."""

    def prevent_election(self, node):
        """Let a node follow leaders only."""
        keeper = node.fleet._keeper
        self.enterContext(patch.object(keeper, "take", AsyncMock(return_value=False)))

    async def _step_down(self, leader):
        self.prevent_election(leader)
        leader.fleet._lose_lease("test")

    @parameterized.expand(
        [
            ("stopped", VersionCase.stop),
            ("killed", VersionCase.kill),
            ("steps down", _step_down),
        ]
    )
    async def test_streams_of_before_the_change(self, _name, end):
        """Guards against take-ups that are refused after a rolling restart.

        The next leader is told where streams began while they have a single version,
        as it cannot ask once the instance at which they began has ended.
        """
        await self.start(ONE_VERSION, 3)
        first, node = self.leader, self.member
        streams = await self.begin(node)
        self.prevent_election(node)
        await end(self, first)
        await until(lambda: self.leader not in (None, first))
        await self.settle()
        await self.stop(node)
        for name in ("e3", "e4"):
            await self.start_engine(name, "v2")
        await self.settle()
        self.advance()
        answers = await self.take_up(self.leader, streams)
        self.assert_one_version(streams)
        self.assert_resumed_or_refused(answers)


class PlacedAloneTest(VersionCase):
    """Streams that a node placed without a leader outlast the node."""

    def knows(self, node, streams):
        versions = node.fleet.stream_versions
        keys = [stream_key("org-1", row.request_id) for row in streams]
        return all(versions.find(key, "assist", boot_time()) for key in keys)

    async def test_node_ends_before_there_is_a_leader(self):
        """Guards against take-ups that are refused after two losses in a row."""
        await self.start(TWO_EACH, 3)
        first = self.leader
        node, other = (row for row in self.nodes if row is not first)
        with contextlib.ExitStack() as stack:
            for row in (node, other):
                take = AsyncMock(return_value=False)
                stack.enter_context(patch.object(row.fleet._keeper, "take", take))
            await self.kill(first)
            streams = await self.begin(node)
            await until(lambda: self.knows(other, streams))
            await self.kill(node)
        await until(lambda: self.leader is other)
        await self.settle()
        self.advance()
        answers = await self.take_up(other, streams)
        self.assert_one_version(streams)
        self.assert_resumed_or_refused(answers)
