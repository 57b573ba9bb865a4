"""Tests of the time at which removed entries of servers cease to count."""

import asyncio
import time
import unittest

from parameterized import parameterized

from sequoiafall.platform import names
from sequoiafall.store_contact import (
    DRAIN_MARGIN_S,
    DROP_DELAY_S,
    ENTRY_RETURN_S,
    StoreContact,
)

from .events import until
from .platform_case import PlatformCase

HEARTBEAT_S = 1.2
DRAIN_S = 2.0
# Time from the last heartbeat to the removal of an entry by the store.
EXPIRY_S = 3.0 * HEARTBEAT_S


class DropTimeTest(unittest.TestCase):
    """Entries that were removed on purpose, and those that expired in an outage."""

    def setUp(self):
        self.contact = StoreContact(HEARTBEAT_S, DRAIN_S)
        self.contact.record_read(10.0, 10.0)

    def lose_leader_until(self, answered_at):
        """Cut off the leader at 10.0; another instance reaches the store later."""
        self.contact.record_answer(answered_at, answered_at)

    def test_removed_while_the_store_answers(self):
        self.contact.record_answer(10.3, 10.3)
        self.assertEqual(self.contact.drop_at(10.3), 10.3 + DROP_DELAY_S)

    @parameterized.expand([(11.2,), (11.5,), (11.69,), (11.9,), (12.15,)])
    def test_only_the_leader_has_lost_the_store(self, answered_at):
        """Members kept a removed server for 2.2 s after the leader's loss.

        Its removal may be as old as the last read, and it ends 2 s later.
        """
        self.lose_leader_until(answered_at)
        dropped_at = self.contact.drop_at(answered_at)
        self.assertLessEqual(
            dropped_at, max(answered_at, 10.0 + DRAIN_S - DRAIN_MARGIN_S)
        )

    @parameterized.expand([(2.21,), (2.4,), (3.0,), (12.0,)])
    def test_entry_can_have_expired_in_an_outage(self, outage_s):
        """Servers without an entry after an outage write it within two seconds."""
        returned_at = 10.0 + outage_s
        self.contact.record_answer(returned_at, returned_at)
        for delay_s in (0.0, 0.1, 0.5, 1.0, 1.9):
            now = returned_at + delay_s
            self.contact.record_answer(now, now)
            self.assertGreaterEqual(self.contact.drop_at(now), returned_at + 2.0)

    @parameterized.expand(
        [(f"{written_s} s before", written_s) for written_s in (0.0, 0.6, 1.0, 1.2)]
    )
    def test_no_outage_is_too_short_for_an_expiry(self, _name, written_s):
        """Guards against the drop of entries that expired, at whatever phase."""
        expired_at = 10.0 - written_s + EXPIRY_S
        self.contact.record_answer(expired_at, expired_at)
        self.assertGreaterEqual(self.contact.drop_at(expired_at), expired_at + 2.0)

    def test_failed_call_after_an_outage(self):
        """The wait after an outage goes on when a later call fails and succeeds."""
        self.contact.record_answer(15.0, 15.0)
        self.contact.record_answer(15.5, 15.5)
        self.assertGreaterEqual(self.contact.drop_at(15.5), 14.9 + ENTRY_RETURN_S)

    def test_store_is_away_in_part(self):
        """The lease is renewed meanwhile, but no server can write its entry."""
        for step in range(1, 11):
            now = 10.0 + 0.5 * step
            self.contact.record_answer(now, now)
            self.contact.record_failed_read()
        self.contact.record_answer(15.1, 15.1)
        self.assertGreaterEqual(self.contact.drop_at(15.1), 15.0 + ENTRY_RETURN_S)
        self.contact.record_read(15.1, 15.1)
        self.assertGreaterEqual(self.contact.drop_at(16.0), 15.0 + ENTRY_RETURN_S)
        for now in (16.0, 17.0, 18.0):
            self.contact.record_read(now, now)
        self.assertEqual(self.contact.drop_at(18.0), 18.0 + DROP_DELAY_S)

    def test_store_that_came_back_from_a_copy(self):
        self.contact.record_return(10.1)
        self.assertEqual(self.contact.drop_at(10.2), 10.1 + ENTRY_RETURN_S)

    def test_first_contact_is_no_return(self):
        contact = StoreContact(HEARTBEAT_S, DRAIN_S)
        contact.record_answer(10.0, 10.0)
        contact.record_read(10.0, 10.0)
        self.assertEqual(contact.drop_at(10.1), 10.1 + DROP_DELAY_S)

    def test_removal_that_the_leader_reports_from_behind_a_cut(self):
        """A member hears of the store from the next leader, with the age of it."""
        self.contact.record_answer(11.4, 11.6)
        self.assertLessEqual(self.contact.drop_at(11.6), 10.0 + DRAIN_S)


class RemovedEntryTest(PlatformCase):
    """Entries that are removed while the store is lost, by the leader or by all."""

    async def write_heartbeats(self):
        sequence = 1
        while True:
            sequence += 1
            for name, server in self.engines.items():
                if name not in self.gone and "*" not in self.store.rejected_peers:
                    self.announce(server, sequence=sequence)
            await asyncio.sleep(0.25)

    async def start(self):
        self.gone = set()
        nodes = await self.start_fleet(3)
        self.heartbeats = asyncio.create_task(self.write_heartbeats())
        await until(lambda: all(node.fleet.member_count == 3 for node in nodes))

    async def asyncTearDown(self):
        self.heartbeats.cancel()
        await super().asyncTearDown()

    def remove(self, name):
        self.gone.add(name)
        self.store.remove(names.BACKEND_TABLE, name)

    @parameterized.expand([("when the cut begins", 0.0), ("in the cut", 0.3)])
    async def test_leader_alone_has_lost_the_store(self, _name, delay_s):
        """Members sent requests to the server for over 2 s after its removal."""
        await self.start()
        leader = self.leader
        self.store.rejected_peers.add(leader.settings.address)
        await asyncio.sleep(delay_s)
        self.remove("d1")
        removed_at = time.monotonic()
        others = [node for node in self.nodes if node is not leader]
        await until(
            lambda: all(node.fleet.registry.find("d1") is None for node in others)
        )
        self.assertLess(time.monotonic() - removed_at, DRAIN_S)

    async def test_entries_that_expire_in_an_outage_of_the_store(self):
        """They are written again within two seconds of the store's return."""
        await self.start()
        self.store.rejected_peers.add("*")
        await asyncio.sleep(EXPIRY_S - HEARTBEAT_S + 0.1)
        for name in ("d1", "e1"):
            self.remove(name)
        await asyncio.sleep(0.5)
        self.store.rejected_peers.clear()
        ends_at = time.monotonic() + 1.9
        while time.monotonic() < ends_at:
            for node in self.nodes:
                self.assertIsNotNone(node.fleet.registry.find("d1"))
                self.assertIsNotNone(node.fleet.registry.find("e1"))
            await asyncio.sleep(0.05)
        self.gone.clear()
        await asyncio.sleep(1.0)
        for node in self.nodes:
            self.assertIsNotNone(node.fleet.registry.find("d1"))
