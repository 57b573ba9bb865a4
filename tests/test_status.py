"""Tests of status reports, explanations of admission, and metrics."""

import asyncio
import json
import unittest
from unittest import mock

from parameterized import parameterized
from returns.result import Failure, Success

from sequoiafall import status
from sequoiafall.quota_service import QuotaUsage
from sequoiafall.table import TableState, check_edits
from sequoiafall.transport import Delivery, WireError
from sequoiafall.wire.gen.ttypes import Change, Member, StatusReply

from .fleet_case import FleetTestCase

LABELLED_METRICS = (
    'sequoiafall_backend_servers{state="in_service"} 3',
    'sequoiafall_places{pool="base"} 32',
    'sequoiafall_loads_waiting{pool="base"} 0',
    'sequoiafall_organisation_rate_tokens_per_second{organisation="alpha"} 50000',
)


class ReportsTest(FleetTestCase):
    """Any controller reports on the whole fleet, whichever instance owns a resource."""

    async def ask(self, instance, path):
        headers = {"Authorization": f"Bearer {self.fleet.operator_token}"}
        url = f"http://{instance.operator_address}{path}"
        async with self.fleet.session.get(url, headers=headers) as response:
            self.assertEqual(response.status, 200)
            return await response.json()

    async def explain(self, key_name, model, tokens=1):
        path = f"/explain?key_name={key_name}&model={model}&tokens={tokens}"
        return await self.ask(self.fleet.instances_by_name["i0"], path)

    async def settled_status(self, instance):
        """Return the status once it covers every pool, organisation and gateway."""
        while True:
            status = await self.ask(instance, "/status")
            pools, rows = status["pools"], status["organisations"]
            if (
                all(p.get("servers_usable") for p in pools.values())
                and all("level_tokens" in row for row in rows.values())
                and len(status["gateways"]) == len(status["instances"])
            ):
                return status
            await asyncio.sleep(0.1)

    async def test_status_of_every_instance_covers_the_fleet(self):
        """Guards against reports that lack the resources of other instances."""
        result = await self.caller("alpha").complete("alpha-0@1", "x")
        self.assertTrue(result.finished)
        for instance in self.fleet.instances_by_name.values():
            status = await self.within_deadline(self.settled_status(instance))
            self.assertEqual(status["unanswered"], [])
            states = {"in_service": 3, "cleaning": 0}
            self.assertEqual(status["backend_servers_by_state"], states)
            self.assertEqual(status["pools"]["base"]["adapters_resident"], 1)
            self.assertEqual(status["pools"]["base"]["loads_waiting"], 0)
            alpha = status["organisations"]["alpha"]
            self.assertEqual(alpha["rate"], self.limits["rate"])
            self.assertIn("demand_tokens_per_s", alpha)
            heads = {i["head_revision"] for i in status["instances"]}
            self.assertEqual(heads, {status["head_revision"]})
            for item in status["instances"]:
                self.assertGreaterEqual(item["head_age_ms"], 0)

    async def test_unreachable_instance_is_listed(self):
        """Guards against an unreachable instance failing the whole report."""
        victim = self.fleet.instances_by_name["i2"]
        for process in victim.processes:
            await process.kill()
        status = await self.ask(self.fleet.instances_by_name["i0"], "/status")
        listed = {item["instance"] for item in status["instances"]}
        self.assertLessEqual(set(status["unanswered"]), {"i2"})
        self.assertLessEqual({"i0", "i1"}, listed)

    async def test_explain_admitted(self):
        await self.within_deadline(
            self.settled_status(self.fleet.instances_by_name["i0"])
        )
        before = await self.explain("alpha-1", "alpha-0@1", 100)
        self.assertEqual(before["decision"], "admitted")
        self.assertTrue(before["waits_for_load"])
        await self.caller("alpha").complete("alpha-0@1", "x")
        after = await self.explain("alpha-1", "alpha-0", 100)
        self.assertEqual(after["decision"], "admitted")
        self.assertFalse(after["waits_for_load"])
        (server,) = after["runs_on"]
        engine = self.fleet.engines_by_name[server]
        resident = (await self.get_json(engine.address, "/state"))["resident"]
        self.assertIn({"adapter": "alpha-0", "version": "1"}, resident)

    async def test_explain_refused(self):
        """The explanation gives the same reason as the gateway would."""
        await self.within_deadline(
            self.settled_status(self.fleet.instances_by_name["i0"])
        )
        await self.fleet.edit(("key", "beta-1", {"state": "withdrawn"}))
        too_large = self.limits["burst"] + 1
        for key_name, model, tokens, reason in (
            ("nobody-1", "alpha-0", 1, "invalid_key"),
            ("beta-1", "beta-0", 1, "withdrawn_key"),
            ("alpha-1", "beta-0", 1, "not_permitted"),
            ("alpha-1", "alpha-9", 1, "unknown_adapter"),
            ("alpha-1", "alpha-0@9", 1, "unknown_adapter"),
            ("alpha-1", "alpha-0", too_large, "invalid_request"),
        ):
            report = await self.explain(key_name, model, tokens)
            found = (report["decision"], report["reason"], report["ran"])
            self.assertEqual(found, ("refused", reason, "not run"))
            self.assertTrue(report["detail"])
        for name in self.fleet.engines_by_name:
            await self.fleet.edit(("backend_server", name, {"state": "cleaning"}))
        report = await self.explain("alpha-1", "alpha-0")
        self.assertEqual(report["reason"], "no_backend_server")

    async def test_metrics_of_owned_resources(self):
        """The owner of each pool and organisation exports its metrics, for alerts."""
        await self.within_deadline(
            self.settled_status(self.fleet.instances_by_name["i0"])
        )
        pages = []
        for instance in self.fleet.instances_by_name.values():
            url = f"http://{instance.operator_address}/metrics"
            async with self.fleet.session.get(url) as response:
                pages.append(await response.text())
        text = "\n".join(pages)
        for line in LABELLED_METRICS:
            self.assertIn(line, text)


