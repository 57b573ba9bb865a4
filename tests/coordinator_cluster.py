"""Simulation of several coordinators, their links and the platform, for tests.

Invariants after each step:

- No instance is fresh on an older revision than one that any instance knows to be in
  force.
- At most one instance acts for a resource.
- A new owner without the state of its predecessor acts only after all grants and orders
  of the predecessor have expired.
- Revisions never decrease.
"""

import itertools
from dataclasses import dataclass, field

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from sequoiafall.coordinator import Coordinator
from sequoiafall.head import next_head, seats_of

# Hypothesis derives the derandomized examples from the source of `Interleavings`, so
# the name in there stays.
from sequoiafall.ownership import expiry_wait_s as life_of
from sequoiafall.records import empty_head
from sequoiafall.wire.gen.ttypes import (
    Change,
    Handover,
    Heartbeat,
    Member,
    NotifyHead,
    View,
)

# The third resource moves to i3 when i3 joins i0, i1 and i2.
RESOURCES = ["organisation/a", "pool/p", "organisation/moving-9"]
INSTANCES = 5
INITIAL_MEMBERS = 3

NAMES = [f"i{number}" for number in range(INSTANCES)]
names = st.sampled_from(NAMES)


@dataclass
class Platform:
    """The head row and the changes of the table; its operations never fail."""

    first_edits: tuple = ()
    head: object = field(default_factory=empty_head)
    changes: list = field(default_factory=list)

    def commit(self, view, in_force_revision):
        """Replace the head."""
        self.head = next_head(self.head, view, in_force_revision)
        edits = [] if self.changes else list(self.first_edits)
        self.changes.append(Change(self.head.revision, "op", "test", 0, edits))


class Process:
    """A process of an instance with its coordinator."""

    def __init__(self, name, incarnation, now):
        self.name = name
        self.member = Member(name, incarnation, "z", f"{name}:1", [])
        self.coordinator = Coordinator(self.member, lambda _: RESOURCES, now)
        self.alive = True
        self.paused = False
        self.reaches_platform = True
        self.received = set()
        self.resources = []


