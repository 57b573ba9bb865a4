"""Tests of sound backend servers that send nothing for a second or so and go on."""

import asyncio
import unittest
from unittest.mock import patch

import aiohttp
from parameterized import parameterized

from sequoiafall import forwarding, stream_offer
from sequoiafall.boot_clock import boot_time
from sequoiafall.engine_client import _broken_response, _StrictProtocol
from sequoiafall.engine_pool import EngineCondition
from sequoiafall.fleet_leader import LeaderDuties
from sequoiafall.forwarding import MAX_UNBUDGETED_SENDS
from sequoiafall.platform import names
from sequoiafall.refusal import Reason
from sequoiafall.run_id import caller_request_id
from sequoiafall.standins.adapter_engine import AdapterEngine
from sequoiafall.stream_move import StreamMove
from sequoiafall.wire.gen import ttypes

from .events import until
from .platform_case import KEY, PlatformCase
from .test_operator_faults import event_ids

# Longer than the time after which a place elsewhere is requested.
SILENCE_S = 1.2
FIRST_SILENCE_S = 1.9
CONFIGURATION_INTERVAL_S = 0.05
LONG_DEADLINE = {names.DEADLINE_MS: "30000"}
LONG_SILENCE_S = 30.0
STREAMS = 24
# Short timeout between events for a caller that does not read.
GAP_S = 0.4
# More of them than the buffers between an engine and its caller hold.
LARGE_EVENT_BYTES = 900_000

_request_place = LeaderDuties.request_place


def refuse_moves(reason):
    """Patch the leader so that it refuses second places for a reason."""

    async def request_place(duties, request):
        if not request.excluded:
            return await _request_place(duties, request)
        return ttypes.EngineAnswer(
            server="",
            version=0,
            reason=reason.value,
            retry_after_ms=500,
            charged=False,
            detail=reason.value,
            address="",
        )

    return patch.object(LeaderDuties, "request_place", request_place)


class SilentServerCase(PlatformCase):
    """Starts a fleet whose two engines both hold the adapter ``a1``."""

    async def start(self, count=1):
        await self.start_fleet(count)
        for engine in self.assist:
            engine.resident["a1"] = 1
        planner = self.planner
        await until(
            lambda: all(
                "a1" in row.slots_by_adapter
                for row in planner.pool.engines_by_name.values()
            )
        )
        return self.nodes[0]

    @property
    def assist(self):
        return [self.engines[name] for name in ("e1", "e2")]

    @property
    def planner(self):
        return self.leader.fleet.duties.planners_by_service["assist"]

    def entry(self, engine):
        return self.nodes[0].fleet.registry.find(engine.name)

    def headers(self, request_id):
        return {
            names.REQUEST_ID: request_id,
            names.DEADLINE_MS: "4000",
            names.MODEL: "base/a1",
            names.TOKENS: "1000,20",
            "Host": "shop.example",
            "Authorization": f"Bearer {KEY}",
        }

    async def begin(self, node, path="/draft/x", request_id="r", events=2, **headers):
        """Send a request; return its response, and its engine and the other one.

        The engine pauses after `events` events, which the response has received.
        """
        for engine in self.assist:
            engine.pause_after_events = events
        sent = {**self.headers(request_id), **headers}
        url = f"http://{node.settings.front_address}{path}"
        call = asyncio.create_task(
            self.session.post(url, headers=sent, data=b"body"), name=request_id
        )
        await until(lambda: self.runs(request_id))
        present, other = sorted(self.assist, key=lambda row: -row.runs[request_id])
        received = b""
        if events:
            response = await call
            while f"piece {events}\n\n".encode() not in received:
                received += await response.content.readany()
        return call, received, present, other

    async def finish(self, call, received=b""):
        response = await call
        async with response:
            return response.status, event_ids(received + await response.read())

    async def offer(self, present, other):
        """Silence an engine, and another one when it gets the stream."""
        self.respond_late(other)
        present.fall_silent(LONG_SILENCE_S)
        present.resume_event.set()
        await until(lambda: other.received_request_ids.count("r"))

    def respond_late(self, engine):
        """Let an engine fall silent when it has the next request."""
        record_call = AdapterEngine._record_call

        def record(recorded, kind):
            record_call(recorded, kind)
            if recorded is engine and kind == "request":
                engine.fall_silent(LONG_SILENCE_S)

        self.enterContext(patch.object(AdapterEngine, "_record_call", record))
        self.enterContext(patch.object(stream_offer, "MAX_OVERLAP_S", LONG_SILENCE_S))

    def silence(self, engine, seconds):
        """Let an engine that pauses be silent, and then go on."""
        engine.fall_silent(seconds)
        for row in self.assist:
            row.resume_event.set()


