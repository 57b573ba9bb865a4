"""A fleet of processes with a platform that responds late and loses replies."""

import asyncio
import hashlib
import json
import re
import sys
import uuid

from parameterized import parameterized

from bench.fleet import ROOT, Instance, wait_until

from .fleet_case import FleetTestCase, Traffic

ALL_REPLIES = 1_000_000
ANSWERS_WHILE_SLOW = 80
LONG_TOKENS = 3000
EXIT_UNREACHABLE = 4


class SlowPlatformCase(FleetTestCase):
    """Delays the platform for all instances, but not for the test itself."""

    async def asyncSetUp(self):
        await super().asyncSetUp()

        async def closed() -> bool:
            address = self.fleet.platform.address
            head = (await self.get_json(address, "/table/row?key=head"))["value"]
            return not head["pending_views"]

        # The commit that removes pending views would conflict with delayed edits.
        await wait_until(closed, "the earlier views to be closed")

    @property
    def instances(self) -> list[Instance]:
        """All instances."""
        return list(self.fleet.instances_by_name.values())

    async def delay_platform(self, **faults):
        """Set faults for the requests of all controllers and gateways."""
        clients = [
            name
            for instance in self.instances
            for name in (
                instance.name,
                f"{instance.name}-{instance.gateway.address.rpartition(':')[2]}",
            )
        ]
        await self.fleet.set_faults(self.fleet.platform, clients=clients, **faults)

    async def reset_faults(self):
        """Remove all faults of the platform."""
        await self.fleet.set_faults(self.fleet.platform, reset=True)

    async def call(self, instance: Instance, method: str, path: str, **options):
        """Call the operator API of one instance."""
        headers = {"Authorization": f"Bearer {self.fleet.operator_token}"}
        async with self.fleet.session.request(
            method,
            f"http://{instance.operator_address}{path}",
            headers=headers,
            **options,
        ) as response:
            return response.status, await response.json()

    async def post_edit(self, instance: Instance, edit, operation_id: str = ""):
        """Submit one edit to one instance."""
        kind, name, values = edit
        _, table = await self.call(instance, "GET", f"/table/{kind}")
        body = {
            "seen_revision": table["revision"],
            "actor": "test",
            "operation_id": operation_id or uuid.uuid4().hex,
            "edits": [{"kind": kind, "name": name, "values": values}],
        }
        return await self.call(instance, "POST", "/table/edits", json=body)

    async def edit_until_accepted(self, instance: Instance, edit):
        """Retry an edit with the same operation identifier until it is accepted."""
        operation_id = uuid.uuid4().hex

        async def accepted() -> bool:
            status, body = await self.post_edit(instance, edit, operation_id)
            if status != 200:
                self.assertIn(status, (502, 503), body)
                self.assertIn(body["ran"], ("not run", "unknown"))
            return status == 200

        await wait_until(accepted, f"{edit} to be accepted")

    async def read_weight(self, instance: Instance) -> tuple[int, float]:
        """Return the revision of an instance and the weight of alpha in it."""
        _, table = await self.call(instance, "GET", "/table/organisation")
        row = next(r for r in table["rows"] if r["values"]["name"] == "alpha")
        return table["revision"], row["values"]["weight"]

    async def all_have_weight(self, weight: float) -> bool:
        """Return whether all instances have this weight for alpha."""
        weights = [(await self.read_weight(instance))[1] for instance in self.instances]
        return weights == [weight] * len(weights)


class LateRepliesTest(SlowPlatformCase):
    """Edits must have accurate results, and requests be served, with late replies."""

    async def test_every_request_late_and_replies_lost(self):
        """No reply arrives in time: requests are served, edits report "not run"."""
        await self.fleet.edit(("organisation", "alpha", {"weight": 3}))
        await self.delay_platform(delay_s=2.5, lost_replies=ALL_REPLIES)
        traffic = Traffic(self)

        async def answered() -> bool:
            return sum(a.done() for a in traffic.answers) >= ANSWERS_WHILE_SLOW

        edits = [
            self.post_edit(instance, ("organisation", "alpha", {"weight": 9}))
            for instance in self.instances
        ]
        refusals = await self.within_deadline(asyncio.gather(*edits))
        await wait_until(answered, "answers while the platform is slow")
        results = await self.within_deadline(traffic.finish())
        self.assert_complete(results)
        self.assertEqual([r for a, _ in results for r in a.refusals], [])
        self.assertEqual({body["ran"] for _, body in refusals}, {"not run"})
        await self.reset_faults()
        await self.edit_until_accepted(
            self.instances[0], ("organisation", "beta", {"weight": 2})
        )
        self.assertTrue(await self.all_have_weight(3.0))

    async def test_accepted_edits_never_revert(self):
        """Each transaction takes effect late and its reply is lost."""
        await self.delay_platform(
            delay_s=0.3, transaction_delay_s=1.5, lost_replies=ALL_REPLIES
        )
        traffic = Traffic(self)
        weights_by_instance: dict[str, list[tuple[int, float]]] = {
            i.name: [] for i in self.instances
        }

        async def watch():
            while True:
                for instance in self.instances:
                    weights_by_instance[instance.name].append(
                        await self.read_weight(instance)
                    )
                await asyncio.sleep(0.05)

        watcher = asyncio.ensure_future(watch())
        self.addCleanup(watcher.cancel)
        weights = [2.0, 3.0, 4.0]
        for number, weight in enumerate(weights):
            instance = self.instances[number % len(self.instances)]
            edit = ("organisation", "alpha", {"weight": weight})
            await self.within_deadline(self.edit_until_accepted(instance, edit))
            await wait_until(
                lambda w=weight: self.all_have_weight(w), f"weight {weight}"
            )
        watcher.cancel()
        self.assert_complete(await self.within_deadline(traffic.finish()))
        for name, readings in weights_by_instance.items():
            # Weights only increase, so a decrease is a reverted edit.
            self.assertEqual(readings, sorted(readings), name)
        self.assertTrue(await self.all_have_weight(weights[-1]))

    async def test_withdrawn_key_stops_everywhere(self):
        """The withdrawal takes effect late and its reply is lost."""
        secret = "second-secret-0123456789"
        await self.fleet.edit(self.key_edit("alpha-2", "alpha", secret))
        senders = [self.caller("alpha") for _ in self.instances]
        streams = []
        for sender, instance in zip(senders, self.instances, strict=True):
            sender.key = secret
            streams.append(
                asyncio.ensure_future(
                    sender.complete(
                        "alpha-0@1", "long", LONG_TOKENS, 1, instance.gateway.address
                    )
                )
            )

        async def running() -> bool:
            states = [
                await self.get_json(engine.address, "/state")
                for engine in self.fleet.engines_by_name.values()
            ]
            return sum(len(s["running"]) for s in states) == len(streams)

        await wait_until(running, "the streams to run")
        await self.delay_platform(
            delay_s=0.3, transaction_delay_s=1.5, lost_replies=ALL_REPLIES
        )
        withdrawal = ("key", "alpha-2", {"state": "withdrawn"})
        await self.within_deadline(
            self.edit_until_accepted(self.instances[0], withdrawal)
        )
        for aborted in await self.within_deadline(asyncio.gather(*streams)):
            self.assertFalse(aborted.finished)
        for sender, instance in zip(senders, self.instances, strict=True):
            after = await sender.complete(
                "alpha-0@1", "x", attempts=1, address=instance.gateway.address
            )
            self.assertEqual(after.reason, "withdrawn_key")


