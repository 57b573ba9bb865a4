"""Tests of the gateway's HTTP API with a fake controller and platform."""

import asyncio
import base64
import json
from unittest import mock

from parameterized import parameterized

from sequoiafall.caller_stream import WRITE_BUFFER_BYTES, CallerStream
from sequoiafall.completions import UNBUDGETED_RESUMES
from sequoiafall.retry import RESERVE_RETRIES, RETRY_SHARE
from sequoiafall.standins.generation import completion_text
from sequoiafall.wire.gen.ttypes import Member, QuotaRequest

from .gateway_case import (
    EVENT_TIMEOUT_S,
    SECRETS,
    FakeControl,
    GatewayTestCase,
    capture_log,
    error_of,
    texts_of,
)

COMPLETIONS = "/v1/completions"
TEXT = completion_text("a spoon", "oak", "10", 8)


def is_return_of_grants(request) -> bool:
    """Return whether a request to the quota owner only returns unused grants."""
    return isinstance(request, QuotaRequest) and not request.shortage_tokens


class CompletionTest(GatewayTestCase):
    """The caller must get exactly the completion of the requested adapter version."""

    @parameterized.expand(
        [
            ("highest_version", "oak", "carvers", "oak", "10"),
            ("named_version", "oak@9", "carvers", "oak", "9"),
            ("open_adapter", "shared", "carvers", "shared", "1"),
        ]
    )
    async def test_streamed(self, _name, model, organisation, adapter, version):
        status, headers, body = await self.complete(model, organisation, stream=True)
        self.assertEqual(status, 200)
        self.assertEqual(headers["X-Adapter"], adapter)
        self.assertEqual(headers["X-Adapter-Version"], version)
        text = completion_text("a spoon", adapter, version, 8)
        self.assertEqual("".join(texts_of(body)), text)
        self.assertTrue(body.endswith(b"data: [DONE]\n\n"))

    async def test_joined(self):
        _, headers, body = await self.complete()
        completion = json.loads(body)
        self.assertEqual(completion["choices"][0]["text"], TEXT)
        self.assertEqual(completion["model"], "oak@10")
        self.assertEqual(completion["id"], headers["X-Request-Id"])
        self.assertEqual(completion["usage"]["completion_tokens"], 8)

    async def test_chat(self):
        body = {
            "model": "oak",
            "messages": [{"role": "user", "content": "a spoon"}],
            "max_tokens": 4,
        }
        path = "/v1/chat/completions"
        _, _, joined = await self.post(path, json=body)
        _, _, streamed = await self.post(path, json={**body, "stream": True})
        text = completion_text("user: a spoon", "oak", "10", 4)
        message = json.loads(joined)["choices"][0]["message"]
        self.assertEqual(message, {"role": "assistant", "content": text})
        self.assertEqual("".join(texts_of(streamed)), text)

    @parameterized.expand(
        [
            ("cut", {"cut_after": 3, "cut_times": 2}),
            ("crossed", {"crossed": True}),
            ("doubled", {"doubled": True}),
            ("cut_and_doubled", {"cut_after": 5, "cut_times": 1, "doubled": True}),
            ("failing_first", {"error_status": 500}),
        ]
    )
    async def test_faulty_engine(self, _name, faults):
        await self.set_faults(self.engines[0], **faults)
        _, _, body = await self.complete(stream=True)
        self.assertEqual("".join(texts_of(body)), TEXT)
        self.assertTrue(body.endswith(b"data: [DONE]\n\n"))

    async def test_restarted_engine_resumes_elsewhere(self):
        stream = asyncio.create_task(self.complete(stream=True, max_tokens=400))
        await self.wait_until(lambda: self.engines[0].batch.running)
        await self.set_faults(self.engines[0], cold_restart=True)
        _, _, body = await stream
        self.assertEqual(
            "".join(texts_of(body)), completion_text("a spoon", "oak", "10", 400)
        )

    async def test_gives_up_after_bounded_attempts(self):
        for engine in self.engines:
            await self.set_faults(engine, cut_after=1)
        _, _, body = await self.complete(stream=True, max_tokens=100)
        self.assertEqual(error_of(body)["reason"], "backend_failed")
        self.assertNotIn(b"[DONE]", body)
        self.assertLess(len(texts_of(body)), 20)

    async def test_resumes_stay_within_the_retry_budget(self):
        """Engines that break every stream must not receive nine times the load."""
        for engine in self.engines:
            await self.set_faults(engine, cut_after=1)
        requests = 20
        for _ in range(requests):
            await self.complete(stream=True, max_tokens=100)
        attempts = sum(
            entry["path"] == "/v1/completions"
            for engine in self.engines
            for entry in engine.recorded
        )
        retries = RESERVE_RETRIES + RETRY_SHARE * requests
        self.assertLessEqual(attempts, (1 + UNBUDGETED_RESUMES) * requests + retries)
        self.assertGreaterEqual(attempts, (1 + UNBUDGETED_RESUMES) * requests)

    async def test_gives_up_a_stream_that_is_repeatedly_handed_over(self):
        """Engines that hand over every stream must not cause an endless loop."""
        for engine in self.engines:
            engine.batch.submit = lambda stream: stream.output.put_nowait("moved")
        request = self.complete(stream=True)
        status, _, body = await asyncio.wait_for(request, EVENT_TIMEOUT_S)
        self.assertEqual(status, 502)
        self.assertEqual(json.loads(body)["error"]["reason"], "backend_failed")


