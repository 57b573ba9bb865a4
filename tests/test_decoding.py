"""Tests that no value from outside the process raises an error of the decoder."""

import ast
import unittest
from pathlib import Path

import msgspec
from parameterized import parameterized
from returns.result import Failure

from sequoiafall.channel import encode_struct
from sequoiafall.completion_bodies import CHAT_PATH, parse_completion
from sequoiafall.crash_evidence import CrashEvidence
from sequoiafall.decoding import decode_json, decode_msgpack
from sequoiafall.evidence_exchange import EvidenceExchange
from sequoiafall.lease import LEASE_KEY, LEASE_TABLE, LeaseRecord
from sequoiafall.operator_api import parse_edit_request
from sequoiafall.row_store import StoreRow
from sequoiafall.secret_scan import contains_secret
from sequoiafall.stored_evidence import (
    HARMFUL_PARTS_KEY,
    REPEATED_SUSPECTS_KEY,
    StoredEvidence,
)
from sequoiafall.stored_streams import SOFTWARE_VERSIONS_KEY, StoredStreams
from sequoiafall.stream_versions import StreamVersions
from sequoiafall.table import decode_row
from sequoiafall.wire.gen import ttypes

from .test_harmful_prompts import MemoryStore

PACKAGE = Path(__file__).resolve().parent.parent / "sequoiafall"
# Modules that decode bytes without the functions of `decoding`: the functions
# themselves, and those that read log lines or what the tests send to stand-ins.
EXEMPT = ("decoding.py", "request_timeline.py", "recording.py")
NESTING = 8000
DEEP_JSON = b'{"x":' + b"[" * NESTING + b"]" * NESTING + b"}"
SECRET = "a-secret-of-some-length"


class DecodingTest(unittest.TestCase):
    """All failures are errors of one type."""

    @parameterized.expand(
        [
            ("deep", decode_json, b"[" * NESTING + b"]" * NESTING),
            ("deep_and_broken_off", decode_json, b"[" * NESTING),
            ("deep_objects", decode_json, b'{"a":' * NESTING),
            ("not_utf_8", decode_json, b'"\xff"'),
            ("empty", decode_json, b""),
            ("deep_msgpack", decode_msgpack, b"\x91" * NESTING + b"\xc0"),
            ("empty_msgpack", decode_msgpack, b""),
        ]
    )
    def test_errors(self, _name, decode, content):
        with self.assertRaises(msgspec.DecodeError):
            decode(content)

    def test_all_modules_use_it(self):
        """A module that calls the codec itself lets its other errors pass."""
        found = []
        for path in sorted(PACKAGE.rglob("*.py")):
            if path.name in EXEMPT:
                continue
            for node in ast.walk(ast.parse(path.read_text())):
                name = ast.unparse(node) if isinstance(node, ast.Attribute) else ""
                if name in (
                    "msgspec.json.decode",
                    "msgspec.json.Decoder",
                    "msgspec.msgpack.decode",
                    "msgspec.msgpack.Decoder",
                    "json.loads",
                ):
                    found.append(f"{path.name}:{node.lineno}")
        self.assertEqual(found, [])


class DeepValueTest(unittest.TestCase):
    """What reads values of others reports a deeply nested one as unreadable."""

    def test_lease(self):
        row = StoreRow(LEASE_TABLE, LEASE_KEY, DEEP_JSON, 3)
        self.assertIsNone(LeaseRecord.from_row(row))

    def test_body_of_a_completion(self):
        self.assertIsInstance(parse_completion(CHAT_PATH, DEEP_JSON), Failure)

    def test_edit_of_an_operator(self):
        self.assertIsInstance(parse_edit_request(DEEP_JSON), Failure)

    def test_row_of_the_operators_table(self):
        with self.assertRaises(ValueError):
            decode_row("organisation", DEEP_JSON.decode())

    @parameterized.expand([(900,), (NESTING,)])
    def test_secret_in_a_deep_body(self, nesting):
        """Only a body with a backslash is searched as JSON."""
        text = rb'"a\nb", "%b"' % SECRET.encode()
        body = b"[" * nesting + text + b"]" * nesting
        self.assertTrue(contains_secret(SECRET, [body]))
        self.assertFalse(contains_secret("another secret", [body]))

    def test_live_versions(self):
        versions = StreamVersions()
        row = StoreRow(LEASE_TABLE, SOFTWARE_VERSIONS_KEY, DEEP_JSON, 3)
        StoredStreams(versions, MemoryStore()).apply_versions_row(row)
        self.assertFalse(versions.is_known)


class StoredEvidenceTest(unittest.IsolatedAsyncioTestCase):
    """A row of evidence that cannot be read keeps no other one from being read."""

    @parameterized.expand([HARMFUL_PARTS_KEY, REPEATED_SUSPECTS_KEY])
    async def test_deep_row(self, key):
        store = MemoryStore()
        store.rows_by_key[key] = StoreRow(LEASE_TABLE, key, DEEP_JSON, 3)
        stored = StoredEvidence(CrashEvidence(), store)
        await stored.load()
        self.assertTrue(stored.is_loaded)


def suspect(**changes):
    """Return a suspect as it is stored, whose crash has some other values."""
    crash = {"server": "s1", "born": 1, "age_s": 1.0}
    values = {"part": "p1", "failed_trials": 0, "trial_in_s": 1.0}
    for name, value in changes.items():
        (crash if name in crash else values)[name] = value
    return {
        **values,
        "suspect": values["part"],
        "crashes": [crash, {**crash, "born": 2}],
    }


class OddEvidenceTest(unittest.IsolatedAsyncioTestCase):
    """Stored numbers that do not fit into messages must not reach one.

    A member whose polls could not be encoded stayed out of the fleet.
    """

    @parameterized.expand(
        [
            (key, name, value)
            for key in (HARMFUL_PARTS_KEY, REPEATED_SUSPECTS_KEY)
            for name, value in (
                ("born", 10**30),
                ("born", -(10**30)),
                ("age_s", 1e308),
                ("age_s", -1e308),
                ("failed_trials", 10**30),
                ("trial_in_s", 1e308),
                ("trial_in_s", -1e308),
            )
        ]
    )
    async def test_one_odd_suspect(self, key, name, value):
        odd, sound = suspect(part="odd", **{name: value}), suspect(part="sound")
        content = [odd, sound]
        if key == REPEATED_SUSPECTS_KEY:
            content = {"written_at": -1e308, "suspects": content}
        store = MemoryStore()
        encoded = msgspec.json.encode(content)
        store.rows_by_key[key] = StoreRow(LEASE_TABLE, key, encoded, 3)
        evidence = CrashEvidence()
        exchange = EvidenceExchange(evidence, store, b"", bool, bool, list)
        await exchange.load()
        self.assertTrue(exchange.is_known)
        sent = exchange.since_revision(0)
        self.assertIn("sound", [row.part for row in sent])
        for row in sent:
            notice = ttypes.EvidenceNotice(evidence=[row])
            self.assertTrue(encode_struct(notice))
