"""Non-idempotent calls through a fleet of processes under failures."""

import asyncio
from collections.abc import Sequence

from parameterized import parameterized

from bench.caller import CallResult
from bench.fleet import wait_until

from .fleet_case import FleetTestCase


class NonIdempotentCallTest(FleetTestCase):
    """A non-idempotent call must run at most once, and "not run" must be accurate."""

    engine_count = 1

    @property
    def service(self):
        """Simulated service that handles the calls."""
        return self.fleet.plain_services_by_name["plain-0"]

    async def _call(self, instance: str, key: str = "order-1", body: bytes = b"x"):
        address = self.fleet.instances_by_name[instance].gateway.address
        return await self.within_deadline(
            self.caller("alpha").call_service("orders", body, key, address)
        )

    async def test_same_key_at_two_instances_at_once(self):
        await self.fleet.set_faults(self.service, slow_s=0.5)
        results = await asyncio.gather(*(self._call(f"i{n % 3}") for n in range(6)))
        self.assertEqual(await self.handled_count(), 1)
        self.assertIn(200, [result.status for result in results])
        for result in results:
            if result.status != 200:
                self.assertIn(result.reason, ("in_progress", "outcome_unknown"))
        replayed = await self._call("i2")
        self.assertEqual(replayed.status, 200)
        self.assertEqual(await self.handled_count(), 1)

    @parameterized.expand(
        [("before", 0), ("during", 1), ("after", 1)],
    )
    async def test_connection_closed(self, close, handled):
        await self.fleet.set_faults(self.service, close=close, close_times=1)
        first = await self._call("i0")
        self.assertNotEqual((first.status, first.finished), (200, True))
        self.assertEqual(first.run_status, "unknown")
        again = await self._call("i1")
        self.assertEqual(again.run_status, "unknown")
        self.assertEqual(await self.handled_count(), handled)

    @parameterized.expand([("keyed", "order-9"), ("without_key", "")])
    async def test_platform_out(self, _name, key):
        await self.fleet.set_faults(self.fleet.platform, outage=True)
        result = await self._call("i0", key)
        if not key:
            self.assertEqual(result.status, 200)
            return
        self.assertEqual(result.reason, "platform_unavailable")
        self.assertEqual(result.run_status, "not run")
        self.assertEqual(await self.handled_count(), 0)
        await self.fleet.set_faults(self.fleet.platform, outage=False)

        async def accepted() -> bool:
            return (await self._call("i1", key)).status == 200

        await wait_until(accepted, "the platform to be back")
        self.assertEqual(await self.handled_count(), 1)

    async def test_table_reply_lost_after_the_effect(self):
        await self.fleet.set_faults(self.fleet.platform, lost_replies=1)
        first = await self._call("i0")
        again = await self._call("i1")
        handled = await self.handled_count()
        self.assertLessEqual(handled, 1)
        for result in (first, again):
            if result.run_status == "not run":
                self.assertEqual(handled, 0)

    async def _block(self, step: str, instances: Sequence[str] = ("i0", "i1")) -> None:
        """Block calls through some instances at a step until `_unblock`."""
        addresses = [self.fleet.instances_by_name[n].gateway.address for n in instances]
        faults = {
            "clients": [
                f"{name}-{address.rpartition(':')[2]}"
                for name, address in zip(instances, addresses, strict=True)
            ],
            "held_commits": [],
            "held_replies": [],
        }
        if step.startswith("held"):
            fault, _, state = step.partition(":")
            faults[fault] = [state]
        await self.fleet.set_faults(self.fleet.platform, **faults)
        hold = step if step in ("call", "answer") else ""
        await self.fleet.set_faults(self.service, hold=hold)

    async def _platform_blocks(self, count: int) -> bool:
        held = await self.get_json(self.fleet.platform.address, "/held")
        return held["held"] == count

    async def _received_ids(self) -> list[str]:
        recorded = await self.get_json(self.service.address, "/recorded")
        return [
            value
            for item in recorded["recorded"]
            for name, value in item["headers"]
            if item["path"] == "/orders" and name.lower() == "x-request-id"
        ]

    async def _wait_until_blocked(self, step: str) -> None:
        async def reached() -> bool:
            if step.startswith("held"):
                return not await self._platform_blocks(0)
            if step == "answer" and await self.handled_count() == 0:
                return False
            return bool(await self._received_ids())

        await wait_until(reached, f"a call to be blocked at {step}")

    async def _unblock(self) -> None:
        await self._block("")

        async def released() -> bool:
            received = len(await self._received_ids())
            return (
                await self._platform_blocks(0)
                and await self.handled_count() == received
            )

        await wait_until(released, "the blocked requests to take effect")

    async def _expire_intent(self) -> None:
        """Set the intent's expiry to the past, so that it is no longer in progress."""
        address = self.fleet.platform.address
        row = await self.get_json(address, "/table/row?key=ledger/alpha/order-1")
        self.assertEqual(row["value"]["state"], "intent")
        transaction = {
            "operation_id": "expire",
            "conditions": [{"key": row["key"], "version": row["version"]}],
            "writes": [
                {"key": row["key"], "value": {**row["value"], "expires_at_ms": 0}}
            ],
        }
        async with self.fleet.session.post(
            f"http://{address}/table/transaction", json=transaction
        ) as response:
            self.assertEqual(response.status, 200)

    async def _assert_at_most_once(self, results: list[CallResult]) -> None:
        handled = await self.get_json(self.service.address, "/handled")
        self.assertLessEqual(sum(handled["by_idempotency_key"].values()), 1)
        ran_ids = [name.partition(".")[0] for name in handled["by_request_id"]]
        for result in results:
            if result.status == 200:
                self.assertEqual(sum(handled["by_idempotency_key"].values()), 1)
            if result.run_status == "not run":
                self.assertNotIn(result.request_id, ran_ids)

    @parameterized.expand(
        [
            # Name, step, whether the blocked request ends before the first retry,
            # reasons of the first and of later retries, executions.
            ("intent_late", "held_commits:intent", False, "", "", 1),
            ("intent_left", "held_commits:intent", True, "in_progress", None, 0),
            ("before_send", "held_replies:intent", False, "in_progress", None, 0),
            ("running", "call", False, "in_progress", None, 1),
            ("answered", "answer", False, "in_progress", None, 1),
            ("result_late", "held_commits:finished", False, "in_progress", "", 1),
            ("result_stored", "held_commits:finished", True, "", "", 1),
            ("before_answer", "held_replies:finished", False, "", "", 1),
        ]
    )
    async def test_gateway_killed(self, _name, step, ends_first, first, later, count):
        """A retry through another instance must not execute the call again.

        An empty reason denotes the service's response, None the reason
        ``in_progress`` and, after the intent expired, ``outcome_unknown``.
        """
        await self._block(step, ["i0"])
        call = asyncio.ensure_future(self._call("i0"))
        await self._wait_until_blocked(step)
        await self.fleet.instances_by_name["i0"].gateway.kill()
        lost = await call
        if ends_first:
            await self._unblock()
        results = [await self._call("i1")]
        await self._unblock()
        results += [await self._call("i2"), await self._call("i1")]
        later = "in_progress" if later is None else later
        reasons = [result.reason for result in results]
        self.assertEqual(reasons, [first, later, later])
        for result in results:
            expected = (200, "") if not result.reason else (409, "unknown")
            self.assertEqual((result.status, result.run_status), expected)
        if later:
            await self._expire_intent()
            results.append(await self._call("i2"))
            reason, ran = results[-1].reason, results[-1].run_status
            self.assertEqual((reason, ran), ("outcome_unknown", "unknown"))
        self.assertEqual(await self.handled_count(), count)
        await self._assert_at_most_once([lost, *results])

    @parameterized.expand(
        [
            ("both_claim", "held_commits:intent", True),
            ("sender_runs", "call", True),
            ("other_while_sender_runs", "call", False),
        ]
    )
    async def test_one_of_two_instances_killed(self, _name, step, kills_sender):
        """The surviving instance must not execute the call again."""
        await self._block(step)
        calls = [asyncio.ensure_future(self._call(name)) for name in ("i0", "i1")]
        await self._wait_until_blocked(step)
        sender = "i0"
        if step == "call":
            sender = (await self._received_ids())[0].partition("-")[0]
        left = "i1" if (sender == "i0") == kills_sender else "i0"
        killed = "i0" if left == "i1" else "i1"
        await self.fleet.instances_by_name[killed].gateway.kill()
        calls.append(asyncio.ensure_future(self._call("i2")))
        await self._unblock()
        results = [*await asyncio.gather(*calls), await self._call(left)]
        if step == "call":
            self.assertEqual(await self.handled_count(), 1)
        await self._assert_at_most_once(results)

    async def test_other_body_or_organisation_under_the_same_key(self):
        first = await self._call("i0")
        self.assertEqual(first.status, 200)
        other = await self._call("i1", body=b"other")
        self.assertEqual(other.reason, "idempotency_mismatch")
        sender = self.caller("beta")
        address = self.fleet.instances_by_name["i0"].gateway.address
        foreign = await sender.call_service("orders", b"x", "order-1", address)
        self.assertEqual(foreign.reason, "not_permitted")
        self.assertEqual(await self.handled_count(), 1)
