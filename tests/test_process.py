"""Tests of the process that runs a service."""

import asyncio
import math
import os
import signal
import unittest
from unittest.mock import patch

from mode import Service

from sequoiafall.process import ServiceWorker, stop_requested_at


class _Stopping(Service):
    """Service whose process gets signals as soon as it has started."""

    signals = (signal.SIGTERM,)

    def __init__(self, **kwargs):
        super().__init__(**kwargs)
        self.events = []

    async def on_started(self):
        for number in self.signals:
            os.kill(os.getpid(), number)

    async def on_stop(self):
        await asyncio.sleep(0.01)
        self.events.append("stopped")


class _StoppedTwice(_Stopping):
    signals = (signal.SIGTERM, signal.SIGTERM, signal.SIGINT)


class ServiceWorkerTest(unittest.TestCase):
    """A process ends with its service."""

    def _run(self, service):
        loop = asyncio.new_event_loop()
        worker = ServiceWorker(
            service,
            loop=loop,
            override_logging=False,
            redirect_stdouts=False,
            daemon=True,
            quiet=True,
        )
        pauses = []
        sleep = asyncio.sleep

        async def record(seconds, *arguments):
            if "stopped" in service.events:
                pauses.append(seconds)
            return await sleep(seconds, *arguments)

        with patch("asyncio.sleep", record), self.assertRaises(SystemExit) as ended:
            worker.execute_from_commandline()
        self.assertIn(ended.exception.code, (None, 0))
        # A later stop in this process must not count from the signal of this one.
        self.assertEqual(stop_requested_at(), math.inf)
        return pauses

    def test_no_pause_after_the_stop(self):
        """Guards against a grace period that ends while the process only waits."""
        service = _Stopping()
        pauses = self._run(service)
        self.assertEqual(service.events, ["stopped"])
        self.assertLess(sum(pauses), 1.0, pauses)

    def test_further_signals(self):
        """Guards against a second signal that ends or repeats the stop."""
        service = _StoppedTwice()
        self._run(service)
        self.assertEqual(service.events, ["stopped"])