class Interleavings(RuleBasedStateMachine):
    """Instances, their links and the platform under random events."""

    first_edits = ()

    def __init__(self):
        super().__init__()
        self.now = 1000.0
        self.incarnation = 1
        self.platform = Platform(self.first_edits)
        self.platform_up = True
        self.cut = set()
        self.in_flight = []
        self.in_force = 0
        self.revisions = {}
        self.acted = {}
        self.by_name = {
            f"i{n}": Process(f"i{n}", 1, self.now) for n in range(INSTANCES)
        }
        for number in range(INITIAL_MEMBERS):
            self.platform_read(f"i{number}", 0.0)
            self.change_view(f"i{number}", False)
        for name in self.by_name:
            self.platform_read(name, 0.0)
        for _ in range(18):
            self.exchange_heartbeats(0.0)
            self.advance(0.25)

    # Rules.

    @rule(step=st.sampled_from([0.02, 0.1, 0.3, 0.6, 1.1, 2.1]))
    def advance(self, step):
        self.now += step
        for process in self.running():
            process.coordinator.tick(self.now)
            self.on_tick(process)
            self.send_handovers(process)

    @rule(rounds=st.integers(1, 8), polling=st.sets(names))
    def live(self, rounds, polling):
        """Let running instances do what controllers do in rounds of 0.25 s."""
        for _ in range(rounds):
            for name in sorted(polling):
                self.platform_read(name, 0.0)
                self.change_view(name, False)
            self.exchange_heartbeats(0.0)
            self.advance(0.25)

    @rule(delay=st.sampled_from([0.0, 0.05, 0.2]))
    def exchange_heartbeats(self, delay):
        """All running instances exchange heartbeats over the links that work."""
        sent_at = self.now
        replies = []
        for process in self.running():
            for peer in self.running():
                if self.linked(process, peer):
                    address = peer.member.controller_address
                    request = process.coordinator.heartbeat(self.now, address)
                    reply = peer.coordinator.on_heartbeat(request, self.now)
                    replies.append((process, peer, reply))
        self.advance(delay)
        for process, peer, reply in replies:
            if process.alive and not process.paused and self.linked(process, peer):
                process.coordinator.on_heartbeat_reply(reply, sent_at, self.now)

    @rule(source=names, to=names)
    def late_heartbeat(self, source, to):
        process, peer = self.by_name[source], self.by_name[to]
        if self.is_running(process) and source != to and self.linked(process, peer):
            address = peer.member.controller_address
            request = process.coordinator.heartbeat(self.now, address)
            self.in_flight.append((peer, request, self.now))

    @rule(source=names, to=names)
    def heartbeat_with_late_reply(self, source, to):
        process, peer = self.by_name[source], self.by_name[to]
        if self.is_running(process) and self.is_running(peer):
            if not self.linked(process, peer):
                return
            reply = peer.coordinator.on_heartbeat(
                process.coordinator.heartbeat(self.now, peer.member.controller_address),
                self.now,
            )
            self.in_flight.append((process, reply, self.now))

    @precondition(lambda self: self.in_flight)
    @rule(index=st.integers(0, 50), lost=st.booleans())
    def deliver(self, index, lost):
        process, reply, sent_at = self.in_flight.pop(index % len(self.in_flight))
        if lost or not self.is_running(process):
            return
        if isinstance(reply, Heartbeat):
            process.coordinator.on_heartbeat(reply, self.now)
        else:
            process.coordinator.on_heartbeat_reply(reply, sent_at, self.now)

    @rule(name=names, delay=st.sampled_from([0.0, 0.3]))
    def platform_read(self, name, delay):
        process = self.by_name[name]
        if not self.can_commit(process):
            return
        sent_at, head = self.now, self.platform.head
        self.advance(delay)
        if not self.is_running(process):
            return
        coordinator = process.coordinator
        self.observe(process, head)
        coordinator.on_platform_confirmed(head.revision, sent_at, self.now)

    @rule(name=names, reply_lost=st.booleans())
    def edit(self, name, reply_lost):
        process = self.by_name[name]
        if self.can_commit(process):
            in_force = process.coordinator.in_force_revision(self.now)
            self.platform.commit(self.platform.head.view, in_force)
            if not reply_lost:
                self.observe(process, self.platform.head)

    @rule(name=names, reply_lost=st.booleans())
    def change_view(self, name, reply_lost):
        process = self.by_name[name]
        if not self.can_commit(process):
            return
        proposal = process.coordinator.propose_view(self.now)
        head = self.platform.head
        if proposal is None or proposal.seen_view.revision != head.view.revision:
            return
        view = View(head.revision + 1, proposal.members, head.view.revision)
        self.platform.commit(view, process.coordinator.in_force_revision(self.now))
        if not reply_lost:
            self.observe(process, self.platform.head)

    @rule(source=names, to=names)
    def notify(self, source, to):
        process, peer = self.by_name[source], self.by_name[to]
        if not (self.is_running(process) and self.is_running(peer)):
            return
        if not self.linked(process, peer):
            return
        coordinator = process.coordinator
        head = coordinator.head
        changes = self.platform.changes[: head.revision]
        ack = peer.coordinator.on_notify_head(NotifyHead(head, changes), self.now)
        seats = peer.coordinator.freshness.voting_seats()
        coordinator.on_ack(seats, ack, self.now)

    @rule(source=names, to=names)
    def fetch_state(self, source, to):
        process, peer = self.by_name[source], self.by_name[to]
        if not (self.is_running(process) and self.is_running(peer)):
            return
        if source != to and self.linked(process, peer):
            request = process.coordinator.fetch_state()
            reply = peer.coordinator.on_fetch_state(request, self.now)
            process.coordinator.on_state_reply(reply, self.now)

    @rule(first=names, second=names)
    def toggle_link(self, first, second):
        self.cut ^= {frozenset((first, second))}

    @rule(side=st.sets(names, min_size=1, max_size=2))
    def partition(self, side):
        self.cut = {
            frozenset((a, b)) for a in side for b in self.by_name if b not in side
        }

    @rule()
    def heal(self):
        self.cut = set()

    @rule(up=st.booleans())
    def set_platform(self, up):
        self.platform_up = up

    @rule(name=names)
    def toggle_platform_link(self, name):
        process = self.by_name[name]
        process.reaches_platform = not process.reaches_platform

    @rule(name=names)
    def toggle_pause(self, name):
        process = self.by_name[name]
        process.paused = not process.paused

    @rule(name=names)
    def restart(self, name):
        """End the process and start another one, which knows nothing."""
        self.incarnation += 5000
        old = self.by_name[name]
        old.alive = False
        # After `replace`, the process has a name that differs from its key.
        new = Process(old.name, self.incarnation, self.now)
        new.reaches_platform = old.reaches_platform
        self.by_name[name] = new

    @rule(source=names, to=names)
    def replace(self, source, to):
        """Offer the seat of a leaving process to an observer."""
        process, peer = self.by_name[source], self.by_name[to]
        if source == to or not self.is_running(process):
            return
        seats = process.coordinator.give_up_seat()
        if seats and self.is_running(peer) and self.linked(process, peer):
            offer = Handover(
                seat=seats[0],
                head_revision=process.coordinator.revision,
                from_instance=process.member.instance,
            )
            peer.coordinator.on_seat_offered(offer, self.now)
        process.alive = False
        # The old name is not reused, as its seat may have been handed over.
        self.incarnation += 5000
        fresh_name = f"{source}.{self.incarnation}"
        del self.by_name[source]
        self.by_name[source] = Process(fresh_name, self.incarnation, self.now)

    # Invariants.

    @invariant()
    def no_instance_is_fresh_on_an_older_revision(self):
        for process in self.by_name.values():
            if process.alive and not process.paused:
                known = process.coordinator.in_force_revision(self.now)
                self.in_force = max(self.in_force, known)
        for process in self.by_name.values():
            coordinator = process.coordinator
            if process.alive and coordinator.is_fresh(self.now):
                assert coordinator.revision >= self.in_force, (
                    f"{process.name} is fresh on {coordinator.revision}, "
                    f"in force is {self.in_force}"
                )

    @invariant()
    def one_instance_acts(self):
        for resource in RESOURCES:
            acting = [
                process
                for process in self.by_name.values()
                if process.alive and process.coordinator.may_act(resource, self.now)
            ]
            assert len(acting) <= 1, f"{resource}: {[p.name for p in acting]}"
            for process in acting:
                self.check_predecessor(resource, process)
                self.acted[resource] = (process, self.now)

    @invariant()
    def revisions_grow(self):
        for process in self.by_name.values():
            previous = self.revisions.get(process, 0)
            assert process.coordinator.revision >= previous
            self.revisions[process] = process.coordinator.revision

    def check_predecessor(self, resource, process):
        predecessor, acted_at = self.acted.get(resource, (process, 0.0))
        if predecessor is process:
            return
        token = process.coordinator.ownership.fencing_token(resource)
        before = predecessor.coordinator.ownership
        if (predecessor, token) not in process.received:
            assert self.now >= acted_at + life_of(resource), (
                f"{process.name} acts for {resource} {self.now - acted_at:.2f} s after "
                f"{predecessor.name}"
            )
        assert token > self.tokens.get(resource, 0) or before is process
        self.tokens[resource] = token

    # Helpers.

    @property
    def received_resources(self):
        return [resource for p in self.by_name.values() for resource in p.resources]

    @property
    def tokens(self):
        return self.__dict__.setdefault("_tokens", {})

    def running(self):
        return [p for p in self.by_name.values() if self.is_running(p)]

    def is_running(self, process):
        return process.alive and not process.paused

    def linked(self, first, second):
        if first is second:
            return False
        places = {p: place for place, p in self.by_name.items()}
        if first not in places or second not in places:
            return False
        return frozenset((places[first], places[second])) not in self.cut

    def can_commit(self, process):
        reaches = self.platform_up and process.reaches_platform
        return reaches and self.is_running(process)

    def observe(self, process, head):
        changes = self.platform.changes[: head.revision]
        process.coordinator.observe(head, self.now, changes)

    def on_tick(self, process):
        """Let a derived class execute what follows a step of the coordinator."""

    def on_handover(self, process, handover, target, token):
        """Let a derived class move the state of a resource."""

    def send_handovers(self, process):
        for handover in process.coordinator.handovers(self.now):
            to = handover.to.instance
            target = next(
                (p for p in self.running() if p.coordinator.ownership.instance == to),
                None,
            )
            if target is None or not self.linked(process, target):
                continue
            ownership = target.coordinator.ownership
            accepted = ownership.on_handover(
                handover.resource, handover.last_view_revision, self.now
            )
            if accepted:
                # The state includes what the sender had received from its predecessors.
                token = ownership.fencing_token(handover.resource)
                self.on_handover(process, handover, target, token)
                target.received.add((process, token))
                target.resources.append(handover.resource)
                for earlier, earlier_token in process.received:
                    if earlier_token == handover.fencing_token:
                        target.received.add((earlier, token))


