"""Tests of commits to the table service, with lost replies and stale reads."""

import asyncio
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized
from returns.result import Success

from sequoiafall import commits, records
from sequoiafall.commits import Committer
from sequoiafall.edits import EditConflict, EditRequest, Invalid, RowEdit, ViewConflict
from sequoiafall.records import decode_change
from sequoiafall.store_results import Unavailable, Unknown
from sequoiafall.wire.gen.ttypes import Head, Member, View

from .fake_table import LATE_EFFECT, LOST_REPLY, OK, OUTAGE, STALE, FakeTable


def setUpModule():
    """Retry without a pause, as the tests depend only on the order of calls."""
    patcher = mock.patch.object(commits, "RETRY_PAUSE_S", 0)
    patcher.start()
    unittest.addModuleCleanup(patcher.stop)


def organisation(name="carvers", **values) -> RowEdit:
    """Return an edit of an organisation."""
    return RowEdit("organisation", name, {"rate": 10, "burst": 20, **values})


def request(seen, *edits, operation_id="op", actor="liga") -> EditRequest:
    """Return an edit request with a fixed operation identifier."""
    return EditRequest(seen, actor, list(edits), operation_id)


def member(name: str) -> Member:
    """Return a member of a view."""
    return Member(name, 1, "talsi", f"{name}:1", [f"{name}:2"])


def stored_changes(table: FakeTable) -> list:
    """Return the changes in the table, oldest first."""
    rows = table.store.scan("change/", "", 10_000)
    return [decode_change(row["value"]) for row in rows]


