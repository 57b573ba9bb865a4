"""Tests of the software versions of services and streams, without network."""

import unittest
from unittest.mock import patch

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from sequoiafall import stream_versions
from sequoiafall.stream_versions import (
    KEY_BYTES,
    MAX_EXPIRED_PER_CALL,
    VERSION_RETAIN_S,
    StreamVersions,
    TakeUpResult,
    stream_key,
)

NOW = 1000.0
LATER = NOW + VERSION_RETAIN_S
SERVICE = "assist"
KNOWN, SINGLE, UNKNOWN = TakeUpResult


def announced(versions, *names, service=SERVICE, at=NOW):
    """Announce the versions of one service."""
    versions.set_announced({service: names}, at)


def known_versions(*names):
    """Return the versions of an instance that has loaded the history."""
    versions = StreamVersions()
    versions.is_known = True
    announced(versions, *names)
    return versions


def key_of(number):
    """Return the key of a stream."""
    return stream_key("org-1", f"attempt-{number}")


KEY = key_of(1)


class LiveVersionsTest(unittest.TestCase):
    """Which versions of a service may still have streams."""

    @parameterized.expand(
        [
            # Announced versions by time, then the live ones at a time.
            ("none", [(NOW, "")], NOW, ""),
            ("one", [(NOW, "a")], NOW, "a"),
            ("one, much later", [(NOW, "a")], LATER + 1e6, "a"),
            ("two", [(NOW, "ab")], NOW, "ab"),
            ("three", [(NOW, "abc")], NOW, "abc"),
            ("left just now", [(NOW, "ab"), (NOW + 1, "b")], NOW + 1, "ab"),
            ("left almost too long ago", [(NOW, "ab"), (NOW, "b")], LATER - 0.1, "ab"),
            ("left too long ago", [(NOW, "ab"), (NOW, "b")], LATER, "b"),
            ("not both at once", [(NOW, "a"), (NOW + 1, "b")], NOW + 2, "ab"),
            ("all left", [(NOW, "ab"), (NOW, "")], LATER - 0.1, "ab"),
            ("all left long ago", [(NOW, "ab"), (NOW, "")], LATER, ""),
            (
                "release in steps",
                [(NOW, "a"), (NOW + 10, "ab"), (NOW + 30, "b")],
                LATER + 29,
                "ab",
            ),
            (
                "release that is over",
                [(NOW, "a"), (NOW + 10, "ab"), (NOW + 30, "b")],
                LATER + 30,
                "b",
            ),
            (
                "rollback",
                [(NOW, "a"), (NOW + 1, "ab"), (NOW + 2, "a")],
                LATER + 1,
                "ab",
            ),
            (
                "rollback that is over",
                [(NOW, "a"), (NOW + 1, "ab"), (NOW + 2, "a")],
                LATER + 2,
                "a",
            ),
            (
                "left and came back",
                [(NOW, "ab"), (NOW + 1, "a"), (NOW + 2, "ab")],
                LATER + 100,
                "ab",
            ),
            (
                "left twice",
                [(NOW, "ab"), (NOW + 1, "a"), (NOW + 2, "ab"), (NOW + 50, "a")],
                LATER + 49,
                "ab",
            ),
        ]
    )
    def test_announced(self, _name, steps, at, live):
        versions = StreamVersions()
        for step_at, names in steps:
            announced(versions, *names, at=step_at)
        self.assertEqual(versions.live_versions(SERVICE, at), frozenset(live))
        self.assertEqual(versions.has_several(SERVICE, at), len(live) > 1)
        several = {SERVICE: sorted(live)} if len(live) > 1 else {}
        self.assertEqual(versions.several_by_service(at), several)

    def test_repeated_entries_do_not_prolong_a_version_that_left(self):
        versions = known_versions("a", "b")
        for number in range(60):
            announced(versions, "b", at=NOW + number)
        self.assertEqual(versions.live_versions(SERVICE, LATER), {"b"})

    def test_version_without_a_text(self):
        """Entries without a version are of another one than those with one."""
        versions = known_versions("", "a")
        self.assertEqual(versions.several_by_service(NOW), {SERVICE: ["", "a"]})

    def test_service_that_is_gone(self):
        versions = known_versions("a", "b")
        versions.set_announced({"other": ["x"]}, NOW)
        self.assertEqual(versions.live_versions(SERVICE, LATER - 0.1), {"a", "b"})
        self.assertEqual(versions.live_versions(SERVICE, LATER), frozenset())
        self.assertEqual(versions.live_versions("other", LATER), {"x"})

    @parameterized.expand(
        [
            ("new", "b", LATER - 0.1, "ab"),
            ("new, too long ago", "b", LATER, "a"),
            ("announced", "a", LATER + 1e6, "a"),
            ("both", "ab", LATER - 0.1, "ab"),
            ("both, too long ago", "ab", LATER, "a"),
            ("none", "", NOW, "a"),
        ]
    )
    def test_merged(self, _name, merged, at, live):
        """What the store or a peer names neither shortens nor adds for long."""
        versions = known_versions("a")
        versions.merge({SERVICE: list(merged)}, NOW)
        self.assertEqual(versions.live_versions(SERVICE, at), frozenset(live))

    def test_merged_before_the_entries_are_read(self):
        """A row of the store must not end the time of a version that serves."""
        versions = StreamVersions()
        versions.merge({SERVICE: ["a", "b"]}, NOW)
        announced(versions, "a", at=NOW + 1)
        self.assertEqual(versions.live_versions(SERVICE, LATER - 0.1), {"a", "b"})
        self.assertEqual(versions.live_versions(SERVICE, LATER), {"a"})
        announced(versions, "c", at=LATER)
        self.assertEqual(versions.live_versions(SERVICE, LATER + 59), {"a", "c"})

    def test_merged_while_it_is_retained(self):
        versions = known_versions("a", "b")
        announced(versions, "a", at=NOW)
        versions.merge({SERVICE: ["b"]}, NOW + 30)
        self.assertEqual(versions.live_versions(SERVICE, LATER + 29), {"a", "b"})
        self.assertEqual(versions.live_versions(SERVICE, LATER + 30), {"a"})

    def test_revision(self):
        """It grows with each change, and with nothing else."""
        versions = StreamVersions()
        seen = [versions.revision]

        def check(grows):
            self.assertEqual(versions.revision > seen[-1], grows)
            seen.append(versions.revision)

        announced(versions, "a")
        check(True)
        announced(versions, "a", at=NOW + 1)
        check(False)
        versions.merge({SERVICE: ["a"], "empty": []}, NOW + 1)
        check(False)
        versions.record(KEY, SERVICE, "a", LATER)
        check(False)
        announced(versions, "a", "b", at=NOW + 1)
        check(True)
        announced(versions, "b", at=NOW + 1)
        check(False)
        versions.live_versions(SERVICE, LATER)
        check(False)
        versions.several_by_service(LATER + 1)
        check(True)
        versions.merge({SERVICE: ["c"]}, LATER + 1)
        check(True)


