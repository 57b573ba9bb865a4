"""Operator API on a committer and an in-memory table, served from a thread."""

import asyncio
import threading

from aiohttp import web
from returns.result import Failure, Success

from sequoiafall.audit import read_audit
from sequoiafall.commits import Committer
from sequoiafall.operator_api import ConfigurationBackend, EditOutcome, OperatorApi

from .fake_table import FakeTable

TOKEN = "operators-token-0123"


class FakeBackend(ConfigurationBackend):
    """Backend whose edits report `in_force`, true unless a test changes it."""

    def __init__(self):
        self.table = FakeTable()
        self.in_force = True
        self.committer = Committer(
            self.table, lambda: 1_700_000_000, 20, lambda: self.table.calls
        )

    async def edit(self, request):
        result = await self.committer.edit(request)
        if isinstance(result, Failure):
            return result
        return Success(EditOutcome(result.unwrap().change.revision, self.in_force))

    def table_state(self):
        return self.committer.reader.state

    async def audit(self, query):
        return await read_audit(self.committer, query)

    async def status(self):
        instances = [
            {"instance": "a", "zone": "talsi", "ready": True, "head_revision": 3},
            {"instance": "b", "zone": "kuldiga", "ready": False, "head_revision": 2},
        ]
        return {
            "revision": 3,
            "in_force_revision": 2,
            "view": {"revision": 2, "members": ["a", "b"], "pending_views": []},
            "instances": instances,
            "backend_servers": {
                "e1": {"pool": "base-1", "state": "in_service"},
                "e2": {"pool": "base-1", "state": "cleaning"},
            },
        }

    async def explain(self, key_name, model, tokens):
        return {"key_name": key_name, "model": model, "decision": "not_permitted"}


class OperatorApiServer:
    """Serves the operator API of a `FakeBackend` on a free port, in its own thread."""

    def __init__(self):
        self.backend = FakeBackend()
        self.url = ""
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)

    def start(self) -> None:
        """Start serving."""
        self._thread.start()
        self._run(self._start())

    def stop(self) -> None:
        """Stop serving and end the thread."""
        self._run(self._runner.cleanup())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(10)

    async def _start(self):
        app = web.Application()
        app.add_routes(OperatorApi(self.backend, TOKEN.encode()).routes())
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        self.url = f"http://127.0.0.1:{self._runner.addresses[0][1]}"