class SlowLedgerTest(SlowPlatformCase):
    """A call whose ledger row is written late runs once or is rejected as not run."""

    engine_count = 1
    orders = 9

    async def _call_service(self, number: int, instance: Instance):
        return await self.caller("alpha").call_service(
            "orders",
            f"order {number}".encode(),
            f"order-{number}",
            instance.gateway.address,
        )

    async def _counts(self) -> list[int]:
        service = self.fleet.plain_services_by_name["plain-0"]
        by_body = (await self.get_json(service.address, "/handled"))["by_body"]
        digests = [
            hashlib.sha256(f"order {number}".encode()).hexdigest()
            for number in range(self.orders)
        ]
        return [by_body.get(digest, 0) for digest in digests]

    async def _all_claimed(self) -> bool:
        path = "/table/scan?prefix=ledger/"
        rows = (await self.get_json(self.fleet.platform.address, path))["rows"]
        return len(rows) == self.orders

    @parameterized.expand(
        [
            ("claim_read_back", {"transaction_delay_s": 1.5}),
            ("claim_after_the_refusal", {"transaction_delay_s": 5.0}),
            ("every_request", {"delay_s": 2.5}),
        ]
    )
    async def test_at_most_once(self, name, faults):
        await self.delay_platform(lost_replies=ALL_REPLIES, **faults)
        calls = [
            self._call_service(number, self.instances[number % 3])
            for number in range(self.orders)
        ]
        results = await self.within_deadline(asyncio.gather(*calls))
        for result, count in zip(results, await self._counts(), strict=True):
            if result.status == 200:
                self.assertEqual(count, 1)
            else:
                self.assertEqual(
                    (result.reason, result.run_status, count),
                    ("platform_unavailable", "not run", 0),
                )
        ran = {result.status == 200 for result in results}
        self.assertEqual(ran, {name == "claim_read_back"})
        if name == "claim_after_the_refusal":
            # The intents of the rejected calls must exist before the calls are retried.
            await wait_until(self._all_claimed, "the late claims")
        await self.reset_faults()

        async def all_answered() -> bool:
            again = await asyncio.gather(
                *(
                    self._call_service(n, self.instances[(n + 1) % 3])
                    for n in range(self.orders)
                )
            )
            self.assertLessEqual(max(await self._counts()), 1)
            return all(result.status == 200 for result in again)

        await wait_until(all_answered, "every order to be answered")
        self.assertEqual(await self._counts(), [1] * self.orders)


class OperatorCommandTest(SlowPlatformCase):
    """A command must not report "not committed" for an edit that takes effect."""

    engine_count = 0

    async def _run(self, *arguments: str):
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "sequoiafall.operator_client",
            "--url",
            f"http://{self.instances[0].operator_address}",
            "--token-file",
            str(self.fleet.directory / "operator-token"),
            *arguments,
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        output, errors = await self.within_deadline(process.communicate())
        return process.returncode, output.decode(), errors.decode()

    async def test_late_effect_is_reported_as_unknown(self):
        edit = ("table", "edit", "organisation", "alpha", "weight=6")
        # Longer than both attempts of the command, which take 4 s each.
        await self.delay_platform(transaction_delay_s=15.0)
        status, _, errors = await self._run(*edit)
        self.assertEqual(status, EXIT_UNREACHABLE, errors)
        self.assertIn("outcome unknown", errors)
        found = re.search(r"--operation-id (\S+) and --seen-revision (\d+)", errors)
        self.assertIsNotNone(found, errors)
        operation_id, seen_revision = found.groups()
        await wait_until(lambda: self.all_have_weight(6.0), "the late effect")
        await self.reset_faults()
        status, output, errors = await self._run(
            "--json",
            "--operation-id",
            operation_id,
            *edit,
            "--seen-revision",
            seen_revision,
        )
        self.assertEqual(status, 0, errors)
        self.assertEqual(json.loads(output)["revision"], int(seen_revision) + 1)
