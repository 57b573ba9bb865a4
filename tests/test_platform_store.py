"""Tests of the store's client with malformed answers."""

import json
import unittest

from aiohttp import web
from parameterized import parameterized
from returns.result import Failure, Success

from sequoiafall.platform.store import PlatformRowStore
from sequoiafall.row_store import Rejected
from sequoiafall.store_results import Unavailable, Unknown

from .gateway_case import capture_log

NOT_BASE64 = {"table": "t", "key": "k", "row_version": 3, "value": "%%"}
UNREADABLE = [
    ("cut", b'{"row_version": 5, "rows": ['),
    ("list", b"[]"),
    ("empty", b""),
    ("not_utf8", b'{"rows": "\xff"}'),
    ("version_is_text", b'{"row_version": "5"}'),
    ("rows_are_numbers", b'{"rows": [1]}'),
    ("value_no_base64", json.dumps({"rows": [NOT_BASE64]}).encode()),
]


class UnreadableAnswerTest(unittest.IsolatedAsyncioTestCase):
    """An unreadable answer is never treated as an empty one."""

    async def asyncSetUp(self):
        self.status, self.content = 200, b"{}"
        application = web.Application()
        application.router.add_route("*", "/{path:.*}", self._answer)
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        self.addAsyncCleanup(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self.store = PlatformRowStore(f"127.0.0.1:{runner.addresses[0][1]}")
        self.addAsyncCleanup(self.store.close)

    async def _answer(self, _request):
        return web.Response(status=self.status, body=self.content)

    @parameterized.expand(UNREADABLE)
    async def test_reads_are_unavailable(self, _name, content):
        self.content = content
        with capture_log() as lines:
            for result in (
                await self.store.read("t", "k"),
                await self.store.scan("t"),
                await self.store.changes("t", 4, 0.0),
            ):
                self.assertIsInstance(result, Failure)
                self.assertIsInstance(result.failure(), Unavailable)
        named = [line for line in lines if "store_answer_unreadable" in line]
        self.assertEqual(len(named), 3, lines)
        self.assertEqual(self.store.failures, 3)

    @parameterized.expand(
        [
            (f"{name}_{status}", status, content)
            for name, content in UNREADABLE
            for status in (200, 412)
        ]
        + [("no_version", 200, b"{}"), ("version_0", 200, b'{"row_version": 0}')]
    )
    async def test_outcome_of_a_write_is_unknown(self, _name, status, content):
        self.status, self.content = status, content
        result = await self.store.replace("t", "k", b"v", 4)
        self.assertIsInstance(result.failure(), Unknown)

    async def test_readable_answers(self):
        row = {"table": "t", "key": "k", "row_version": 3, "value": "dg==", "new": 1}
        self.content = json.dumps({"rows": [row], "row_version": 9}).encode()
        self.assertEqual((await self.store.read("t", "k")).unwrap().value, b"v")
        self.assertEqual((await self.store.scan("t")).unwrap().version, 9)
        self.assertEqual(await self.store.replace("t", "k", b"v", 4), Success(9))
        self.status = 412
        rejected = (await self.store.replace("t", "k", b"v", 4)).failure()
        self.assertIsInstance(rejected, Rejected)
        self.assertEqual(rejected.row.version, 3)

    async def test_other_parts_are_left_out(self):
        row = {"table": "t", "key": "k", "row_version": 3, "part": "p", "value": "dg=="}
        self.content = json.dumps({"rows": [row], "row_version": 9}).encode()
        self.assertEqual((await self.store.scan("t")).unwrap().rows, [])


if __name__ == "__main__":
    unittest.main()