class DecisionTest(unittest.TestCase):
    """At which version a stream that a caller takes up may go on."""

    @parameterized.expand(
        [
            # Live versions, origins of the key, and the decision.
            ("no version", "", [], (UNKNOWN, "")),
            ("single version", "a", [], (SINGLE, "a")),
            ("two versions", "ab", [], (UNKNOWN, "")),
            ("three versions", "abc", [], (UNKNOWN, "")),
            ("known", "ab", [("b", 10)], (KNOWN, "b")),
            ("known, single version", "a", [("a", 10)], (KNOWN, "a")),
            ("known, but the version is gone", "b", [("a", 10)], (KNOWN, "a")),
            ("recorded twice", "ab", [("a", 10), ("b", 10)], (KNOWN, "b")),
            ("recorded twice, shorter", "ab", [("a", 10), ("b", 5)], (KNOWN, "b")),
            ("expired", "ab", [("a", 0)], (UNKNOWN, "")),
            ("expired, single version", "b", [("a", -1)], (SINGLE, "b")),
            ("expired anew", "ab", [("a", 10), ("a", 0)], (UNKNOWN, "")),
        ]
    )
    def test_decision(self, _name, live, records, decision):
        versions = known_versions(*live)
        for software, left_s in records:
            versions.record(KEY, SERVICE, software, NOW + left_s)
        self.assertEqual(versions.decide(KEY, SERVICE, NOW), decision)
        known = decision[1] if decision[0] is KNOWN else None
        self.assertEqual(versions.find(KEY, SERVICE, NOW), known)

    @parameterized.expand(
        [
            ("single version", ("a",), ("a",), (UNKNOWN, "")),
            ("several versions", ("a", "b"), ("a", "b"), (UNKNOWN, "")),
            ("the same version", ("a", "b"), ("b",), (UNKNOWN, "")),
        ]
    )
    def test_stream_of_another_service(self, _name, here, there, decision):
        """A route that moved to another service refuses the streams it had before."""
        versions = StreamVersions()
        versions.is_known = True
        versions.set_announced({SERVICE: here, "other": there}, NOW)
        versions.record(KEY, "other", there[-1], NOW + 10)
        self.assertEqual(versions.decide(KEY, SERVICE, NOW), decision)
        self.assertIsNone(versions.find(KEY, SERVICE, NOW))
        self.assertEqual(versions.find(KEY, "other", NOW), there[-1])

    def test_stream_of_another_organisation(self):
        """An identifier that another organisation names as well finds nothing."""
        versions = known_versions("a", "b")
        versions.record(stream_key("org-1", "x"), SERVICE, "a", NOW + 10)
        decision = versions.decide(stream_key("org-2", "x"), SERVICE, NOW)
        self.assertEqual(decision, (UNKNOWN, ""))
        versions.record(stream_key("org-2", "x"), SERVICE, "b", NOW + 10)
        decision = versions.decide(stream_key("org-1", "x"), SERVICE, NOW)
        self.assertEqual(decision, (KNOWN, "a"))

    @parameterized.expand([("single", "a"), ("several", "ab")])
    def test_history_that_is_not_known(self, _name, live):
        """An instance that has just started cannot tell what served before."""
        versions = known_versions(*live)
        versions.is_known = False
        self.assertEqual(versions.decide(KEY, SERVICE, NOW), (UNKNOWN, ""))
        versions.record(KEY, SERVICE, "a", NOW + 10)
        self.assertEqual(versions.decide(KEY, SERVICE, NOW), (KNOWN, "a"))

    @parameterized.expand(
        [("single", "a", (SINGLE, "a")), ("two", "ab", (UNKNOWN, ""))]
    )
    def test_empty_key(self, _name, live, decision):
        """A caller that names no attempt gets no stream of others that do not."""
        versions = known_versions(*live)
        versions.record(b"", SERVICE, "a", NOW + 10)
        self.assertEqual(len(versions), 0)
        self.assertIsNone(versions.find(b"", SERVICE, NOW))
        self.assertEqual(versions.decide(b"", SERVICE, NOW), decision)

    @parameterized.expand(
        [
            ("only such servers", ("",), (KNOWN, "")),
            ("beside a version", ("", "a"), (UNKNOWN, "")),
            ("replaced by a version", ("a",), (UNKNOWN, "")),
        ]
    )
    def test_stream_of_a_server_without_a_version(self, _name, live, decision):
        """An empty version would let the stream go on at a server of any version."""
        versions = known_versions(*live)
        versions.record(KEY, SERVICE, "", NOW + 10)
        self.assertEqual(versions.decide(KEY, SERVICE, NOW), decision)

    def test_release_and_rollback(self):
        versions = known_versions("a")
        self.assertEqual(versions.decide(KEY, SERVICE, NOW), (SINGLE, "a"))
        announced(versions, "a", "b", at=NOW + 1)
        versions.record(key_of(2), SERVICE, "b", NOW + 90)
        self.assertEqual(versions.decide(KEY, SERVICE, NOW + 1), (UNKNOWN, ""))
        announced(versions, "a", at=NOW + 2)
        for at in (NOW + 2, NOW + 61.9):
            self.assertEqual(versions.decide(KEY, SERVICE, at), (UNKNOWN, ""))
            self.assertEqual(versions.decide(key_of(2), SERVICE, at), (KNOWN, "b"))
        self.assertEqual(versions.decide(KEY, SERVICE, NOW + 62), (SINGLE, "a"))
        decision = versions.decide(key_of(2), SERVICE, NOW + 62)
        self.assertEqual(decision, (KNOWN, "b"))