class EditTest(unittest.IsolatedAsyncioTestCase):
    """An edit must take effect exactly once and must not undo another edit."""

    def setUp(self):
        self.table = FakeTable()
        self.committer = Committer(self.table, lambda: 1.5)

    async def commit(self, *edits, operation_id="setup") -> int:
        seen = (await self.committer.reader.catch_up()).unwrap().revision
        result = await self.committer.edit(
            request(seen, *edits, operation_id=operation_id)
        )
        return result.unwrap().change.revision

    async def test_change_row_is_the_audit_record(self):
        await self.commit(organisation())
        await self.commit(organisation(rate=30), operation_id="second")
        row = self.table.store.describe("change/000000000002")["value"]
        self.assertEqual(row["actor"], "liga")
        self.assertEqual(row["committed_at_ms"], 1500)
        self.assertEqual(row["edits"][0]["before"]["rate"], 10)
        self.assertEqual(row["edits"][0]["after"]["rate"], 30)
        stored = self.table.store.describe("row/organisation/carvers")["value"]
        self.assertEqual(stored["revision"], 2)
        self.assertEqual(stored["values"]["rate"], 30)

    async def test_edit_of_unchanged_row_is_rebased(self):
        seen = await self.commit(organisation())
        await self.commit(organisation("clogs"), operation_id="other")
        result = await self.committer.edit(request(seen, organisation(rate=5)))
        self.assertEqual(result.unwrap().change.revision, seen + 2)

    async def test_edit_of_changed_row_shows_both_values(self):
        seen = await self.commit(organisation())
        await self.commit(organisation(rate=30), operation_id="other")
        result = await self.committer.edit(request(seen, organisation(rate=5)))
        self.assertIsInstance(result.failure(), EditConflict)
        (conflict,) = result.failure().rows
        rates = [
            values["rate"]
            for values in (conflict.seen, conflict.current, conflict.proposed)
        ]
        self.assertEqual(rates, [10, 30, 5])
        self.assertEqual((conflict.revision, conflict.actor), (2, "liga"))

    async def test_deleted_row_is_not_created_again_by_an_old_edit(self):
        seen = await self.commit(organisation())
        await self.commit(RowEdit("organisation", "carvers", None), operation_id="d")
        # A new process knows nothing of the deleted row.
        result = await Committer(self.table).edit(request(seen, organisation(rate=5)))
        self.assertIsInstance(result.failure(), EditConflict)

    async def test_row_left_as_seen_does_not_conflict(self):
        seen = await self.commit(organisation(), organisation("clogs"))
        await self.commit(organisation(rate=30), operation_id="other")
        result = await self.committer.edit(
            request(seen, organisation(), organisation("clogs", rate=7))
        )
        (edit,) = result.unwrap().change.edits
        self.assertEqual(edit.name, "clogs")

    @parameterized.expand(
        [
            ("lost_reply", [OK, LOST_REPLY]),
            ("lost_reply_and_stale_read", [OK, LOST_REPLY, STALE, STALE]),
            ("late_effect", [OK, LATE_EFFECT]),
            ("late_effect_and_outage", [OK, LATE_EFFECT, OUTAGE]),
            ("stale_head", [STALE, OK]),
        ]
    )
    async def test_one_effect(self, _name, script):
        seen = await self.commit(organisation())
        self.table.script = list(script)
        result = await self.committer.edit(request(seen, organisation(rate=5)))
        self.assertIsInstance(result, Success)
        changes = stored_changes(self.table)
        self.assertEqual([c.operation_id for c in changes], ["setup", "op"])
        self.assertEqual(result.unwrap().change, changes[-1])

    async def test_outage_has_no_effect(self):
        await self.committer.reader.catch_up()
        self.table.script = [OK, OUTAGE]
        result = await self.committer.edit(request(0, organisation()))
        self.assertIsInstance(result.failure(), Unavailable)
        self.assertEqual(stored_changes(self.table), [])

    async def test_lost_reply_during_outage_is_unknown(self):
        committer = Committer(self.table, deadline_s=0)
        await committer.reader.catch_up()
        self.table.script = [OK, LOST_REPLY]
        result = await committer.edit(request(0, organisation()))
        self.assertIsInstance(result.failure(), Unknown)
        # The same request on another instance finds the effect.
        repeated = await Committer(self.table).edit(request(0, organisation()))
        self.assertEqual(repeated.unwrap().change.revision, 1)
        self.assertEqual(len(stored_changes(self.table)), 1)

    async def test_identifier_of_another_operation_is_refused(self):
        await self.commit(organisation(), operation_id="op")
        result = await self.committer.edit(request(0, organisation("clogs")))
        (finding,) = result.failure().findings
        self.assertEqual(finding.place, "operation_id")

    @parameterized.expand(
        [
            ("future_revision", 7, [organisation(rate=1)]),
            ("negative_revision", -1, [organisation(rate=1)]),
            ("no_edits", 1, []),
            ("bad_value", 1, [organisation(rate=-1)]),
        ]
    )
    async def test_invalid(self, _name, seen, edits):
        await self.commit(organisation())
        result = await self.committer.edit(request(seen, *edits))
        self.assertIsInstance(result.failure(), Invalid)

    async def test_finding_from_a_stale_head_is_checked_again(self):
        seen = await self.commit(organisation())
        await Committer(self.table).edit(
            request(seen, organisation("clogs"), operation_id="other")
        )
        self.table.staleness = 2
        self.table.script = [STALE]
        edit = RowEdit("adapter", "fit", {"organisation": "clogs"})
        result = await self.committer.edit(request(seen, edit))
        self.assertIsInstance(result, Success)

    async def test_stale_snapshot_does_not_drop_an_edit(self):
        await self.commit(organisation())
        await self.commit(organisation(rate=30), operation_id="second")
        self.table.script = [OK, STALE]
        result = await Committer(self.table).edit(request(2, organisation()))
        self.assertEqual(len(result.unwrap().change.edits), 1)


