"""Tests of fleets whose servers crash on one whole request that comes again."""

import asyncio

from parameterized import parameterized

from sequoiafall.platform import names

from .events import until
from .harmful_case import SOUND_AFTER_S, HarmfulCase

HARMFUL_QUERY = "?harmful"
HARMFUL_BODY = b"a body on which servers crash"
PATHS = ("/draft/x", "/check/x", "/look/x", "/order/x")
PLAIN_SERVERS = 3
# Different sound requests.
SOUND_REQUESTS = 50

ENGINE_PATHS = [("resumable", "/draft/x"), ("sent once", "/check/x")]
PLAIN_PATHS = [("idempotent", "/look/x"), ("not idempotent", "/order/x")]


class CrashingRequestCase(HarmfulCase):
    """Sends one request again and again on which servers crash.

    All its parts of the prompt occur in sound requests as well.
    """

    known_crashes = 3

    def prepare_server(self, server):
        server.crashing_requests = {
            (path + HARMFUL_QUERY, body)
            for path in PATHS
            for body in (HARMFUL_BODY, b"")
        }

    async def send(self, node, path, number, is_harmful):
        body = HARMFUL_BODY if is_harmful else b"body %d" % (number % SOUND_REQUESTS)
        target = path + HARMFUL_QUERY if is_harmful else path
        # The client library sends some methods again if a connection is closed.
        method = "GET" if path.startswith("/look/") else "POST"
        if method == "GET":
            target = path + (
                HARMFUL_QUERY if is_harmful else f"?{number % SOUND_REQUESTS}"
            )
        status, _, _ = await self.call(
            node,
            target,
            method=method,
            body=body,
            adapter=f"a{number % 4}" if self.is_engine(path) else "",
            **{names.PROMPT_PARTS: "5c1e:568,b1:200,own:250"},
        )
        return status

    def is_engine(self, path):
        return path.startswith(("/draft/", "/check/"))

    async def start_servers(self, nodes, path):
        if self.is_engine(path):
            await self.start_fleet_of_engines(nodes)
            return
        self.configure()
        for number in range(1, PLAIN_SERVERS + 1):
            self.prepare_server(await self.start_backend(f"d{number}", "desk", ""))
        for number in range(1, nodes + 1):
            await self.start_node(number)
        await until(
            lambda: all(
                node.fleet.has_leader
                and node.is_ready
                and len(node.fleet.registry) == PLAIN_SERVERS
                for node in self.nodes
            )
        )


class CrashingRequestTest(CrashingRequestCase):
    """A request that crashes servers stops reaching them; others are served."""

    @parameterized.expand(ENGINE_PATHS + PLAIN_PATHS)
    async def test_with_a_leader(self, _name, path):
        await self.start_servers(3, path)
        self.assert_contained(await self.press(path))

    @parameterized.expand(ENGINE_PATHS + PLAIN_PATHS)
    async def test_without_a_leader(self, _name, path):
        """No leader is elected while the store does not respond."""
        await self.start_servers(4, path)
        if self.is_engine(path):
            await self.load_adapters()
        self.store.rejected_peers.add("*")
        leader = self.leader
        self.nodes.remove(leader)
        await leader.stop()
        await until(lambda: not any(node.fleet.has_leader for node in self.nodes))
        # Engines without a leader's orders load nothing after a crash.
        for server in self.engines.values():
            server.keeps_models = True
        self.assert_contained(await self.press(path))

    @parameterized.expand([*ENGINE_PATHS[:1], *PLAIN_PATHS])
    async def test_leader_changes(self, _name, path):
        """The next leader continues with what the last one learned."""
        await self.start_servers(4, path)
        pressing = asyncio.create_task(self.press(path))
        await until(lambda: len(self.crashes()) >= 2)
        leader = self.leader
        self.nodes.remove(leader)
        await leader.stop()
        self.assert_contained(await pressing)

    @parameterized.expand([*ENGINE_PATHS[:1], *PLAIN_PATHS])
    async def test_newcomer(self, _name, path):
        """An instance that starts later refuses the request without a crash."""
        await self.start_servers(2, path)
        self.judges_late_calls = False
        await self.press(path, 4.0)
        self.judges_late_calls = True
        before = len(self.crashes())
        await self.start_node(3)
        await until(lambda: self.nodes[-1].fleet.has_leader)
        self.assert_contained(await self.press(path, SOUND_AFTER_S + 2.0))
        self.assertLessEqual(len(self.crashes()), max(before, self.known_crashes))

    @parameterized.expand([*ENGINE_PATHS[:1], *PLAIN_PATHS])
    async def test_all_instances_restart(self, _name, path):
        """What is known outlasts all processes of the system."""
        await self.start_servers(2, path)
        self.judges_late_calls = False
        await self.press(path, 4.0)
        self.judges_late_calls = True
        before = len(self.crashes())
        for node in list(self.nodes):
            self.nodes.remove(node)
            await node.stop()
        await self.start_node(4, peer_hints=())
        await until(lambda: self.nodes[0].fleet.has_leader and self.nodes[0].is_ready)
        self.assert_contained(await self.press(path, SOUND_AFTER_S + 2.0))
        self.assertLessEqual(len(self.crashes()), max(before, self.known_crashes))