class KeyTest(unittest.TestCase):
    """Keys of streams, whatever callers name as an attempt."""

    TEXTS = [
        "",
        "a",
        "a" * 1_000_000,
        "é",
        "流",
        "\udce9",
        "\ud800",
        "\x00",
        "a\x00b",
        "a b",
    ]

    def test_texts(self):
        keys = {stream_key("org-1", text) for text in self.TEXTS}
        self.assertEqual(len(keys), len(self.TEXTS))
        self.assertEqual({len(key) for key in keys}, {KEY_BYTES})
        for text in self.TEXTS:
            self.assertIn(stream_key("org-1", text), keys)

    def test_boundary_of_the_fields(self):
        self.assertNotEqual(stream_key("ab", "c"), stream_key("a", "bc"))

    def test_other_processes(self):
        """All instances compute the same key."""
        key = stream_key("org-1", "attempt-1")
        self.assertEqual(key.hex(), "017998e20621d310")


class OriginsSinceTest(unittest.TestCase):
    """Which origins are stored, or sent to a leader."""

    def setUp(self):
        self.versions = StreamVersions()
        self.number = 0

    def record(self, *numbers, service=SERVICE, left_s=30.0):
        for number in numbers:
            self.versions.record(key_of(number), service, "a", NOW + left_s)

    def check(self, *numbers, at=NOW):
        """Check which streams are new since the last check."""
        origins, self.number = self.versions.origins_since(self.number, at)
        keys = [origin.key for origin in origins]
        self.assertEqual(keys, [key_of(number) for number in numbers])

    def test_single_version(self):
        announced(self.versions, "a")
        self.record(1, 2)
        self.check()

    def test_only_services_with_several_versions(self):
        self.versions.set_announced({SERVICE: "ab", "other": "a"}, NOW)
        self.record(1)
        self.record(2, service="other")
        self.record(3)
        self.check(1, 3)

    def test_nothing_twice(self):
        announced(self.versions, "a", "b")
        self.check()
        self.record(1, 2)
        self.check(1, 2)
        self.check()
        self.record(3)
        self.check(3)
        announced(self.versions, "a", "b", "c", at=NOW + 1)
        self.check()

    def test_recorded_again(self):
        announced(self.versions, "a", "b")
        self.record(1, 2)
        self.check(1, 2)
        self.record(1)
        self.check(1)
        self.record(2, 3, 2)
        self.check(3, 2)

    @parameterized.expand([("announced",), ("merged",)])
    def test_service_begins_to_have_several(self, way):
        """Its earlier streams must last as well; those of others are not sent again."""
        self.versions.set_announced({SERVICE: "a", "other": "ab"}, NOW)
        self.record(1, 2)
        self.record(3, service="other")
        self.check(3)
        self.record(4)
        self.check()
        if way == "announced":
            self.versions.set_announced({SERVICE: "ab", "other": "ab"}, NOW)
        else:
            self.versions.merge({SERVICE: ["c"]}, NOW)
        self.record(5, service="other")
        self.record(6)
        self.check(1, 2, 4, 5, 6)
        self.check()

    def test_service_has_several_again(self):
        announced(self.versions, "a", "b")
        self.record(1, left_s=300.0)
        self.check(1)
        announced(self.versions, "a")
        self.check(at=LATER)
        announced(self.versions, "a", "c", at=LATER + 1)
        self.check(1, at=LATER + 1)

    def test_expired(self):
        announced(self.versions, "a", "b")
        self.record(1, left_s=5.0)
        self.record(2, left_s=10.0)
        self.check(2, at=NOW + 5.0)

    def test_from_the_beginning(self):
        """A new leader and a first poll need all of them."""
        announced(self.versions, "a", "b")
        self.record(1, 2)
        self.check(1, 2)
        self.record(3)
        self.number = 0
        self.check(1, 2, 3)

    @settings(max_examples=200, deadline=None)
    @given(
        st.lists(
            st.one_of(
                st.tuples(st.just("record"), st.integers(0, 5), st.sampled_from("xy")),
                st.tuples(
                    st.just("announce"), st.integers(0, 3), st.sampled_from("xy")
                ),
                st.tuples(st.just("read"), st.just(0), st.just("")),
            ),
            max_size=30,
        )
    )
    def test_reader_has_all_of_them(self, steps):
        """A reader that adds what is new has what a reader of everything has."""
        versions = StreamVersions()
        names_by_service = {"x": [], "y": []}
        seen, number = {}, 0
        for step, value, service in [*steps, ("read", 0, "")]:
            if step == "record":
                versions.record(key_of(value), service, f"v{value}", NOW + 30.0)
            elif step == "announce":
                names_by_service[service] = "abc"[:value]
                versions.set_announced(names_by_service, NOW)
            else:
                fresh, number = versions.origins_since(number, NOW)
                self.assertEqual(len({row.key for row in fresh}), len(fresh))
                seen.update((row.key, row) for row in fresh)
                self.assertEqual(versions.origins_since(number, NOW)[0], [])
        for origin in versions.origins_since(0, NOW)[0]:
            self.assertEqual(seen[origin.key], origin)


