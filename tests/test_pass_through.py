"""Tests of calls to plain services through the gateway."""

import asyncio
import json

import aiohttp
from parameterized import parameterized

from sequoiafall.ledger_store import LedgerStore

from .gateway_case import GatewayTestCase, error_of

ORDERS = "/services/orders/buy?item=oak"
KEYED = {"Idempotency-Key": "order-1"}


class LedgerCallTest(GatewayTestCase):
    """A call with an idempotency key runs at most once, and "not run" is true."""

    async def order(self, path=ORDERS, body=b"10 planks", **options):
        """Place an order with the same idempotency key each time."""
        return await self.post(path, headers=KEYED, data=body, **options)

    def handled(self):
        """Return the number of calls that the service has carried out."""
        return sum(self.service.handled_by_body.values())

    async def test_repeated_order_is_replayed(self):
        first = await self.order()
        second = await self.order()
        self.assertEqual((first[0], second[0]), (200, 200))
        self.assertEqual(first[2], second[2])
        self.assertEqual(second[1]["Idempotent-Replayed"], "true")
        self.assertNotEqual(first[1]["X-Request-Id"], second[1]["X-Request-Id"])
        self.assertEqual(self.handled(), 1)

    async def test_concurrent_orders_run_once(self):
        await self.set_faults(self.service, slow_s=0.1)
        responses = await asyncio.gather(*(self.order() for _ in range(5)))
        self.assertEqual(self.handled(), 1)
        refused = [error_of(body) for status, _, body in responses if status != 200]
        self.assertEqual(len(refused), 4)
        for error in refused:
            self.assertEqual(
                (error["reason"], error["ran"]), ("in_progress", "unknown")
            )

    @parameterized.expand([("before", 0), ("during", 1), ("after", 1)])
    async def test_broken_call_is_never_sent_again(self, close, handled):
        await self.set_faults(self.service, close=close, close_times=1)
        for _ in range(2):
            status, _, body = await self.order()
            self.assertEqual(status, 502)
            error = error_of(body)
            self.assertEqual(error["reason"], "outcome_unknown")
            self.assertEqual(error["ran"], "unknown")
        self.assertEqual(self.handled(), handled)
        self.assertEqual(len(self.service.recorded), 1)

    async def test_platform_outage_refuses_not_run(self):
        self.platform.available = False
        status, _, body = await self.order()
        error = error_of(body)
        self.assertEqual(status, 503)
        self.assertEqual(error["reason"], "platform_unavailable")
        self.assertEqual(error["ran"], "not run")
        self.assertEqual(len(self.service.recorded), 0)

    async def test_lost_reply_to_the_intent(self):
        self.platform.lose_replies = 1
        status, _, _ = await self.order()
        self.assertEqual((status, self.handled()), (200, 1))

    async def test_answer_is_given_although_it_cannot_be_stored(self):
        await self.set_faults(self.service, slow_s=0.1)
        order = asyncio.create_task(self.order())
        await self.wait_until(lambda: len(self.service.recorded) == 1)
        self.platform.available = False
        status, _, _ = await order
        self.assertEqual(status, 200)
        self.platform.available = True
        await self.wait_until(lambda: self.states() == ["finished"])
        status, _, _ = await self.order()
        self.assertEqual((status, self.handled()), (200, 1))

    def states(self):
        """Return the states of the ledger's rows."""
        return [value["state"] for _, value in self.platform.rows.values()]

    async def test_other_body_under_the_same_key(self):
        await self.order()
        status, _, body = await self.order(body=b"20 planks")
        error = error_of(body)
        self.assertEqual((status, error["reason"]), (422, "idempotency_mismatch"))
        self.assertEqual(self.handled(), 1)

    async def test_service_cannot_be_reached(self):
        address = self.service.address
        await self.service.stop()
        status, _, body = await self.order()
        self.assertEqual((status, error_of(body)["ran"]), (503, "not run"))
        await self.wait_until(lambda: self.states() == ["not_run"])
        again = type(self.service)(address, "s1")
        await self.run_service(again)
        status, _, _ = await self.order()
        self.assertEqual((status, sum(again.handled_by_body.values())), (200, 1))

    async def test_caller_that_leaves_does_not_stop_the_call(self):
        await self.set_faults(self.service, slow_s=0.2)
        order = asyncio.create_task(self.order())
        await self.wait_until(lambda: len(self.service.recorded) == 1)
        order.cancel()
        await self.wait_until(lambda: self.states() == ["finished"])
        status, _, _ = await self.order()
        self.assertEqual((status, self.handled()), (200, 1))

    async def test_key_withdrawn_before_the_send(self):
        def withdraw(_request):
            self.control.commit(("key", "carvers-key", {"state": "withdrawn"}))
            self.adopt_newest_head()

        self.control.on_place = withdraw
        status, _, body = await self.order()
        error = error_of(body)
        self.assertEqual((status, error["reason"]), (401, "withdrawn_key"))
        self.assertEqual(error["ran"], "not run")
        await self.wait_until(lambda: self.states() == ["not_run"])
        self.assertEqual(len(self.service.recorded), 0)

    async def test_stored_answers_are_kept_per_organisation(self):
        path = "/services/guestbook/sign"
        _, _, first = await self.order(path)
        _, headers, second = await self.order(path, organisation="clogs")
        self.assertNotIn("Idempotent-Replayed", headers)
        self.assertNotEqual(first, second)
        self.assertEqual(self.handled(), 2)
        self.assertCountEqual(
            self.platform.rows,
            ["ledger/carvers/order-1", "ledger/clogs/order-1"],
        )

    async def test_large_answer_goes_to_the_object_store(self):
        store = LedgerStore(self.platform, self.gateway.retries._generator)
        call = type("Call", (), {"organisation": "carvers", "operation_id": "op"})
        large = await store.put_response(call, 200, "text/plain", b"x" * 300_000)
        small = await store.put_response(call, 200, "text/plain", b"x")
        self.assertEqual((large.body, small.object_key), (b"", ""))
        self.assertEqual(await store.get_body(large), b"x" * 300_000)
        self.platform.objects.clear()
        self.assertIsNone(await store.get_body(large))