class ViewTest(unittest.IsolatedAsyncioTestCase):
    """A view change must list the earlier views that are not yet closed."""

    def setUp(self):
        self.table = FakeTable()
        self.committer = Committer(self.table)

    async def change_view(self, *names, in_force=0, committer=None) -> Head:
        committer = committer or self.committer
        head = (await committer.reader.catch_up()).unwrap()
        members = [member(name) for name in names]
        result = await committer.change_view(head.view, members, names[0], in_force)
        return result.unwrap().head

    async def test_pending_views(self):
        self.assertEqual((await self.change_view("a", "b")).pending_views, [])
        head = await self.change_view("a")
        self.assertEqual([v.revision for v in head.pending_views], [1])
        head = await self.change_view("a", "c")
        self.assertEqual([v.revision for v in head.pending_views], [1, 2])
        head = await self.change_view("a", "d", in_force=2)
        self.assertEqual([v.revision for v in head.pending_views], [2, 3])
        result = await self.committer.edit(request(4, organisation()), 4)
        self.assertEqual(result.unwrap().head.pending_views, [])
        self.assertEqual(result.unwrap().head.view.revision, 4)

    async def test_change_row_has_old_and_new_members(self):
        await self.change_view("a", "b")
        await self.change_view("a")
        (edit,) = stored_changes(self.table)[-1].edits
        self.assertIn('"instance":"b"', edit.before)
        self.assertNotIn('"instance":"b"', edit.after)

    async def test_lost_race_is_a_conflict(self):
        await self.change_view("a", "b")
        seen = self.committer.reader.head.view
        await self.change_view("b", committer=Committer(self.table))
        result = await self.committer.change_view(seen, [member("a")], "a")
        self.assertIsInstance(result.failure(), ViewConflict)

    async def test_old_view_is_replaced_after_many_edits(self):
        await self.change_view("a", "b")
        for number in range(1, 5):
            edit = request(number, organisation(rate=number), operation_id=str(number))
            (await self.committer.edit(edit)).unwrap()
        with mock.patch.object(commits, "MAX_REVISION_LAG", 2):
            self.assertEqual((await self.change_view("a")).revision, 6)
            old = await self.committer.edit(request(1, organisation("clogs")))
        self.assertIsInstance(old.failure(), Invalid)

    @parameterized.expand(
        [
            ("lost_reply", [OK, LOST_REPLY]),
            ("late_effect", [OK, LATE_EFFECT, OK, OUTAGE]),
            ("stale", [OK, LOST_REPLY, STALE, STALE]),
        ]
    )
    async def test_view_change_has_one_effect(self, _name, script):
        await self.change_view("a", "b")
        head = (await self.committer.reader.catch_up()).unwrap()
        self.table.script = list(script)
        result = await self.committer.change_view(head.view, [member("a")], "a")
        self.assertEqual(result.unwrap().head.view, View(2, [member("a")], 1))
        self.assertEqual(len(stored_changes(self.table)), 2)

    async def test_view_change_is_rebased_on_an_edit(self):
        await self.change_view("a", "b")
        seen = self.committer.reader.head.view
        await Committer(self.table).edit(request(1, organisation()))
        result = await self.committer.change_view(seen, [member("a")], "a")
        self.assertEqual(result.unwrap().head.revision, 3)
        self.assertEqual(result.unwrap().head.view, View(3, [member("a")], 1))


FAULTS = st.sampled_from([OK, OK, OK, LOST_REPLY, LATE_EFFECT, OUTAGE, STALE, STALE])
LAGS = st.integers(1, 12)
# Name, rate, age of the seen revision, and whether the instance restarts first.
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["a", "b"]),
        st.integers(1, 9),
        st.integers(0, 2),
        st.booleans(),
    ),
    min_size=2,
    max_size=5,
)


VIEWS = st.lists(st.sampled_from(["a", "b", "ab"]), min_size=1, max_size=4)