class BoundsTest(unittest.TestCase):
    """Memory and work are bounded, whatever callers send."""

    def test_oldest_origins_are_dropped(self):
        versions = known_versions("a", "b")
        with patch.object(stream_versions, "MAX_ORIGINS", 100):
            for number in range(100):
                versions.record(key_of(number), SERVICE, "a", NOW + 30.0)
            # A later record makes an origin young again.
            versions.record(key_of(0), SERVICE, "b", NOW + 30.0)
            for number in range(100, 150):
                versions.record(key_of(number), SERVICE, "a", NOW + 30.0)
        self.assertEqual(len(versions), 100)
        self.assertEqual(versions.find(key_of(0), SERVICE, NOW), "b")
        self.assertIsNone(versions.find(key_of(50), SERVICE, NOW))
        self.assertEqual(versions.find(key_of(51), SERVICE, NOW), "a")

    def test_times_are_bounded(self):
        """Dropped origins with a long time left must not be kept as times either."""
        versions = known_versions("a", "b")
        with patch.object(stream_versions, "MAX_ORIGINS", 10):
            for number in range(1000):
                versions.record(key_of(number), SERVICE, "a", NOW + 1e6)
        self.assertEqual(len(versions), 10)
        self.assertLessEqual(len(versions._expiries), 20)

    def test_one_stream_that_is_recorded_often(self):
        versions = known_versions("a", "b")
        for number in range(1000):
            versions.record(KEY, SERVICE, "a", NOW + number)
        self.assertEqual((len(versions), len(versions._expiries)), (1, 1))

    def test_long_time_left_does_not_keep_others(self):
        versions = known_versions("a", "b")
        versions.record(KEY, SERVICE, "a", NOW + 1e6)
        for number in range(2, 10):
            versions.record(key_of(number), SERVICE, "a", NOW + 1.0)
        versions.live_versions(SERVICE, NOW + 1.0)
        self.assertEqual(len(versions), 1)

    def test_time_that_a_later_record_prolongs(self):
        versions = known_versions("a", "b")
        versions.record(KEY, SERVICE, "a", NOW + 1.0)
        versions.record(KEY, SERVICE, "a", NOW + 5.0)
        self.assertEqual(versions.find(KEY, SERVICE, NOW + 2.0), "a")
        versions.live_versions(SERVICE, NOW + 5.0)
        self.assertEqual(len(versions), 0)

    def test_expired_ones_are_dropped_in_parts(self):
        count = 10 * MAX_EXPIRED_PER_CALL
        versions = known_versions("a", "b")
        for number in range(count):
            versions.record(key_of(number), SERVICE, "a", NOW + 1.0)
        for calls in range(1, 11):
            versions.find(KEY, SERVICE, NOW + 2.0)
            self.assertEqual(len(versions), count - calls * MAX_EXPIRED_PER_CALL)
        self.assertEqual(versions._expiries, [])

    def test_recording_alone_drops_them(self):
        """An instance that only records does not grow."""
        versions = known_versions("a", "b")
        for number in range(1000):
            at = NOW + number
            versions.record(key_of(number), SERVICE, "a", at + 10.0)
            versions.live_versions(SERVICE, at)
        self.assertLessEqual(len(versions), 11)

    def test_clock_that_is_read_late(self):
        """Calls with an earlier time than the last one bring nothing back."""
        versions = known_versions("a", "b")
        versions.record(KEY, SERVICE, "a", NOW + 1.0)
        versions.live_versions(SERVICE, NOW + 2.0)
        self.assertIsNone(versions.find(KEY, SERVICE, NOW + 1.5))

    def test_services_that_are_gone(self):
        versions = StreamVersions()
        for number in range(100):
            announced(versions, "a", service=f"s{number}", at=NOW + number)
        versions.several_by_service(NOW + 1000.0)
        self.assertEqual(list(versions._by_service), ["s99"])
