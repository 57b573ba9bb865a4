"""Tests of a platform outage of hours with all instances replaced, in virtual time."""

import math
import unittest

from parameterized import parameterized

from sequoiafall.ownership import organisation_resource, owner_of
from sequoiafall.quota import GRANT_TTL_S, MAX_ADMISSION_WAIT_S
from sequoiafall.quota_holder import QuotaHolder
from sequoiafall.quota_service import QuotaService
from sequoiafall.wire.gen.ttypes import Edit

from .coordinator_cluster import NAMES, RESOURCES, Cluster

HOURS = 2
RATE, BURST = 10.0, 100.0
ORGANISATIONS = ["a", "moving-9"]
# A heartbeat interval of 0.25 s would make the test run for minutes; heartbeats are
# valid for 2 s, so 0.9 s suffices.
ROUND_S = 0.9
REPLACEMENT_ROUNDS = 40


class QuotaCluster(Cluster):
    """Instances with a controller's quota service and a gateway's holders."""

    first_edits = tuple(
        Edit(
            "organisation",
            name,
            "",
            f'{{"name": "{name}", "weight": 1, "rate": {RATE}, "burst": {BURST}}}',
        )
        for name in ORGANISATIONS
    )

    def __init__(self):
        self.services = {}
        self.holders = {}
        self.admitted = dict.fromkeys(ORGANISATIONS, 0)
        self.references = {}
        self.served_at = {}
        super().__init__()

    def service(self, process):
        """Return the quota service of a process."""
        if process not in self.services:
            self.services[process] = QuotaService(
                process.coordinator, clock=lambda: self.now
            )
        return self.services[process]

    def on_tick(self, process):
        self.service(process).sync(self.now)

    def on_handover(self, process, handover, target, token):
        service = self.service(process)
        message = service.release(handover.resource, handover.fencing_token, self.now)
        self.service(target).receive(message, token)

    def request_all_tokens(self):
        """Let all gateways with fresh state request and spend all available tokens."""
        for process in self.running():
            for organisation in ORGANISATIONS:
                if process.coordinator.is_fresh(self.now):
                    self.request_tokens(process, organisation)

    def request_tokens(self, process, organisation):
        """Spend the held tokens, then request more and spend them."""
        key = (process, organisation)
        if key not in self.holders:
            self.holders[key] = QuotaHolder(process.name, organisation, RATE, BURST)
        holder = self.holders[key]
        self.admit(holder, organisation)
        head = process.coordinator.addressed_head()
        owner = owner_of(organisation_resource(organisation), head.view.members)
        addressed = (
            p
            for p in self.running()
            if p.member.controller_address == owner.controller_address
        )
        target = next(addressed, None)
        if target is None:
            return
        for tokens in (7, 3, 1):
            request = holder.next_request(tokens, self.now, head.revision)
            reply = answer(self.service(target).on_request(request, ""))
            holder.on_reply(reply, self.now)
            # The last grant is kept for the next round, when it may have expired.
            if tokens > 1:
                self.admit(holder, organisation)

    def admit(self, holder, organisation):
        """Spend all held tokens and charge them to the reference bucket."""
        held = holder.held_tokens(self.now)
        if held == 0:
            return
        holder.settle(holder.try_reserve(held, self.now), held, self.now)
        at, level = self.references.get(organisation, (self.now, BURST))
        level = min(BURST, level + RATE * (self.now - at)) - held
        assert level >= -1e-6, f"{-level} tokens above the bound at {self.now}"
        self.references[organisation] = (self.now, level)
        self.admitted[organisation] += held
        self.served_at[organisation] = self.now

    def round(self):
        """Exchange heartbeats, serve the gateways and check all invariants."""
        self.exchange_heartbeats(0.0)
        self.request_all_tokens()
        self.check()
        self.advance(ROUND_S)


def answer(coroutine):
    """Run a coroutine that never suspends, and return its result."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("the handler waits")


class LongOutageTest(unittest.TestCase):
    """Without the platform, limits still hold and requests are still served."""

    @parameterized.expand([("restart",), ("replace",)])
    def test_all_instances_are_replaced_one_after_another(self, kind):
        """A new process must not act on knowledge or grants of its predecessor."""
        cluster = QuotaCluster()
        cluster.live(40, NAMES[:3])
        cluster.set_platform(False)
        started_at, before = cluster.now, dict(cluster.admitted)
        first = set(cluster.by_name.values())
        rounds = math.ceil(HOURS * 3600 / ROUND_S)
        replaced = 0
        for number in range(rounds):
            if number % REPLACEMENT_ROUNDS == REPLACEMENT_ROUNDS - 1:
                self.replace(cluster, kind, NAMES[replaced % len(NAMES)])
                replaced += 1
            cluster.round()
            for organisation in ORGANISATIONS:
                unserved_s = cluster.now - cluster.served_at.get(
                    organisation, started_at
                )
                self.assertLess(
                    unserved_s, MAX_ADMISSION_WAIT_S, (organisation, cluster.now)
                )
        for _ in range(10):
            cluster.round()
        self.assertGreaterEqual(replaced, 100)
        self.assertFalse(first & set(cluster.by_name.values()))
        self.assert_instances_agree(cluster)
        # Each change of owner costs at most its waiting time and one burst.
        loss = replaced * (BURST + 3 * GRANT_TTL_S * RATE)
        for organisation in ORGANISATIONS:
            admitted = cluster.admitted[organisation] - before[organisation]
            full = RATE * (cluster.now - started_at)
            self.assertLessEqual(admitted, BURST + full)
            self.assertGreater(admitted, max(0.7 * full, full - loss))

    def replace(self, cluster, kind, name):
        """End a process; its successor recovers the state from its peers."""
        if kind == "restart":
            cluster.restart(name)
            cluster.recover(name)
            return
        seats = cluster.by_name[name].coordinator.freshness.voting_seats()
        observers = [
            place
            for place, process in cluster.by_name.items()
            if place != name and not process.coordinator.freshness.voting_seats()
        ]
        cluster.replace(name, observers[0])
        cluster.recover(name)
        if seats:
            cluster.recover(observers[0])

    def assert_instances_agree(self, cluster):
        """Check that all instances agree and each resource has exactly one owner."""
        for process in cluster.by_name.values():
            coordinator = process.coordinator
            self.assertEqual(coordinator.revision, cluster.platform.head.revision)
            rows = coordinator.follower.state.organisations_by_name
            self.assertEqual(sorted(rows), sorted(ORGANISATIONS))
            self.assertTrue(coordinator.is_fresh(cluster.now))
        for resource in RESOURCES:
            acting = [
                process.name
                for process in cluster.by_name.values()
                if process.coordinator.may_act(resource, cluster.now)
            ]
            self.assertEqual(len(acting), 1, resource)


if __name__ == "__main__":
    unittest.main()