class RaceTest(unittest.TestCase):
    """Guards against lost or repeated edits of two operators on a faulty platform."""

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(STEPS, STEPS, st.lists(FAULTS, min_size=20, max_size=60), LAGS, LAGS)
    def test_history(self, first, second, script, staleness, lateness):
        table = FakeTable(script=list(script), staleness=staleness, lateness=lateness)
        results = asyncio.run(self.run_operators(table, [first, second]))
        changes = stored_changes(table)
        revisions = [change.revision for change in changes]
        self.assertEqual(revisions, list(range(1, len(changes) + 1)))
        ids = [change.operation_id for change in changes]
        self.assertEqual(len(ids), len(set(ids)), "one effect per operation")
        self.check_results(results, changes)
        self.check_chain(changes, table)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(VIEWS, VIEWS, st.lists(FAULTS, min_size=10, max_size=40), LAGS, LAGS)
    def test_views(self, first, second, script, staleness, lateness):
        """A view that may still hold leases must stay pending, whoever replaced it."""
        table = FakeTable(script=list(script), staleness=staleness, lateness=lateness)
        results = asyncio.run(self.run_instances(table, [first, second]))
        changes = {c.operation_id: c for c in stored_changes(table)}
        for operation_id, result in flatten(results):
            if isinstance(result, Success):
                self.assertEqual(changes[operation_id], result.unwrap().change)
            elif not isinstance(result.failure(), Unknown | ViewConflict):
                self.assertNotIn(operation_id, changes)
        self.check_head(table, list(changes.values()))

    async def run_instances(self, table, view_lists):
        return await asyncio.gather(
            *(
                self.run_instance(table, f"i{number}", views)
                for number, views in enumerate(view_lists)
            )
        )

    async def run_instance(self, table, instance, views):
        committer = Committer(table, deadline_s=20, clock=lambda: table.calls)
        results = []
        for number, names in enumerate(views):
            operation_id = f"{instance}.{number}"
            seen, members = committer.reader.head.view, [member(n) for n in names]
            result = await committer.change_view(
                seen, members, instance, operation_id=operation_id
            )
            results.append((operation_id, result))
            edit = organisation(rate=number + 1)
            await committer.edit(request(0, edit, operation_id=f"{operation_id}.edit"))
        return results

    def check_head(self, table, changes):
        """Compare the head with the views that the changes produced."""
        revisions, members = [], records.encode_optional({"members": []})
        for change in changes:
            (edit,) = change.edits
            if edit.kind == records.VIEW_KIND:
                self.assertEqual(edit.before, members)
                members = edit.after
                revisions.append(change.revision)
        row = table.store.describe("head")["value"]
        if row is None:
            self.assertEqual(changes, [])
            return
        self.assertEqual(row["revision"], len(changes))
        views = [*row["pending_views"], row["view"]]
        expected = revisions or [0]
        self.assertEqual([view["revision"] for view in views], expected)
        chain = [view["previous_revision"] for view in views]
        self.assertEqual(chain, [0, *expected][: len(views)])

    async def run_operators(self, table, step_lists):
        return await asyncio.gather(
            *(
                self.run_operator(table, f"operator{number}", steps)
                for number, steps in enumerate(step_lists)
            )
        )

    async def run_operator(self, table, actor, steps):
        committer = None
        results, revision = [], 0
        for number, (name, rate, age, restarts) in enumerate(steps):
            if committer is None or restarts:
                committer = Committer(table, deadline_s=20, clock=lambda: table.calls)
            edit = request(
                max(0, revision - age),
                organisation(name, rate=rate),
                operation_id=f"{actor}.{number}",
                actor=actor,
            )
            results.append((edit, await committer.edit(edit)))
            revision = max(revision, committer.reader.head.revision)
        return results

    def check_results(self, results, changes):
        changes_by_id = {change.operation_id: change for change in changes}
        for edit, result in flatten(results):
            change = changes_by_id.get(edit.operation_id)
            if isinstance(result, Success):
                committed = result.unwrap().change
                if committed.edits:
                    self.assertEqual(change, committed)
                    self.assertGreater(change.revision, edit.seen_revision)
                else:
                    self.check_edit_without_effect(edit, committed.revision, changes)
                continue
            self.assertNotIsInstance(result.failure(), Invalid)
            if not isinstance(result.failure(), Unknown):
                self.assertIsNone(change, f"{result} had an effect")

    def check_edit_without_effect(self, edit, revision, changes):
        """Check that an edit without effect matches the seen or the current value."""
        (row_edit,) = edit.edits
        afters = [
            [
                e.after
                for c in changes[:until]
                for e in c.edits
                if e.name == row_edit.name
            ]
            for until in (edit.seen_revision, revision)
        ]
        last = [records.decode_optional(after[-1]) for after in afters if after]
        self.assertIn(row_edit.values["rate"], [values["rate"] for values in last])

    def check_chain(self, changes, table):
        """Check that each edit starts from the result of the previous one."""
        values = {}
        for change in changes:
            for edit in change.edits:
                self.assertEqual(edit.before, values.get(edit.name, ""))
                values[edit.name] = edit.after
        for name, after in values.items():
            stored = table.store.describe(f"row/organisation/{name}")["value"]
            self.assertEqual(records.encode_optional(stored["values"]), after)


def flatten(results):
    """Flatten the results of all operators."""
    return [item for operator in results for item in operator]


if __name__ == "__main__":
    unittest.main()
