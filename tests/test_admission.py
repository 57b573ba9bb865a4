"""Tests of admission."""

import unittest

from parameterized import parameterized

from sequoiafall.admission import (
    Admission,
    rendezvous_order,
    request_cost,
    secret_digest,
    secret_from_header,
    version_sort_key,
)
from sequoiafall.table import TableState, check_edits
from sequoiafall.wire.gen.ttypes import Change

LIMITS = {"rate": 10, "burst": 10}
ENGINE = {"address": "127.0.0.1:1", "zone": "z", "places": 4}


def key(organisation: str, secret: str) -> dict:
    """Return the column values of a key's row."""
    return {"organisation": organisation, "digest": secret_digest(secret)}


class AdmissionTest(unittest.TestCase):
    """Tests authentication, permissions and the resolution of models and routes."""

    def setUp(self):
        self.table = TableState()
        self.admission = Admission(self.table)
        self.commit(
            ("organisation", "a", LIMITS),
            ("organisation", "b", LIMITS),
            ("key", "ka", key("a", "secret-a")),
            ("key", "kb", key("b", "secret-b")),
            ("adapter", "mine", {"organisation": "a"}),
            ("adapter", "open", {"organisation": "b", "open": True}),
            ("adapter_version", "mine@9", {"adapter": "mine", "version": "9"}),
            ("adapter_version", "mine@10", {"adapter": "mine", "version": "10"}),
            ("adapter_version", "open@v1", {"adapter": "open", "version": "v1"}),
            ("backend_server", "e1", {**ENGINE, "pool": "base"}),
            ("route", "closed", {"pool": "p", "organisation": "a"}),
            ("route", "free", {"pool": "p", "organisation": "a", "open": True}),
        )

    def commit(self, *edits):
        checked = check_edits(self.table, edits).unwrap()
        revision = self.table.revision + 1
        change = Change(revision, f"op{revision}", "test", 0, checked)
        self.assertTrue(self.table.apply(change))
        self.admission.apply_change(change)

    def caller(self, secret="secret-a"):
        return self.admission.authenticate(secret).unwrap()

    def reason(self, result):
        return str(result.failure().reason)

    @parameterized.expand([("", "invalid_key"), ("nobody", "invalid_key")])
    def test_unknown_secret(self, secret, reason):
        self.assertEqual(self.reason(self.admission.authenticate(secret)), reason)

    def test_withdrawn_and_deleted_keys(self):
        caller, other = self.caller(), self.caller("secret-b")
        self.commit(("key", "ka", {"state": "withdrawn"}), ("key", "kb", None))
        self.assertEqual(
            self.reason(self.admission.authenticate("secret-a")), "withdrawn_key"
        )
        for held in (caller, other):
            refusal = self.admission.check_key(held)
            self.assertEqual(refusal.reason, "withdrawn_key")

    @parameterized.expand(
        [
            ("highest", "secret-a", "mine", "mine@10"),
            ("named", "secret-a", "mine@9", "mine@9"),
            ("open", "secret-a", "open", "open@v1"),
            ("other", "secret-b", "mine", "not_permitted"),
            ("other_version", "secret-b", "mine@9", "not_permitted"),
            ("unknown", "secret-a", "none", "unknown_adapter"),
            ("unknown_version", "secret-a", "mine@8", "unknown_adapter"),
        ]
    )
    def test_model(self, _name, secret, model, expected):
        result = self.admission.resolve_model(self.caller(secret), model)
        found = result.map(lambda r: r.model).value_or("") or self.reason(result)
        self.assertEqual(found, expected)

    def test_versions_follow_changes(self):
        edits = ("adapter_version", "mine@10", None)
        self.commit(edits)
        self.assertEqual(self.admission.highest_version("mine"), "9")
        self.commit(
            ("adapter_version", "mine@11", {"adapter": "mine", "version": "11"})
        )
        self.assertEqual(self.admission.highest_version("mine"), "11")

    def test_pool_in_service_is_chosen(self):
        mine = self.table.adapters_by_name["mine"]
        self.commit(("backend_server", "e2", {**ENGINE, "pool": "base.c2"}))
        self.commit(("backend_server", "e1", {"state": "cleaning"}))
        self.assertEqual(self.admission.pool_of(mine), "base.c2")
        self.commit(("backend_server", "e2", {"state": "cleaning"}))
        result = self.admission.resolve_model(self.caller(), "mine")
        self.assertEqual(self.reason(result), "no_backend_server")

    @parameterized.expand(
        [
            ("own", "secret-a", "closed", "closed"),
            ("other", "secret-b", "closed", "not_permitted"),
            ("open", "secret-b", "free", "free"),
            ("anonymous", None, "closed", "invalid_key"),
            ("anonymous_open", None, "free", "free"),
            ("unknown", "secret-a", "none", "unknown_route"),
        ]
    )
    def test_route(self, _name, secret, route, expected):
        caller = self.caller(secret) if secret else None
        result = self.admission.resolve_route(caller, route)
        found = result.map(lambda r: r.name).value_or("") or self.reason(result)
        self.assertEqual(found, expected)

    def test_models_of(self):
        self.assertEqual(
            self.admission.models_of(self.caller()), ["mine@10", "mine@9", "open@v1"]
        )


class HelperFunctionsTest(unittest.TestCase):
    """Tests the functions for versions, secrets, costs and rendezvous hashing."""

    @parameterized.expand(
        [("9", "10"), ("v2", "v2.1"), ("1.9", "1.10"), ("2024-9", "2024-10")]
    )
    def test_version_order(self, lower, higher):
        self.assertLess(version_sort_key(lower), version_sort_key(higher))

    @parameterized.expand(
        [("Bearer abc", "abc"), ("Basic abc", ""), (None, ""), ("Bearer ", "")]
    )
    def test_secret_from_header(self, header, secret):
        self.assertEqual(secret_from_header(header), secret)

    @parameterized.expand([("", 1), ("four", 1), ("five5", 2), ("ā" * 4, 2)])
    def test_cost(self, prompt, tokens):
        self.assertEqual(request_cost(prompt, 7).tokens, tokens + 7)

    def test_rendezvous_moves_only_the_keys_of_a_removed_name(self):
        names = ["a", "b", "c", "d"]
        for number in range(200):
            before = rendezvous_order(str(number), names, {})
            after = rendezvous_order(str(number), names[:3], {})
            self.assertEqual([name for name in before if name != "d"], after)

    def test_rendezvous_follows_weights(self):
        weights = {"a": 3.0, "b": 1.0}
        first = [rendezvous_order(str(n), ["a", "b"], weights)[0] for n in range(2000)]
        self.assertAlmostEqual(first.count("a") / 2000, 0.75, delta=0.05)