class CompleteResponseTest(SilentServerCase):
    """A caller gets its whole response from a server that is silent for a while.

    Guards against responses that were given up before there was another server.
    """

    async def _remove(self, node, other):
        self.store.remove(names.BACKEND_TABLE, other.name)
        await until(lambda: len(node.fleet.registry.active_servers("assist")) == 1)

    async def _pause(self, _node, other):
        self.planner.pause(other.name, boot_time() + 20.0)

    async def _unload(self, _node, other):
        other.unanswered_orders = 1000
        other.resident.clear()
        engine = self.planner.pool.engines_by_name[other.name]
        await until(lambda: "a1" not in engine.slots_by_adapter)

    async def _refuse(self, reason):
        self.enterContext(refuse_moves(reason))

    async def _refuse_full(self, _node, _other):
        await self._refuse(Reason.OVERLOADED)

    async def _refuse_unknown(self, _node, _other):
        await self._refuse(Reason.NO_BACKEND_SERVER)

    async def _refuse_rate(self, _node, _other):
        await self._refuse(Reason.RATE_EXCEEDED)

    async def _refuse_harmful(self, _node, _other):
        await self._refuse(Reason.HARMFUL_PROMPT)

    async def _lose_leader(self, node, other):
        other.resident.clear()
        self.store.rejected_peers.add("*")
        node.fleet._lose_lease("test")

    async def _change_leader(self, node, other):
        await self._remove(node, other)
        node.fleet._lose_lease("test")

    async def _change_configurations(self, node, other):
        await self._remove(node, other)

        async def change():
            for version in range(2, 40):
                self.configure(version)
                await asyncio.sleep(CONFIGURATION_INTERVAL_S)

        self.changes = asyncio.create_task(change())
        self.addCleanup(self.changes.cancel)

    async def _empty_budget(self, node, _other):
        node.forwarder._retry_budget("assist")._saved = -100.0

    async def _shed(self, _node, other):
        other.shed_next = 1

    async def _shed_all(self, node, other):
        """Leave one retry, which the move takes, and reject every send."""
        other.shed_next = 1000
        node.forwarder._retry_budget("assist")._saved = 1.0

    async def _rename(self, _node, other):
        other.name = "another"

    async def _refuse_connections(self, _node, other):
        other.down_s = 30.0
        await other.crash()

    CASES = (
        ("one engine", _remove),
        ("the other pauses", _pause),
        ("the other cannot load", _unload),
        ("no free slot", _refuse_full),
        ("unknown service", _refuse_unknown),
        ("over the rate", _refuse_rate),
        ("harmful", _refuse_harmful),
        ("no leader", _lose_leader),
        ("leader changes", _change_leader),
        ("configurations change", _change_configurations),
        ("no retry left", _empty_budget),
        ("next server rejects", _shed),
        ("next server always rejects", _shed_all),
        ("next server is another one", _rename),
        ("next server refuses connections", _refuse_connections),
    )

    @parameterized.expand(CASES)
    async def test_silent_in_the_middle(self, _name, disturb):
        node = await self.start()
        call, received, present, other = await self.begin(node)
        await disturb(self, node, other)
        self.silence(present, SILENCE_S)
        result = await self.finish(call, received)
        self.assertEqual(result, (200, [1, 2, 3, 4, 5]))
        self.assertLessEqual(self.runs("r"), 2)

    @parameterized.expand(CASES)
    async def test_silent_before_the_first_event(self, _name, disturb):
        node = await self.start()
        call, _, present, other = await self.begin(node, events=0)
        await disturb(self, node, other)
        self.silence(present, FIRST_SILENCE_S)
        self.assertEqual(await self.finish(call), (200, [1, 2, 3, 4, 5]))
        self.assertLessEqual(self.runs("r"), 2)

    @parameterized.expand(
        [
            ("idempotent call", "/look/x"),
            ("non-idempotent call", "/order/x"),
            ("stream that must not run twice", "/check/x"),
        ]
    )
    async def test_silent_server_of_another_route(self, _name, path):
        node = await self.start()
        for backend in self.engines.values():
            backend.fall_silent(SILENCE_S)
        status, *_ = await self.call(node, path, request_id="r")
        self.assertEqual((status, self.runs("r")), (200, 1))

    async def test_stream_that_all_servers_reject_keeps_to_the_retry_budget(self):
        """It was sent four times a second until its deadline, whatever the budget."""
        node = await self.start()
        call, _, present, _ = await self.begin(node)
        node.forwarder._retry_budget("assist")._saved = 1.0
        for engine in self.assist:
            engine.shed_next = 1000
        self.silence(present, LONG_SILENCE_S)
        response = await call
        with self.assertRaises(aiohttp.ClientPayloadError):
            await response.read()
        sends = sum(row.received_request_ids.count("r") for row in self.assist)
        self.assertLessEqual(sends, 2 + MAX_UNBUDGETED_SENDS)

    async def test_caller_that_stops_reading_for_a_while(self):
        """The time in which a caller does not read is not silence of its server."""
        self.enterContext(patch.object(forwarding, "EVENT_GAP_TIMEOUT_S", GAP_S))
        node = await self.start()
        for engine in self.assist:
            engine.events_per_stream = 20
            engine.padding_bytes = LARGE_EVENT_BYTES
        url = f"http://{node.settings.front_address}/draft/x"
        headers = {**self.headers("r"), **LONG_DEADLINE}
        async with self.session.post(url, headers=headers, data=b"body") as response:
            # Long enough for a server of this silence to be left several times.
            await asyncio.sleep(5.0 * GAP_S)
            self.assertEqual(self.runs("r"), 1)
            self.assertEqual(sum(engine.running for engine in self.assist), 1)
            ids = event_ids(await response.read())
        self.assertEqual(ids, list(range(1, 21)))
        self.assertEqual(self.runs("r"), 1)

    async def test_stream_moves_to_another_engine(self):
        """A server that stays silent for long loses the stream to another one.

        It does not run at both: the first connection is closed.
        """
        node = await self.start()
        call, received, present, other = await self.begin(node)
        present.fall_silent(30.0)
        present.resume_event.set()
        await until(lambda: other.runs["r"])
        await until(lambda: not present.running)
        self.assertEqual(other.running, 1)
        other.resume_event.set()
        result = await self.finish(call, received)
        self.assertEqual(result, (200, [1, 2, 3, 4, 5]))
        self.assertEqual((present.runs["r"], other.runs["r"]), (1, 1))

    @parameterized.expand([("full", "shed_next"), ("failing", "fail_next")])
    async def test_stream_that_another_engine_refuses(self, _name, refusal):
        """Guards against streams that leave a sound engine before another takes them.

        The process might stop meanwhile, and no engine would work on the stream.
        """
        node = await self.start()
        call, received, present, other = await self.begin(node)
        setattr(other, refusal, 1000)
        present.fall_silent(SILENCE_S + 0.4)
        present.resume_event.set()
        await until(lambda: other.received_request_ids.count("r"))
        self.assertEqual((present.running, other.running), (1, 0))
        result = await self.finish(call, received)
        self.assertEqual(result, (200, [1, 2, 3, 4, 5]))
        self.assertEqual(present.runs["r"], 1)
        self.assertEqual(node.fleet.places_by_request_and_server, {})

    async def test_stream_whose_engine_goes_on_while_another_one_refuses(self):
        """Guards against events that are lost or repeated beside a refused move."""
        node = await self.start()
        call, received, present, other = await self.begin(node)
        other.shed_next = 1000
        await self.offer(present, other)
        present.end_silence()
        await until(lambda: not present.running)
        other.end_silence()
        result = await self.finish(call, received)
        self.assertEqual(result, (200, [1, 2, 3, 4, 5]))
        self.assertEqual((present.runs["r"], other.runs["r"]), (1, 0))

    async def test_engine_that_breaks_off_while_another_one_has_the_stream(self):
        """Guards against a stream that is given up, or sent to a third engine."""
        node = await self.start()
        call, received, present, other = await self.begin(node)
        await self.offer(present, other)
        present.reset_connections()
        await until(lambda: not present.running)
        other.end_silence()
        other.resume_event.set()
        result = await self.finish(call, received)
        self.assertEqual(result, (200, [1, 2, 3, 4, 5]))
        self.assertEqual((present.runs["r"], other.runs["r"]), (1, 1))

    async def test_caller_that_leaves_while_two_engines_have_its_stream(self):
        """Guards against engines that work on for a caller that has left."""
        node = await self.start()
        call, _, present, other = await self.begin(node)
        await self.offer(present, other)
        (await call).close()
        await until(lambda: not node.forwarder.open_requests)
        for engine in (present, other):
            engine.end_silence()
        await until(lambda: not present.running and not other.running)
        self.assertEqual(node.fleet.places_by_request_and_server, {})

    async def test_stream_moves_without_a_leader(self):
        """The instance itself finds another engine that holds the adapter."""
        node = await self.start()
        call, received, present, other = await self.begin(node)
        self.store.rejected_peers.add("*")
        node.fleet._lose_lease("test")
        self.silence(present, 30.0)
        result = await self.finish(call, received)
        self.assertEqual(result, (200, [1, 2, 3, 4, 5]))
        self.assertEqual((present.runs["r"], other.runs["r"]), (1, 1))
        self.assertEqual(node.fleet.places_by_request_and_server, {})
        self.assertEqual(node.forwarder._places._leaderless_running, {})