class WrongAdapterTest(GatewayTestCase):
    """No byte of a response from another adapter version may reach a caller."""

    @parameterized.expand([("streamed", True), ("joined", False)])
    async def test_no_byte_is_delivered(self, _name, stream):
        for engine in self.engines:
            await self.set_faults(engine, wrong_version="9")
        status, _, body = await self.complete(stream=stream)
        self.assertEqual(status, 502)
        error = error_of(body)
        self.assertEqual((error["reason"], error["ran"]), ("wrong_adapter", "unknown"))
        self.assertNotIn(b"choices", body)
        self.assertIn(("e1", "wrong_adapter"), self.control.released)

    async def test_retries_on_another_engine(self):
        await self.set_faults(self.engines[0], wrong_version="9")
        _, _, body = await self.complete(stream=True)
        self.assertEqual("".join(texts_of(body)), TEXT)


class RefusalTest(GatewayTestCase):
    """Each refusal must give its reason, and say "not run" only if that is certain."""

    @parameterized.expand(
        [
            ("unknown_adapter", "pine", "carvers", 404, "unknown_adapter"),
            ("unknown_version", "oak@11", "carvers", 404, "unknown_adapter"),
            ("other_adapter", "oak", "clogs", 403, "not_permitted"),
            ("other_version", "oak@9", "clogs", 403, "not_permitted"),
        ]
    )
    async def test_model(self, _name, model, organisation, status, reason):
        await self.assert_refused(
            await self.complete(model, organisation), status, reason
        )

    @parameterized.expand(
        [
            ("not_json", b"{", "invalid_request"),
            ("no_prompt", b'{"model": "oak"}', "invalid_request"),
            ("no_model", b'{"prompt": "x"}', "invalid_request"),
            (
                "many_tokens",
                b'{"model": "oak", "prompt": "x", "max_tokens": 999999}',
                "invalid_request",
            ),
        ]
    )
    async def test_body(self, _name, body, reason):
        refusal = await self.post(COMPLETIONS, data=body)
        await self.assert_refused(refusal, 400, reason)

    @parameterized.expand(
        [
            ("none", {}, "invalid_key"),
            ("unknown", {"Authorization": "Bearer nobody-0000000000"}, "invalid_key"),
            ("scheme", {"Authorization": "Basic abc"}, "invalid_key"),
        ]
    )
    async def test_key(self, _name, headers, reason):
        body = {"model": "oak", "prompt": "x"}
        async with self.session.post(
            self.url(COMPLETIONS), json=body, headers=headers
        ) as response:
            refusal = response.status, response.headers, await response.read()
        await self.assert_refused(refusal, 401, reason)

    @parameterized.expand(
        [
            ("key", b"Authorization: Bearer \xff", b"401"),
            ("forwarded", b"Authorization: Bearer %b\r\nAccept: \xff", b"400"),
        ]
    )
    async def test_header_with_invalid_utf8(self, _name, lines, status):
        """Must not end in an unexpected error, which would not say "not run"."""
        lines = lines.replace(b"%b", SECRETS["carvers"].encode())
        host, _, port = self.gateway.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b"POST /services/stock/x HTTP/1.1\r\nHost: gateway\r\n%b\r\n"
            b"Connection: close\r\nContent-Length: 0\r\n\r\n" % lines
        )
        response = await asyncio.wait_for(reader.read(), EVENT_TIMEOUT_S)
        writer.close()
        self.assertEqual(response.split()[1], status, response)
        self.assertEqual(error_of(response.partition(b"\r\n\r\n")[2])["ran"], "not run")

    async def test_withdrawn_key(self):
        await self.edit(("key", "carvers-key", {"state": "withdrawn"}))
        await self.assert_refused(await self.complete(), 401, "withdrawn_key")

    async def test_rate(self):
        self.control.quota_reason = "rate_exceeded"
        refusal = await self.complete()
        await self.assert_refused(refusal, 429, "rate_exceeded")
        self.assertEqual(refusal[1]["Retry-After"], "2")

    async def test_pool(self):
        self.control.place_reason = "overloaded"
        await self.assert_refused(await self.complete(), 503, "overloaded")

    async def test_stale_head(self):
        self.make_stale()
        refusal = await self.complete()
        await self.assert_refused(refusal, 503, "stale_configuration")
        self.assertIn("Retry-After", refusal[1])
        async with self.session.get(self.url("/readyz")) as response:
            self.assertEqual(response.status, 503)

    async def test_stale_while_waiting_for_a_place(self):
        self.control.on_place = lambda _: self.make_stale()
        await self.assert_refused(await self.complete(), 503, "stale_configuration")

    async def test_expired_place_is_not_used(self):
        self.control.place_lifetime_ms = 0
        await self.assert_refused(await self.complete(), 502, "backend_failed")

    async def assert_refused(self, refusal, status, reason):
        """Check the format of a refusal, and that no engine received the request."""
        self.assertEqual(refusal[0], status, refusal[2])
        error = error_of(refusal[2])
        self.assertEqual((error["reason"], error["ran"]), (reason, "not run"))
        self.assertTrue({"message", "type", "retry_after_s"} <= error.keys())
        self.assertIn("X-Request-Id", refusal[1])
        for engine in self.engines:
            self.assertEqual(list(engine.recorded), [])


