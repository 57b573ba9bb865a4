"""Crowds of clients that stop short must not end a process or starve other callers.

The program runs as a process with small limits; bounds come from these settings. The
classes run one after the other, apart from the other tests (see `SERIAL` in run.py).
"""

import asyncio
import json
import os
import sys
import tempfile
import time
import unittest
from pathlib import Path

import aiohttp
from aiohttp import web
from parameterized import parameterized

from sequoiafall.platform import names
from sequoiafall.standins.row_server import RowServer

from .events import disable_debug_mode
from .platform_case import KEY, configuration

ROOT = Path(__file__).resolve().parent.parent
# Memory and descriptors of the process in the settings of the tests. 200 descriptors
# are reserved for files, the rest is for sockets and pipes.
MEMORY_MB = 100
MAX_FDS = 400
MAX_SOCKETS = MAX_FDS - 200
MAX_BODY_BYTES = 4 * 1024 * 1024
# Limits of the operator in the tests; the times are shorter than the usual ones.
OPERATOR_LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": MAX_BODY_BYTES,
    "header_timeout_ms": 1000,
    "idle_timeout_ms": 3000,
}
LARGE_BYTES = 3_900_000
# Far beyond what is needed; a request that gets no answer by then was starved.
PATIENCE_S = 60.0
CALLER_HEADERS = {
    "Host": "shop.example",
    "Authorization": f"Bearer {KEY}",
    names.DEADLINE_MS: "4000",
}
FRONT_PORT, READY_PORT, DIRECTORY_PORT = 18221, 18224, 18220
METRICS_PORT = 17601

# Name, kind, port, path, number of clients and further fields of the crowd.
MEMORY_CASES = (
    ("length_on_a_plain_route", "length", "/order/x", 40, {"size": LARGE_BYTES}),
    ("length_on_a_stream_route", "length", "/draft/x", 40, {"size": LARGE_BYTES}),
    (
        "length_in_pieces_on_a_plain_route",
        "length in pieces",
        "/order/x",
        40,
        {"size": LARGE_BYTES},
    ),
    (
        "length_in_pieces_on_a_stream_route",
        "length in pieces",
        "/draft/x",
        40,
        {"size": LARGE_BYTES},
    ),
    (
        "large_chunks_on_a_plain_route",
        "chunked",
        "/order/x",
        40,
        {"size": LARGE_BYTES, "chunk": 65536},
    ),
    (
        "large_chunks_on_a_stream_route",
        "chunked",
        "/draft/x",
        40,
        {"size": LARGE_BYTES, "chunk": 65536},
    ),
    (
        "one_byte_chunks",
        "chunked",
        "/order/x",
        60,
        {"size": 300_000, "chunk": 1},
    ),
    ("large_heads", "large head", "/order/x", 60, {"size": 900_000}),
    ("answers_that_nobody_reads", "reader", "/look/large", 40, {"method": "GET"}),
    ("answers_that_are_read_slowly", "slow reader", "/look/large", 40, {}),
)
CONNECTION_CASES = (
    ("idle_at_front", "idle", FRONT_PORT, "/order/x"),
    ("unfinished_heads_at_front", "head", FRONT_PORT, "/order/x"),
    ("idle_at_ready", "idle", READY_PORT, names.READY_PATH),
    ("unfinished_heads_at_ready", "head", READY_PORT, names.READY_PATH),
    ("idle_at_directory", "idle", DIRECTORY_PORT, names.DIRECTORY_PATH),
    ("unfinished_heads_at_directory", "head", DIRECTORY_PORT, names.DIRECTORY_PATH),
    ("idle_at_metrics", "idle", METRICS_PORT, "/metrics"),
    ("unfinished_heads_at_metrics", "head", METRICS_PORT, "/metrics"),
)
OTHER_LISTENER_CASES = (
    ("ready", READY_PORT, names.READY_PATH),
    ("directory", DIRECTORY_PORT, names.DIRECTORY_PATH),
    ("metrics", METRICS_PORT, "/metrics"),
)


class _PlainServer:
    """Plain service whose answers below `/look/large` are large."""

    def __init__(self):
        self._runner = None
        self.received_bytes_by_request = {}

    async def listen(self):
        application = web.Application(client_max_size=2 * MAX_BODY_BYTES)
        application.router.add_route("*", "/{path:.*}", self._on_request)
        self._runner = web.AppRunner(application, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0, shutdown_timeout=0.1).start()
        return "{}:{}".format(*self._runner.addresses[0][:2])

    async def close(self):
        await self._runner.cleanup()

    async def _on_request(self, request):
        body = await request.read()
        request_id = request.headers.get(names.REQUEST_ID, "")
        self.received_bytes_by_request[request_id] = len(body)
        headers = {names.REQUEST_ID: request_id, names.SIGNATURE: f"d1.{request_id}"}
        answer = b"a" * LARGE_BYTES if request.path == "/look/large" else b"done"
        return web.Response(body=answer, headers=headers)