ROWS = (
    ("organisation", "carvers", {"rate": 20, "burst": 200}),
    ("key", "carvers-1", {"organisation": "carvers", "digest": "0" * 64}),
    ("adapter", "oak", {"organisation": "carvers"}),
    ("adapter_version", "oak@1", {"adapter": "oak", "version": "1"}),
    (
        "backend_server",
        "e0",
        {"address": "127.0.0.1:9", "pool": "base", "zone": "talsi"},
    ),
)
UNANSWERED = Failure(WireError(Delivery.UNKNOWN, "connection lost"))


def pool_status(ready=True, may_act=True, adapter="", retry_after_s=0.0):
    """Return the status of a pool with one server, as reported by its owner."""
    server = {
        "name": "e0",
        "takes_places": True,
        "drain": "",
        "places": 4,
        "places_in_use": 0,
        "slots": {"oak@1": adapter} if adapter else {},
    }
    retries = {"oak@1": retry_after_s} if retry_after_s else {}
    return {
        "ready": ready,
        "may_act": may_act,
        "load_retry_after_s": retries,
        "servers": [server],
    }


class ExplainTest(unittest.IsolatedAsyncioTestCase):
    """The explanation gives the gateway's reason and when to retry."""

    def controller(self, usage, pool, reply=None):
        """Return a controller that owns all resources, or that asks another owner."""
        table = TableState()
        checked = check_edits(table, ROWS).unwrap()
        self.assertTrue(table.apply(Change(1, "op1", "test", 0, checked)))
        own, other = (
            Member(name, 1, "talsi", f"127.0.0.1:{port}", [])
            for name, port in (("i0", 1), ("i1", 2))
        )
        controller = mock.MagicMock(member=own)
        coordinator = controller.coordinator
        coordinator.follower.state = table
        coordinator.gateway_head.return_value.view.members = [other if reply else own]
        usages = {"carvers": QuotaUsage(*usage, 0)} if usage else {}
        controller.quotas.usages.return_value = usages
        controller.pools.statuses.return_value = {"base": pool} if pool else {}
        controller.peers.call = mock.AsyncMock(return_value=reply)
        return controller

    @parameterized.expand(
        [
            ("enough", (30, 70), pool_status(), "admitted", None),
            ("empty", (0, 0), pool_status(), "rate_exceeded", 5.0),
            ("too_little", (30, 10), pool_status(), "rate_exceeded", 3.0),
            ("no_bucket", None, pool_status(), "owner_unavailable", 1.0),
            ("no_pool", (100, 0), None, "owner_unavailable", 1.0),
            ("not_ready", (100, 0), pool_status(ready=False), "owner_unavailable", 1.0),
            ("lost", (100, 0), pool_status(may_act=False), "owner_unavailable", 1.0),
            (
                *("fails", (100, 0), pool_status(retry_after_s=2.5)),
                *("adapter_load_failed", 2.5),
            ),
            (
                *("reloads", (100, 0)),
                *(pool_status(adapter="loading", retry_after_s=2.5),),
                *("adapter_load_failed", 2.5),
            ),
            (
                *("resident", (100, 0)),
                *(pool_status(adapter="resident", retry_after_s=2.5),),
                *("admitted", None),
            ),
            ("rate_first", (0, 0), None, "rate_exceeded", 5.0),
        ]
    )
    async def test_reason(self, _name, usage, pool, expected, retry_after_s):
        controller = self.controller(usage, pool)
        report = await status.explain(controller, "carvers-1", "oak", 100)
        self.assertEqual(report.get("reason", report["decision"]), expected)
        self.assertEqual(report.get("retry_after_s"), retry_after_s)
        if expected != "admitted":
            self.assertEqual(
                (report["decision"], report["ran"]), ("refused", "not run")
            )
            self.assertTrue(report["detail"])

    @parameterized.expand(
        [
            ("unanswered", UNANSWERED, "owner_unavailable"),
            ("malformed", Success(StatusReply("{")), "owner_unavailable"),
            ("not_acting", {}, "owner_unavailable"),
            ("empty", {"carvers": (0, 0)}, "rate_exceeded"),
            ("enough", {"carvers": (100, 0)}, "admitted"),
        ]
    )
    async def test_other_owner(self, _name, reply, expected):
        """The state of another instance's resources comes only from its reply."""
        if isinstance(reply, dict):
            names = ("level_tokens", "outstanding_tokens")
            quotas = {
                name: dict(zip(names, usage, strict=True))
                for name, usage in reply.items()
            }
            body = {"quotas": quotas, "pools": {"base": pool_status()}}
            reply = Success(StatusReply(json.dumps(body)))
        controller = self.controller((100, 0), pool_status(), reply)
        report = await status.explain(controller, "carvers-1", "oak", 100)
        self.assertEqual(report.get("reason", report["decision"]), expected)
        self.assertEqual(report["quota_owner"], "i1")
