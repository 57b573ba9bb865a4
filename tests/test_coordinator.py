"""Tests of a simulated cluster of coordinators, with and without faults."""

import unittest

from .coordinator_cluster import RESOURCES, Interleavings, Process


class ClusterTestCase(unittest.TestCase):
    """Starts three members and two observers whose view is in force."""

    def setUp(self):
        self.cluster = Interleavings()

    def live(self, seconds, polling=("i0", "i1", "i2", "i3", "i4")):
        """Run the periodic steps of all running instances for some seconds."""
        for _ in range(int(seconds / 0.25)):
            self.cluster.live(1, polling)
            self.check()

    def check(self):
        """Check all invariants."""
        self.cluster.no_instance_is_fresh_on_an_older_revision()
        self.cluster.one_instance_acts()
        self.cluster.revisions_grow()

    def coordinator(self, name):
        """Return the coordinator of an instance."""
        return self.cluster.by_name[name].coordinator

    def acting(self, resource):
        """Return the names of the instances that act for a resource."""
        return [
            process.name
            for process in self.cluster.by_name.values()
            if process.alive and process.coordinator.may_act(resource, self.cluster.now)
        ]

    def assert_all_served(self):
        for resource in RESOURCES:
            self.assertEqual(len(self.acting(resource)), 1, resource)


class SingleFaultTest(ClusterTestCase):
    """Guards against a cluster that makes no progress after a single fault."""

    def test_every_resource_is_served(self):
        self.assert_all_served()

    def test_crashed_member_is_removed_and_replaced(self):
        self.live(5)
        self.cluster.by_name["i1"].alive = False
        self.live(8)
        self.assert_all_served()
        listed = [m.instance for m in self.cluster.platform.head.view.members]
        self.assertNotIn("i1", listed)

    def test_edit_comes_into_force(self):
        self.cluster.edit("i0", False)
        revision = self.cluster.platform.head.revision
        self.live(3)
        self.assertGreaterEqual(self.cluster.in_force, revision)

    def test_peers_suffice_through_an_outage(self):
        self.live(5)
        self.cluster.platform_up = False
        self.live(60)
        self.assert_all_served()

    def test_platform_suffices_without_peers(self):
        self.live(5)
        self.cluster.cut = {
            frozenset((a, b))
            for a in self.cluster.by_name
            for b in self.cluster.by_name
        }
        self.live(10)
        self.assert_all_served()

    def test_join_interrupts_a_resource_only_briefly(self):
        """Guards against a long gap between the previous owner and the new one.

        The previous owner acts on its last evidence until the view is in force.
        """
        self.assertEqual(self.acting("organisation/moving-9"), ["i0"])
        self.cluster.change_view("i3", False)
        unserved = 0.0
        while self.acting("organisation/moving-9") != ["i3"]:
            self.cluster.live(1, ["i0", "i1", "i2", "i3"])
            self.check()
            unserved += 0.25 * (not self.acting("organisation/moving-9"))
        self.assertLessEqual(unserved, 0.5)
        self.assertIn("organisation/moving-9", str(self.cluster.received_resources))

    def test_restart_during_an_outage(self):
        cluster = self.cluster
        self.live(5)
        cluster.platform_up = False
        cluster.restart("i1")
        self.assertFalse(self.coordinator("i1").freshness.can_confirm())
        for peer in cluster.by_name:
            cluster.fetch_state("i1", peer)
        self.assertTrue(self.coordinator("i1").freshness.can_confirm())
        self.live(5)
        self.assert_all_served()

    def test_seat_passes_to_an_observer_during_an_outage(self):
        cluster = self.cluster
        cluster.platform_up = False
        cluster.replace("i1", "i4")
        for peer in ("i0", "i2"):
            cluster.fetch_state("i4", peer)
        self.assertEqual(self.coordinator("i4").freshness.voting_seats(), ["i1"])
        self.live(5)
        self.assert_all_served()
        head = self.coordinator("i0").addressed_head()
        addresses = {m.instance: m.controller_address for m in head.view.members}
        self.assertEqual(addresses["i1"], "i4:1")