class CrashWithMoveTest(SilentServerCase):
    """The server crashes in the moment in which another one has a place."""

    async def test_crash_is_recorded(self):
        """The move ended the send, and its broken connection went unnoticed."""
        node = await self.start()
        call, received, present, other = await self.begin(node, events=0)
        on_search_done, lose = (
            StreamMove._on_search_done,
            _StrictProtocol.connection_lost,
        )
        granted, crashes = [], []

        def crash_first(move, search):
            granted.append((move, search))
            crashes.append(asyncio.create_task(present.crash()))

        def lose_and_move(protocol, error):
            if granted and not protocol.is_idle:
                on_search_done(*granted.pop())
            lose(protocol, error)

        with (
            patch.object(StreamMove, "_on_search_done", crash_first),
            patch.object(_StrictProtocol, "connection_lost", lose_and_move),
        ):
            present.fall_silent(30.0)
            present.resume_event.set()
            await until(lambda: crashes and not granted)
        await asyncio.gather(*crashes)
        await until(lambda: other.runs["r"])
        self.assertEqual(node.fleet.crash_evidence.suspected_count(boot_time()), 1)
        other.resume_event.set()
        result = await self.finish(call, received)
        self.assertEqual(result, (200, [1, 2, 3, 4, 5]))

    async def test_move_without_a_crash(self):
        """The gateway closes the connection of a server that it leaves itself."""
        node = await self.start()
        call, received, present, other = await self.begin(node, events=0)
        present.fall_silent(30.0)
        present.resume_event.set()
        await until(lambda: other.runs["r"])
        self.assertTrue(node.fleet.crash_evidence.is_empty())
        other.resume_event.set()
        await self.finish(call, received)


