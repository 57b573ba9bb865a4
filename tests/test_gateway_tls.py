"""Tests of TLS on the callers' port of a gateway process."""

import asyncio
import os
import ssl
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import aiohttp
from parameterized import parameterized

from bench.fleet import ROOT, free_address
from sequoiafall.standins.generation import completion_text

from .fleet_case import EVENT_TIMEOUT_S, FleetTestCase
from .gateway_case import texts_of

TOKENS = 60


def make_certificate(directory: Path, name: str, *options: str) -> None:
    """Make a key and a certificate for 127.0.0.1 with the openssl program."""
    subprocess.run(
        [
            *("openssl", "req", "-x509", "-newkey", "ec"),
            *("-pkeyopt", "ec_paramgen_curve:P-256", "-subj", f"/CN={name}"),
            *("-addext", "subjectAltName=IP:127.0.0.1", "-days", "2"),
            *("-keyout", directory / f"{name}.key"),
            *("-out", directory / f"{name}.pem"),
            *(options or ("-nodes",)),
        ],
        check=True,
        capture_output=True,
        timeout=EVENT_TIMEOUT_S,
    )


class CertificateCase(unittest.TestCase):
    """Makes certificates in a directory that is removed afterwards."""

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        directory = tempfile.TemporaryDirectory(prefix="sequoiafall-tls-")
        cls.addClassCleanup(directory.cleanup)
        cls.directory = Path(directory.name)
        make_certificate(cls.directory, "gateway")
        make_certificate(cls.directory, "other")
        make_certificate(cls.directory, "locked", "-passout", "pass:0123")

    def file(self, name: str) -> str:
        """Return the path of a file, or an absolute path as it is."""
        return str(self.directory / name)


class CallerTlsTest(CertificateCase, FleetTestCase):
    """A gateway with a certificate must serve TLS and refuse plain HTTP."""

    instance_count = 1
    engine_count = 1

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.metrics_address = free_address()
        self.gateway = self.fleet.process(
            "gateway-tls",
            "sequoiafall.gateway",
            free_address(),
            *("--instance", "i0", "--zone", "kuldiga"),
            *("--metrics-listen", self.metrics_address),
            *("--controller", self.fleet.instances_by_name["i0"].controller.address),
            *("--platform-url", f"http://{self.fleet.platform.address}"),
            *("--cluster-secret-file", str(self.fleet.directory / "cluster-secret")),
            *("--tls-certificate", self.file("gateway.pem")),
            *("--tls-key", self.file("gateway.key")),
        )
        self.addAsyncCleanup(self.gateway.kill)
        await self.gateway.start()
        await self.fleet.wait_for_http(self.gateway, self.metrics_address, "/readyz")

    def post(self, scheme: str, trusted: str = "gateway.pem"):
        """Request a stream from the gateway."""
        return self.fleet.session.post(
            f"{scheme}://{self.gateway.address}/v1/completions",
            json={
                "model": "alpha-0@1",
                "prompt": "p",
                "max_tokens": TOKENS,
                "stream": True,
            },
            headers=self.caller("alpha").headers(),
            ssl=ssl.create_default_context(cafile=self.file(trusted)),
        )

    async def test_streams_with_tls_only(self):
        text = completion_text("p", "alpha-0", "1", TOKENS)
        async with asyncio.timeout(EVENT_TIMEOUT_S):
            async with self.post("https") as response:
                self.assertEqual(response.status, 200)
                received = await response.content.readany()
                with self.assertRaises(aiohttp.ClientError):
                    await self.post("http")
                with self.assertRaises(aiohttp.ClientConnectorCertificateError):
                    await self.post("https", trusted="other.pem")
                received += await response.read()
            self.assertEqual("".join(texts_of(received)), text)
            async with self.post("https") as response:
                self.assertEqual("".join(texts_of(await response.read())), text)
        self.assertTrue(self.gateway.running)
        self.assertNotIn("Traceback", self.gateway.log())


class TlsSettingsTest(CertificateCase, unittest.IsolatedAsyncioTestCase):
    """A gateway with unusable TLS files must report them and exit."""

    @parameterized.expand(
        [
            ("no_key", "gateway.pem", "", "--tls-certificate, --tls-key", "together"),
            ("missing", "none.pem", "gateway.key", "--tls-certificate", "existing"),
            ("missing_key", "gateway.pem", "none.key", "--tls-key", "existing"),
            # A process can open this file of its own, but not read its start.
            ("unreadable", "gateway.pem", "/proc/self/mem", "--tls-key", "readable"),
            (
                *("mismatched", "gateway.pem", "other.key"),
                *("--tls-certificate, --tls-key", "a certificate with its key"),
            ),
            (
                *("swapped", "gateway.key", "gateway.pem"),
                *("--tls-certificate, --tls-key", "a certificate with its key"),
            ),
            (
                *("encrypted", "locked.pem", "locked.key"),
                *("--tls-certificate, --tls-key", "not encrypted"),
            ),
        ]
    )
    async def test_finding(self, _name, certificate, key, place, expected):
        (self.directory / "secret").write_text("0" * 32)
        arguments = [
            *("--instance", "i0", "--zone", "kuldiga"),
            *("--listen", "127.0.0.1:0", "--metrics-listen", "127.0.0.1:0"),
            *("--controller", "127.0.0.1:1", "--platform-url", "http://127.0.0.1:1"),
            *("--cluster-secret-file", self.file("secret")),
            *("--tls-certificate", self.file(certificate)),
            *(("--tls-key", self.file(key)) if key else ()),
        ]
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "sequoiafall.gateway", *arguments),
            # Stays open, so that a password prompt would block forever.
            stdin=subprocess.PIPE,
            stderr=subprocess.PIPE,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
            cwd=ROOT,
        )
        try:
            async with asyncio.timeout(EVENT_TIMEOUT_S):
                lines = (await process.stderr.read()).decode().splitlines()
                status = await process.wait()
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
        self.assertEqual(len(lines), 1, lines)
        self.assertTrue(lines[0].startswith(f"sequoiafall-gateway: {place}: "), lines)
        self.assertIn(expected, lines[0])
        self.assertEqual(status, 2)