class Cluster(Interleavings):
    """Cluster with compound steps for faults that occur together in operation."""

    def run(self, rounds):
        """Run the periodic steps of all running instances in rounds of 0.25 s.

        An instance without a seat stays an observer.
        """
        for _ in range(rounds):
            for name, process in self.by_name.items():
                if not self.is_running(process):
                    continue
                self.platform_read(name, 0.0)
                coordinator = process.coordinator
                if process.name in seats_of(coordinator.head.view):
                    self.change_view(name, False)
                if coordinator.recovery or coordinator.freshness.is_behind():
                    self.recover(name)
            self.exchange_heartbeats(0.0)
            self.advance(0.25)

    def separate(self, side, reaches_platform=False):
        """Partition some instances from the others and, by default, the platform."""
        self.partition(set(side))
        for name, process in self.by_name.items():
            process.reaches_platform = reaches_platform or name not in side

    def rejoin(self):
        """End all partitions."""
        self.heal()
        for process in self.by_name.values():
            process.reaches_platform = True

    def recover(self, name):
        """Fetch the state from all peers, as a process does at startup."""
        for peer in NAMES:
            self.fetch_state(name, peer)

    def kill(self, name):
        """End a process without starting another one."""
        self.by_name[name].alive = False

    def leave(self, name):
        """Let a member commit its own removal from the view, or let it join again."""
        coordinator = self.by_name[name].coordinator
        coordinator.leaving = not coordinator.leaving
        self.change_view(name, False)

    def hold_heartbeats(self, kind):
        """Delay the heartbeats, or their replies, between all pairs of instances."""
        for source, to in itertools.permutations(NAMES, 2):
            kind(self, source, to)

    def deliver_held(self):
        """Deliver all delayed messages, newest first."""
        while self.in_flight:
            self.deliver(len(self.in_flight) - 1, False)

    def confirm_only(self, name):
        """Confirm the version of the head row before the changes are read."""
        process = self.by_name[name]
        if self.can_commit(process):
            revision = self.platform.head.revision
            process.coordinator.on_platform_confirmed(revision, self.now, self.now)

    def check(self):
        """Check all invariants."""
        self.no_instance_is_fresh_on_an_older_revision()
        self.one_instance_acts()
        self.revisions_grow()