class RunningStreamTest(GatewayTestCase):
    """Running streams must stop on a withdrawn key and pause on a stale head."""

    async def open_stream(self):
        """Start a long stream and read its first bytes."""
        body = {"model": "oak", "prompt": "a spoon", "max_tokens": 600, "stream": True}
        response = await self.session.post(
            self.url(COMPLETIONS), json=body, headers=self.headers()
        )
        self.addCleanup(response.close)
        return response, await response.content.readany()

    async def test_withdrawn_key_ends_stream(self):
        response, body = await self.open_stream()
        await self.edit(("key", "carvers-key", {"state": "withdrawn"}))
        body += await response.content.read()
        self.assertEqual(error_of(body)["reason"], "withdrawn_key")
        self.assertNotIn(b"[DONE]", body)
        await self.wait_until(lambda: not list(self.engines[0].batch))

    async def test_withdrawal_does_not_affect_other_keys(self):
        response, body = await self.open_stream()
        await self.edit(("key", "clogs-key", {"state": "withdrawn"}))
        body += await response.content.read()
        self.assertTrue(body.endswith(b"data: [DONE]\n\n"))

    async def test_stale_head_suspends_stream(self):
        response, body = await self.open_stream()
        self.make_stale()
        # Bytes in flight still arrive; then the stream pauses.
        with self.assertRaises(TimeoutError):
            while True:
                async with asyncio.timeout(0.3):
                    body += await response.content.readany()
        offset = len(texts_of(body))
        self.assertLess(offset, 600)
        await self.make_fresh()
        body += await response.content.read()
        self.assertEqual(
            "".join(texts_of(body)), completion_text("a spoon", "oak", "10", 600)
        )

    async def test_key_withdrawn_while_suspended(self):
        response, body = await self.open_stream()
        self.make_stale()
        self.control.commit(("key", "carvers-key", {"state": "withdrawn"}))
        await self.make_fresh()
        body += await response.content.read()
        self.assertEqual(error_of(body)["reason"], "withdrawn_key")

    async def test_caller_that_does_not_read_is_not_buffered(self):
        """The gateway must not buffer the response for a caller that stops reading."""
        sizes = []
        write = CallerStream.write_unchecked

        async def observe(stream, data):
            await write(stream, data)
            sizes.append(stream._transport.get_write_buffer_size())

        # A few pieces of this length fill the socket buffers.
        text = "x" * 6_000
        with (
            mock.patch.object(CallerStream, "write_unchecked", observe),
            mock.patch("sequoiafall.standins.engine.token_text", lambda *_: text),
        ):
            response, _ = await self.open_stream()
            relayed = -1
            while relayed != len(sizes):
                relayed = len(sizes)
                await asyncio.sleep(0.5)
            self.assertLess(relayed, 600)
            body = await response.content.read()
        self.assertTrue(body.endswith(b"data: [DONE]\n\n"))
        self.assertLessEqual(max(sizes), WRITE_BUFFER_BYTES)

    async def test_stop_finishes_stream(self):
        response, body = await self.open_stream()
        stopping = asyncio.create_task(self.gateway.stop())
        await self.wait_until(lambda: self.gateway.control.leaving)
        body += await response.content.read()
        await stopping
        self.assertEqual(
            "".join(texts_of(body)), completion_text("a spoon", "oak", "10", 600)
        )

    async def test_stream_that_outlasts_the_drain(self):
        """Guards against calls that go on without a place after the drain timeout.

        They lasted until the HTTP server cancelled them a minute later, and ended
        without an error event.
        """
        for engine in self.engines:
            engine.config.token_seconds = 0.1
        response, body = await self.open_stream()
        self.gateway.config.drain_timeout_s = 0.2
        stopping = asyncio.create_task(self.gateway.stop())
        async with asyncio.timeout(EVENT_TIMEOUT_S):
            body += await response.content.read()
            await stopping
        self.assertEqual(error_of(body)["reason"], "draining")
        self.assertEqual(error_of(body)["ran"], "unknown")
        self.assertNotIn(b"[DONE]", body)
        await self.wait_until(lambda: not list(self.engines[0].batch))