class LeaderPlacesTest(SilentServerCase):
    """The leader's places during and after a move at an instance that follows it."""

    async def start_member(self):
        await self.start(2)
        return next(node for node in self.nodes if node is not self.leader)

    def running(self):
        engines = self.planner.pool.engines_by_name
        return [engines[name].running for name in ("e1", "e2")]

    async def test_moved_stream(self):
        member = await self.start_member()
        call, received, present, other = await self.begin(member)
        present.fall_silent(30.0)
        present.resume_event.set()
        await until(lambda: other.runs["r"])
        engines = self.planner.pool.engines_by_name
        await until(lambda: not engines[present.name].running)
        self.assertEqual(engines[other.name].running, 1)
        held = member.fleet.places_by_request_and_server
        places = [(caller_request_id(run_id), server) for run_id, server in held]
        self.assertEqual(places, [("r", other.name)])
        other.resume_event.set()
        result = await self.finish(call, received)
        self.assertEqual(result, (200, [1, 2, 3, 4, 5]))
        await until(lambda: self.running() == [0, 0])
        self.assertEqual(held, {})

    async def test_stream_that_goes_on_while_a_place_is_requested(self):
        """The request is withdrawn from the leader's queue; its place stays."""
        member = await self.start_member()
        call, received, present, other = await self.begin(member)
        self.planner.pause(other.name, boot_time() + 60.0)
        present.fall_silent(30.0)
        present.resume_event.set()
        await until(lambda: self.planner.waiting_count)
        engine = self.planner.pool.engines_by_name[present.name]
        self.assertEqual(engine.running, 1)
        self.assertEqual(engine.slots_by_adapter["a1"].uses, 1)
        present.pause_after_events = 3
        present.resume_event.clear()
        present.end_silence()
        await until(lambda: not self.planner.waiting_count)
        self.assertEqual(engine.running, 1)
        self.assertEqual(engine.slots_by_adapter["a1"].uses, 1)
        present.resume_event.set()
        result = await self.finish(call, received)
        self.assertEqual(result, (200, [1, 2, 3, 4, 5]))
        self.assertEqual(self.runs("r"), 1)
        await until(lambda: self.running() == [0, 0])
        self.assertEqual(member.fleet.places_by_request_and_server, {})

    @parameterized.expand([("all engines", 2), ("one engine", 1)])
    async def test_many_streams_of_silent_engines(self, _name, silent):
        """No stream is lost, no place is left, and none runs more than twice."""
        member = await self.start_member()
        nodes = [member, self.leader]
        begun = await asyncio.gather(
            *(
                self.begin(nodes[number % 2], request_id=f"r{number}")
                for number in range(STREAMS)
            )
        )
        for engine in self.assist[:silent]:
            self.silence(engine, SILENCE_S)
        results = await asyncio.gather(
            *(self.finish(call, received) for call, received, *_ in begun)
        )
        self.assertEqual(results, [(200, [1, 2, 3, 4, 5])] * STREAMS)
        runs = [self.runs(f"r{number}") for number in range(STREAMS)]
        self.assertLessEqual(max(runs), 2)
        await until(lambda: self.running() == [0, 0])
        self.assertEqual(self.planner.waiting_count, 0)
        for node in nodes:
            self.assertEqual(node.fleet.places_by_request_and_server, {})