class SingleAttemptTest(GatewayTestCase):
    """Without an idempotency key a non-repeatable call is sent at most once."""

    @parameterized.expand(
        [
            (f"{method}_{close}", method, close)
            for method in ("GET", "PUT", "DELETE", "POST")
            for close in ("before", "after")
        ]
    )
    async def test_one_attempt(self, _name, method, close):
        await self.set_faults(self.service, close=close, close_times=1)
        async with self.session.request(
            method, self.url(ORDERS), headers=self.headers()
        ) as response:
            body = await response.read()
        error = error_of(body)
        self.assertEqual(
            (error["reason"], error["ran"]), ("outcome_unknown", "unknown")
        )
        self.assertEqual(len(self.service.recorded), 1)


class ForwardTest(GatewayTestCase):
    """Calls are forwarded unchanged, and only to services that may receive them."""

    async def test_repeatable_call_is_retried(self):
        await self.set_faults(self.service, close="before", close_times=1)
        status, _, body = await self.post("/services/stock/a%2Fb?q=1%202", data=b"x")
        self.assertEqual(status, 200)
        self.assertEqual(json.loads(body)["bytes"], 1)
        self.assertEqual(len(self.service.recorded), 2)
        self.assertEqual(self.service.recorded[1]["path"], "/a/b")
        self.assertEqual(self.service.recorded[1]["query"], {"q": "1 2"})

    async def test_cut_answer_is_not_taken_for_whole(self):
        await self.set_faults(self.service, close="during")
        with self.assertRaises(aiohttp.ClientPayloadError):
            await self.post("/services/stock/x", data=b"x")

    @parameterized.expand(
        [
            ("other_organisation", "/services/orders/x", "clogs", 403),
            ("unknown_route", "/services/none/x", "clogs", 404),
            ("bad_idempotency_key", "/services/orders/x", "carvers", 400),
        ]
    )
    async def test_refused(self, name, path, organisation, status):
        headers = {"Idempotency-Key": "a/b"} if name == "bad_idempotency_key" else None
        response = await self.post(path, organisation, headers=headers, data=b"")
        self.assertEqual(response[0], status)
        self.assertEqual(error_of(response[2])["ran"], "not run")
        self.assertEqual(len(self.service.recorded), 0)

    @parameterized.expand(
        [
            ("open", "public", {}, 200),
            ("closed", "stock", {}, 401),
            ("keyed", "guestbook", KEYED, 400),
        ]
    )
    async def test_without_a_key(self, _name, route, headers, status):
        async with self.session.post(
            self.url(f"/services/{route}/x"), headers=headers, data=b"x"
        ) as response:
            self.assertEqual(response.status, status)
        self.assertEqual(len(self.service.recorded), int(status == 200))