class OwnerTest(GatewayTestCase):
    """Requests must not keep waiting for an owner that has been replaced."""

    @mock.patch("sequoiafall.place_client.PLACE_WAIT_S", 10_000.0)
    async def test_frozen_owner_is_replaced(self):
        self.control.frozen_places = 1
        completion = asyncio.create_task(self.complete())
        await self.wait_until(lambda: not self.control.frozen_places)
        self.control.members = [Member("b", 1, "talsi", "127.0.0.1:2", [])]
        await self.edit(("organisation", "clogs", {"weight": 2}))
        status, _, _ = await asyncio.wait_for(completion, EVENT_TIMEOUT_S)
        self.assertEqual(status, 200)

    async def test_quota_request_survives_replacement_of_owner(self):
        self.control.quota_failures = 4
        status, _, _ = await self.complete()
        self.assertEqual((status, self.control.quota_failures), (200, 0))

    @mock.patch("sequoiafall.quota_client.MAX_ADMISSION_WAIT_S", 0.2)
    async def test_quota_without_an_owner(self):
        self.control.quota_failures = 10_000
        status, headers, body = await self.complete()
        error = error_of(body)
        self.assertEqual((status, error["reason"]), (503, "owner_unavailable"))
        self.assertEqual(error["ran"], "not run")
        self.assertIn("Retry-After", headers)

    async def test_disconnect_cancels_the_wait_for_a_place(self):
        self.control.frozen_places = 1
        completion = asyncio.create_task(self.complete())
        await self.wait_until(lambda: not self.control.frozen_places)
        completion.cancel()
        await self.wait_until(lambda: not self.gateway.control._owner_calls_by_scope)
        await self.wait_until(lambda: not len(self.gateway.calls))


class PlannedStopTest(GatewayTestCase):
    """A planned stop must not interrupt requests or lose quota."""

    async def test_serves_until_directory_answers_have_expired(self):
        await self.complete()
        self.gateway.config.shutdown_delay_s = 0.5
        stopping = asyncio.create_task(self.gateway.stop())
        await self.wait_until(
            lambda: not self.gateway.control.directory.entries_for("carvers")
        )
        status, _, _ = await self.complete()
        self.assertEqual(status, 200)
        async with self.session.get(self.url("/readyz")) as response:
            self.assertEqual(response.status, 503)
        stream = asyncio.create_task(self.complete(stream=True, max_tokens=600))
        await self.wait_until(lambda: not self.gateway.api.accepts_calls)
        refusal = await self.complete()
        self.assertEqual(error_of(refusal[2])["reason"], "draining")
        _, _, body = await stream
        self.assertTrue(body.endswith(b"data: [DONE]\n\n"))
        await stopping
        returned = [
            request for request in self.control.requests if is_return_of_grants(request)
        ]
        self.assertTrue(returned)