class StopShortCase(unittest.IsolatedAsyncioTestCase):
    """Starts the program, and a crowd of clients as another process."""

    async def asyncSetUp(self):
        disable_debug_mode()
        self._folder = tempfile.TemporaryDirectory(prefix="sequoiafall-short-")
        self.addCleanup(self._folder.cleanup)
        self._number = 0
        self._crowds = []
        # The network is our own: no other test uses 127.201 to 127.250.
        second = 201 + os.getpid() % 50
        self.host = f"127.{second}.{1 + os.getpid() // 50 % 250}.1"
        self._store = RowServer(seed=1)
        self._store_runner = web.AppRunner(self._store.application(), access_log=None)
        await self._store_runner.setup()
        await web.TCPSite(
            self._store_runner, "127.0.0.1", 0, shutdown_timeout=0.1
        ).start()
        self.server = _PlainServer()
        self._write_rows(await self.server.listen())
        self.process = await self._start_program()
        self.addAsyncCleanup(self._close)
        await self._wait_ready()

    def _write_rows(self, server_address):
        self._store.put(
            names.CONFIGURATION_TABLE,
            names.CONFIGURATION_KEY,
            configuration(3, limits=OPERATOR_LIMITS),
        )
        entry = {
            "service": "desk",
            "address": server_address,
            "zone": "z1",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "sequence": 1,
            "born": int(time.time() * 1e3),
        }
        self._store.put(names.BACKEND_TABLE, "d1", entry)

    async def _start_program(self):
        store_address = "{}:{}".format(*self._store_runner.addresses[0][:2])
        settings = {
            "node": "node-1",
            "zone": "z1",
            "region": "r1",
            "ip": self.host,
            "listen_addrs": {
                "front": f"{self.host}:{FRONT_PORT}",
                "ready": f"{self.host}:{READY_PORT}",
                "control": f"{self.host}:18229",
                "directory": f"{self.host}:{DIRECTORY_PORT}",
            },
            "internal_ports": [METRICS_PORT - 1, METRICS_PORT + 10],
            "seeds": [f"{self.host}:18229"],
            "bootstrap": True,
            "limits": {
                "cpu_share": 1.0,
                "cores": 1,
                "memory_mb": MEMORY_MB,
                "max_fds": MAX_FDS,
                "link_mbps": 350.0,
            },
            "bounds": {"grace_s": 2, "ttl_max_s": 5},
            "platform": {"address": store_address},
        }
        path = Path(self._folder.name) / "node.json"
        path.write_text(json.dumps(settings))
        self._log_path = Path(self._folder.name) / "node.log"
        with self._log_path.open("wb") as log:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "sequoiafall.platform.program",
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    names.SETTINGS_VARIABLE: str(path),
                    "SEQUOIAFALL_PEER_SECRET": "secret of the tests, 1234",
                },
            )

    async def _close(self):
        for crowd in self._crowds:
            await self._end_crowd(crowd)
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        await self.server.close()
        await self._store_runner.cleanup()

    async def _wait_ready(self):
        until = time.monotonic() + PATIENCE_S
        while await self._get(READY_PORT, names.READY_PATH) != 200:
            self.assertLess(time.monotonic(), until, self._log())
            await asyncio.sleep(0.1)
        await self.serve_ordinary_caller()

    def _log(self):
        return self._log_path.read_text(errors="replace")[-3000:]

    async def _get(self, port, path):
        """Return the status of a call, 0 if it got no answer."""
        timeout = aiohttp.ClientTimeout(total=5.0)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.get(f"http://{self.host}:{port}{path}") as response,
            ):
                await response.read()
                return response.status
        except (aiohttp.ClientError, OSError, TimeoutError):
            return 0

    async def call(self, body=b"body"):
        """Return the status of one order, 0 if it got no answer."""
        self._number += 1
        request_id = f"ordinary{self._number}"
        headers = {**CALLER_HEADERS, names.REQUEST_ID: request_id}
        timeout = aiohttp.ClientTimeout(total=10.0)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.post(
                    f"http://{self.host}:{FRONT_PORT}/order/x",
                    headers=headers,
                    data=body,
                ) as response,
            ):
                await response.read()
        except (aiohttp.ClientError, OSError, TimeoutError):
            return 0
        if response.status in (408, 429, 503):
            # The refusal promises that the request has not run.
            self.assertNotIn(request_id, self.server.received_bytes_by_request)
        if response.status == 200:
            received = self.server.received_bytes_by_request[request_id]
            self.assertEqual(received, len(body))
        return response.status

    async def serve_ordinary_caller(self):
        """Check that one ordinary caller is served, which comes back if refused."""
        until = time.monotonic() + PATIENCE_S
        statuses = []
        while True:
            statuses.append(await self.call())
            if statuses[-1] == 200:
                return
            self.assertIsNone(self.process.returncode, self._log())
            self.assertLess(time.monotonic(), until, f"{statuses}\n{self._log()}")
            await asyncio.sleep(0.2)

    async def start_crowd(self, kind, port, path, count, **fields):
        """Start a crowd and wait until it has sent what it is going to send."""
        specification = {
            "address": f"{self.host}:{port}",
            "kind": kind,
            "path": path,
            "count": count,
            "method": "GET" if "reader" in kind else "POST",
            "headers": CALLER_HEADERS,
            **fields,
        }
        crowd = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "tests.unfinished_clients",
            json.dumps(specification),
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        self._crowds.append(crowd)
        async with asyncio.timeout(2 * PATIENCE_S):
            self.assertEqual(await crowd.stdout.readline(), b"sent\n")
        return crowd

    async def _end_crowd(self, crowd):
        if crowd.returncode is None:
            crowd.stdin.close()
            await crowd.wait()

    async def check_crowd(self, *arguments, **fields):
        """Check that ordinary callers are served during a crowd and after it."""
        crowd = await self.start_crowd(*arguments, **fields)
        await self.serve_ordinary_caller()
        self.check_memory()
        self.check_sockets()
        await self._end_crowd(crowd)
        await self.serve_ordinary_caller()
        self.check_memory()
        self.assertIsNone(self.process.returncode, self._log())

    def check_memory(self):
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        fields = dict(line.split(":", 1) for line in status.splitlines())
        peak_mb = int(fields["VmHWM"].split()[0]) / 1024
        self.assertLessEqual(peak_mb, MEMORY_MB, "peak of the resident memory in MB")

    def check_sockets(self):
        self.assertLessEqual(self.count_sockets(), MAX_SOCKETS)

    def count_sockets(self):
        count = 0
        for entry in Path(f"/proc/{self.process.pid}/fd").iterdir():
            try:
                count += os.readlink(entry).startswith("socket:")
            except FileNotFoundError:
                # It was closed meanwhile.
                continue
        return count