class FaultTest(ClusterTestCase):
    """Sequences of events that random interleavings rarely reach."""

    def isolate(self, *side):
        """Partition some instances from the others and from the platform."""
        self.cluster.partition(set(side))
        for name in side:
            self.cluster.by_name[name].reaches_platform = False

    def test_cut_off_member_stops_before_a_change_is_in_force(self):
        self.isolate("i2")
        self.cluster.edit("i0", False)
        self.live(4, ["i0", "i1"])
        self.assertGreaterEqual(self.cluster.in_force, 4)

    def test_peer_with_a_newer_revision_is_no_evidence(self):
        """A member that learns of a newer revision must not stay fresh by it."""
        self.isolate("i2")
        self.cluster.heal()
        self.cluster.edit("i0", False)
        self.cluster.notify("i0", "i1")
        self.live(4, ["i0", "i1"])
        self.assertFalse(self.coordinator("i2").is_fresh(self.cluster.now))

    def test_new_members_cannot_outvote_the_earlier_view(self):
        """A change must not come into force while an earlier majority does not know it.

        Two of three members that see only each other stay fresh on their revision.
        """
        self.isolate("i1", "i2")
        for _ in range(6):
            self.live(1, ["i0", "i3", "i4"])
            self.cluster.edit("i0", False)
        self.assertTrue(self.coordinator("i1").is_fresh(self.cluster.now))
        self.assertEqual(self.cluster.in_force, 3)

    def test_restarted_member_cannot_confirm_what_it_forgot(self):
        """A change in force through a member's vote must survive its restart."""
        cluster = self.cluster
        cluster.partition({"i2"})
        cluster.edit("i0", False)
        self.live(0.5, ["i0", "i1"])
        cluster.restart("i1")
        cluster.cut = {frozenset(("i0", "i1")), frozenset(("i0", "i2"))}
        for name in ("i1", "i2"):
            cluster.by_name[name].reaches_platform = False
        for _ in range(12):
            cluster.fetch_state("i1", "i2")
            cluster.live(1, ["i0"])
            self.check()
        self.assertFalse(self.coordinator("i2").is_fresh(cluster.now))

    def test_tenure_does_not_continue_over_a_missed_view(self):
        """An owner that missed another's tenure must wait until its grants expire."""
        cluster, resource = self.cluster, "organisation/moving-9"
        self.isolate("i0")
        cluster.change_view("i3", False)
        others = ["i1", "i2", "i3"]
        self.follow_until(others, lambda: self.acting(resource) == ["i3"])
        self.coordinator("i3").leaving = True
        cluster.change_view("i3", False)
        revision = cluster.platform.head.revision
        self.follow_until(others, lambda: cluster.in_force >= revision)
        cluster.by_name["i3"].alive = False
        cluster.edit("i1", False)
        self.assertEqual(cluster.platform.head.pending_views, [])
        cluster.heal()
        cluster.by_name["i0"].reaches_platform = True
        self.follow_until(["i0"], lambda: self.acting(resource) == ["i0"])

    def follow_until(self, polling, condition):
        """Follow the head, without view changes, until a condition holds."""
        while not condition():
            for name in polling:
                self.cluster.platform_read(name, 0.0)
            self.cluster.exchange_heartbeats(0.0)
            self.check()
            self.cluster.advance(0.1)
            self.check()

    def test_late_heartbeat_proves_nothing_about_the_time_of_its_arrival(self):
        """A change may have come into force while the heartbeat was in transit."""
        sender, receiver = self.coordinator("i1"), self.coordinator("i0")
        request = sender.heartbeat(self.cluster.now, receiver.member.controller_address)
        self.assertEqual(request.echoed_incarnation, receiver.member.incarnation)
        before = receiver.freshness.fresh_until()
        self.isolate("i0", "i1")
        self.cluster.advance(4.0)
        receiver.on_heartbeat(request, self.cluster.now)
        self.assertFalse(receiver.is_fresh(self.cluster.now))
        self.assertEqual(receiver.freshness.fresh_until(), before)

    def test_echo_to_an_earlier_process_proves_nothing(self):
        """The machine's monotonic clock may have restarted in the meantime."""
        sender, address = self.coordinator("i1"), "i0:1"
        request = sender.heartbeat(self.cluster.now, address)
        self.cluster.restart("i0")
        restarted = self.coordinator("i0")
        self.cluster.platform_read("i0", 0.0)
        before = restarted.freshness.fresh_until()
        request.echoed_at_us *= 2
        restarted.on_heartbeat(request, self.cluster.now)
        self.assertEqual(restarted.freshness.fresh_until(), before)

    def test_heartbeats_of_one_side_keep_both_fresh(self):
        self.cluster.platform_up = False
        for _ in range(20):
            for source, to in (("i0", "i1"), ("i0", "i2")):
                self.cluster.heartbeat_with_late_reply(source, to)
                self.cluster.deliver(0, False)
            self.cluster.advance(0.25)
        for name in ("i0", "i1", "i2"):
            self.assertTrue(self.coordinator(name).is_fresh(self.cluster.now))

    def test_leaving_member_stops_confirming_before_it_offers_its_seat(self):
        self.assertTrue(self.coordinator("i1").heartbeat(self.cluster.now).confirms)
        self.assertEqual(self.coordinator("i1").give_up_seat(), ["i1"])
        self.assertFalse(self.coordinator("i1").heartbeat(self.cluster.now).confirms)

    def test_successor_of_a_seat_waits_for_what_its_predecessor_issued(self):
        """Guards against an old observer that acts at once after taking over a seat.

        The grants of the previous holder may still be valid then.
        """
        cluster, resource = self.cluster, "organisation/a"
        self.live(10, ("i0", "i1", "i2"))
        cluster.platform_up = False
        self.live(10)
        (owner,) = self.acting(resource)
        predecessor = self.coordinator(owner)
        cluster.replace(owner, "i4")
        self.assertFalse(predecessor.may_act(resource, cluster.now))
        for peer in ("i0", "i1", "i2"):
            cluster.fetch_state("i4", peer)
        self.check()
        self.assertEqual(self.acting(resource), [])
        self.live(5)
        self.assertEqual(self.acting(resource), ["i4"])

    def test_name_of_a_passed_seat_is_used_again_when_the_platform_returns(self):
        """The restarted member and the holder of its seat must not both act."""
        cluster, resource = self.cluster, "organisation/a"
        self.live(10, ("i0", "i1", "i2"))
        cluster.platform_up = False
        (owner,) = self.acting(resource)
        cluster.replace(owner, "i4")
        for peer in ("i0", "i1", "i2"):
            cluster.fetch_state("i4", peer)
        self.live(2, ())
        self.assertEqual(self.acting(resource), ["i4"])
        cluster.by_name[owner] = Process(owner, 9999, cluster.now)
        cluster.platform_up = True
        cluster.platform_read(owner, 0.0)
        self.follow_until([owner], lambda: cluster.now > 1030.0)

    def test_restarted_member_does_not_take_back_a_seat_that_was_handed_over(self):
        cluster = self.cluster
        cluster.platform_up = False
        old = cluster.by_name["i1"]
        cluster.replace("i1", "i4")
        for peer in ("i0", "i2"):
            cluster.fetch_state("i4", peer)
        cluster.by_name["i1"] = Process(old.name, 9999, cluster.now)
        for peer in ("i0", "i2"):
            cluster.fetch_state("i1", peer)
        self.assertEqual(self.coordinator("i1").freshness.voting_seats(), [])


if __name__ == "__main__":
    unittest.main()
