"""Base class of tests in which an instance is cut off from others and the store."""

from soak.relay import FaultyRelay

from .events import until
from .test_stream_versions import VersionCase


class CutOffCase(VersionCase):
    """Starts nodes that others, and that themselves the store, reach through relays."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.store_relays = {}
        self.peer_relays = {}

    async def asyncTearDown(self):
        self.heal()
        await super().asyncTearDown()
        for relay in (*self.store_relays.values(), *self.peer_relays.values()):
            await relay.stop()

    async def start_node(self, number=1, **changes):
        name, host = f"node-{number}", f"{self._network}.{number}"
        if name not in self.store_relays:
            self.store_relays[name] = FaultyRelay(self.store_address)
            self.peer_relays[name] = FaultyRelay(f"{host}:17600")
            await self.store_relays[name].start()
            await self.peer_relays[name].start()
        return await super().start_node(
            number,
            store_address=self.store_relays[name].address,
            peer_advertise=self.peer_relays[name].address,
            **changes,
        )

    def _relays(self, node):
        name = node.settings.instance
        return self.store_relays[name], self.peer_relays[name]

    def cut_off(self, node, store=True, peers=True):
        """Drop all that a node exchanges with the store, and with those that poll."""
        store_relay, peer_relay = self._relays(node)
        store_relay.drops_up = store_relay.drops_down = store
        peer_relay.drops_up = peer_relay.drops_down = peers

    def heal(self):
        """End all cuts; connections that lost data are reset."""
        for relay in (*self.store_relays.values(), *self.peer_relays.values()):
            relay.clear_faults()

    def others(self, *nodes):
        return [row for row in self.nodes if row not in nodes]

    async def cut_off_leader(self):
        """Cut the leader off and wait until another node leads; return the first."""
        leader = self.leader
        self.cut_off(leader)
        await until(lambda: any(row.fleet.lease.leads for row in self.others(leader)))
        return leader

    def successor(self, leader):
        """Return the node that leads beside one that is cut off."""
        return next(row for row in self.others(leader) if row.fleet.lease.leads)