class ReputationTest(SilentServerCase):
    """A server that was silent for a while is not treated like one that failed."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.node = await self.start()

    def engine(self, backend):
        return self.planner.pool.engines_by_name[backend.name]

    async def test_engine_that_lost_streams_gets_work_when_it_goes_on(self):
        """Streams that moved counted as failures in a row, so it was avoided."""
        silent, other = self.assist
        self.planner.pause(other.name, boot_time() + 60.0)
        calls = [
            await self.begin(self.node, request_id=f"r{number}", **LONG_DEADLINE)
            for number in range(6)
        ]
        self.engine(other).paused_until = 0.0
        # Longer than the moves take on any machine; ended when all have happened.
        self.silence(silent, LONG_SILENCE_S)
        await until(lambda: len(other.runs) == len(calls))
        silent.end_silence()
        for call, received, *_ in calls:
            result = await self.finish(call, received)
            self.assertEqual(result, (200, [1, 2, 3, 4, 5]))
        engine = self.engine(silent)
        await until(lambda: not silent.is_silent and not engine.missed_reports)
        self.assertIs(engine.condition(boot_time()), EngineCondition.USABLE)

    async def test_no_crash_is_suspected(self):
        """A time-out is not a crash, whatever parts the prompts have."""
        headers = {names.PROMPT_PARTS: "p1:500,p2:300,own:200"}
        calls = [
            await self.begin(
                self.node, request_id=f"r{number}", events=0, path=path, **headers
            )
            for number, path in enumerate(("/draft/x", "/draft/x", "/check/x"))
        ]
        for backend in self.assist:
            self.silence(backend, FIRST_SILENCE_S)
        for call, *_ in calls:
            self.assertEqual((await self.finish(call))[0], 200)
        self.assertTrue(self.node.fleet.crash_evidence.is_empty())

    async def test_running_requests_and_places_are_kept(self):
        """Reports that are not answered end no request and drop no place."""
        call, received, present, _ = await self.begin(self.node, path="/check/x")
        self.silence(present, SILENCE_S)
        engine = self.engine(present)
        await until(lambda: engine.missed_reports)
        self.assertIs(engine.condition(boot_time()), EngineCondition.SILENT)
        self.assertEqual(engine.running, 1)
        result = await self.finish(call, received)
        self.assertEqual(result, (200, [1, 2, 3, 4, 5]))
        self.assertEqual(self.runs("r"), 1)
        await until(lambda: not engine.missed_reports)
        self.assertIs(engine.condition(boot_time()), EngineCondition.USABLE)
        self.assertIsNotNone(self.node.fleet.registry.find(present.name))

    async def test_order_that_waits_for_a_silent_engine(self):
        """The request whose adapter is to be loaded waits, and is served."""
        await self.call(self.node, "/draft/x", adapter="a1")
        for backend in self.assist:
            backend.fall_silent(SILENCE_S)
        status, *_ = await self.call(
            self.node, "/draft/x", adapter="a2", request_id="r", **LONG_DEADLINE
        )
        self.assertEqual((status, self.runs("r")), (200, 1))

    async def test_plain_server_gets_work_when_it_goes_on(self):
        backend = self.engines["d1"]
        self.store.remove(names.BACKEND_TABLE, "d2")
        await until(lambda: len(self.node.fleet.registry.active_servers("desk")) == 1)
        backend.fall_silent(SILENCE_S)
        calls = [
            self.call(self.node, path, request_id=f"r{number}")
            for number, path in enumerate(("/look/x", "/order/x") * 4)
        ]
        statuses = {status for status, *_ in await asyncio.gather(*calls)}
        self.assertEqual(statuses, {200})
        self.assertEqual(set(backend.runs.values()), {1})
        status, *_ = await self.call(self.node, "/look/x", request_id="next")
        self.assertEqual((status, backend.runs["next"]), (200, 1))


class TimeoutTest(unittest.TestCase):
    """Only an ended connection may count as a crash, never a time-out."""

    @parameterized.expand(
        [
            ("read", aiohttp.SocketTimeoutError(), False),
            ("response", aiohttp.ServerTimeoutError(), False),
            ("own time-out", TimeoutError(), False),
            ("end of the connection", aiohttp.ServerDisconnectedError(), True),
            ("incomplete body", aiohttp.ClientPayloadError(), True),
            ("reset", ConnectionResetError(), True),
        ]
    )
    def test_cut(self, _name, error, expected):
        self.assertEqual(_broken_response(error).is_cut, expected)