class MemoryTest(StopShortCase):
    """Guards against bodies, heads and answers that fill the memory together."""

    @parameterized.expand(MEMORY_CASES)
    async def test_crowd(self, _name, kind, path, count, fields):
        await self.check_crowd(kind, FRONT_PORT, path, count, **fields)


class ConnectionsTest(StopShortCase):
    """Guards against connections that use up the descriptors."""

    @parameterized.expand(CONNECTION_CASES)
    async def test_crowd(self, _name, kind, port, path):
        await self.check_crowd(kind, port, path, 300)


class OtherListenersTest(StopShortCase):
    """Guards against bodies at the listeners that serve no requests of callers."""

    @parameterized.expand(OTHER_LISTENER_CASES)
    async def test_large_bodies(self, _name, port, path):
        await self.check_crowd("length", port, path, 100, size=LARGE_BYTES)

    @parameterized.expand(OTHER_LISTENER_CASES)
    async def test_large_heads(self, _name, port, path):
        await self.check_crowd("large head", port, path, 60, size=900_000)


class CalmTest(StopShortCase):
    """Guards against limits that refuse what the operator's limits allow."""

    async def test_largest_body(self):
        self.assertEqual(await self.call(b"b" * MAX_BODY_BYTES), 200, self._log())

    async def test_largest_body_in_chunks(self):
        async def pieces():
            for _ in range(64):
                yield b"b" * (MAX_BODY_BYTES // 64)

        self._number += 1
        headers = {**CALLER_HEADERS, names.REQUEST_ID: "chunked1"}
        async with (
            aiohttp.ClientSession() as session,
            session.post(
                f"http://{self.host}:{FRONT_PORT}/order/x",
                headers=headers,
                data=pieces(),
            ) as response,
        ):
            self.assertEqual(response.status, 200, await response.text())
        self.assertEqual(
            self.server.received_bytes_by_request["chunked1"], MAX_BODY_BYTES
        )

    async def test_large_bodies_one_after_the_other(self):
        for _ in range(10):
            self.assertEqual(await self.call(b"b" * MAX_BODY_BYTES), 200, self._log())
        self.check_memory()