class KeySecrecyTest(GatewayTestCase):
    """A caller's key must not reach a backend server or the log."""

    async def test_key_stays_at_the_gateway(self):
        headers = {"Cookie": f"k={SECRETS['carvers']}", "X-Api-Key": SECRETS["carvers"]}
        with capture_log() as lines:
            await self.complete(stream=True, user=SECRETS["carvers"])
            for route in ("stock", "orders"):
                path = f"/services/{route}/x?page=2"
                status, _, _ = await self.post(path, headers=headers, data=b"{}")
                self.assertEqual(status, 200)
        self.assertTrue(self.recorded())
        self.assertNotIn(SECRETS["carvers"], json.dumps(self.recorded()))
        self.assertNotIn(SECRETS["carvers"], "\n".join(lines))

    @parameterized.expand(
        [
            ("query", "/services/stock/x?key={key}", b""),
            ("path", "/services/stock/{key}", b""),
            ("escaped_query", "/services/stock/x?key=%73{tail}", b""),
            ("escaped_twice", "/services/stock/x?key=%2573{tail}", b""),
            ("base64_query", "/services/stock/x?auth=Basic%20{base64}", b""),
            ("base64_body", "/services/orders/x", b"auth=Basic {base64}"),
            ("base64_prompt", COMPLETIONS, b'{{"model":"oak","prompt":"{base64}"}}'),
            ("body", "/services/stock/x", b'{{"key": "{key}"}}'),
            ("escaped_body", "/services/stock/x", b'{{"key": "\\u0073{tail}"}}'),
            ("prompt", COMPLETIONS, b'{{"model": "oak", "prompt": "{key}"}}'),
            ("escaped", COMPLETIONS, b'{{"model":"oak","prompt":"\\u0073{tail}"}}'),
            ("stop", COMPLETIONS, b'{{"model":"oak","prompt":"x","stop":["{key}"]}}'),
        ]
    )
    async def test_repeated_key_is_refused(self, _name, path, body):
        key = SECRETS["carvers"]
        credentials = base64.b64encode(f"user:{key}".encode()).decode()
        values = {"key": key, "tail": key[1:], "base64": credentials}
        with capture_log() as lines:
            status, _, response_body = await self.post(
                path.format(**values), data=body.decode().format(**values).encode()
            )
        self.assertEqual(status, 400, response_body)
        self.assertEqual(error_of(response_body)["reason"], "invalid_request")
        self.assertNotIn(key.encode(), response_body)
        self.assertNotIn(key, "\n".join(lines))
        self.assertEqual(self.recorded(), [])


class StartTest(GatewayTestCase):
    """A gateway must listen before its controller hears of it."""

    async def asyncSetUp(self):
        self.addresses_at_first_poll = []
        poll = FakeControl.poll

        def record_address(control, request):
            if not self.addresses_at_first_poll:
                self.addresses_at_first_poll.append(self.gateway.address)
            return poll(control, request)

        with mock.patch.object(FakeControl, "poll", record_address):
            await super().asyncSetUp()

    async def test_listens_before_the_first_poll(self):
        """Guards against callers who are sent to a port that refuses them."""
        self.assertEqual(self.addresses_at_first_poll, [self.gateway.address])


class LogAndDirectoryTest(GatewayTestCase):
    """Tests the log lines of a request, the directory, the model list and metrics."""

    async def test_steps_of_a_request(self):
        with capture_log() as lines:
            _, headers, _ = await self.complete(stream=True)
        request_id = headers["X-Request-Id"]
        steps = [
            line.split()[0].removeprefix("event=")
            for line in lines
            if f"request_id={request_id} " in line + " "
        ]
        expected = ["received", "admitted", "placed", "first_byte", "finished"]
        self.assertEqual(steps, expected)

    async def test_directory_needs_no_key(self):
        url = self.url("/v1/directory?organisation=carvers")
        async with self.session.get(url) as response:
            body = await response.json()
        addresses = [{"address": "127.0.0.1:9", "zone": "talsi"}]
        expected = {
            "organisation": "carvers",
            "lifetime_s": 5.0,
            "addresses": addresses,
        }
        self.assertEqual(body, expected)

    async def test_models(self):
        async with self.session.get(
            self.url("/v1/models"), headers=self.headers("clogs")
        ) as response:
            body = await response.json()
        self.assertEqual([m["id"] for m in body["data"]], ["poplar@1", "shared@1"])

    async def test_metrics(self):
        await self.complete()
        url = f"http://{self.gateway.metrics_address}/metrics"
        async with self.session.get(url) as response:
            text = await response.text()
        self.assertIn("sequoiafall_generated_tokens_total 8", text)
        self.assertIn("sequoiafall_first_byte_seconds_bucket", text)
