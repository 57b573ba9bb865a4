"""Tests of the detection of a caller's key in texts for a backend server."""

import base64
import json
import tracemalloc
import unittest
from urllib.parse import quote

from parameterized import parameterized

from sequoiafall.secret_scan import contains_secret, value_contains_secret

SECRET = "key?of>carvers-0123456789"


def _percent(text: str) -> str:
    return "".join(f"%{byte:02x}" for byte in text.encode())


def _base64(text: str, url_safe: bool = False, padded: bool = True) -> str:
    encode = base64.urlsafe_b64encode if url_safe else base64.b64encode
    encoded = encode(text.encode()).decode()
    return encoded if padded else encoded.rstrip("=")


# The prefixes place the secret at each offset within a group of three bytes.
BASE64_CASES = [
    (f"base64_{len(prefix)}_{url_safe}_{padded}_{len(suffix)}", text)
    for prefix in ("", "u", "u:", "me:")
    for suffix in ("", "~", "~~")
    for url_safe in (False, True)
    for padded in (False, True)
    for text in [_base64(f"{prefix}{SECRET}{suffix}", url_safe, padded)]
]
ENCODED_CASES = [
    ("plain", f"a {SECRET} here"),
    ("percent", quote(SECRET, safe="")),
    ("percent_all", _percent(SECRET)),
    ("percent_twice", quote(quote(SECRET, safe=""), safe="")),
    ("percent_all_twice", _percent(_percent(SECRET))),
    ("basic", "Basic " + _base64(f"user:{SECRET}")),
    ("percent_base64", quote(_base64(f"\0\0{SECRET}~~~"), safe="")),
    ("percent_base64_twice", quote(quote(_base64(SECRET), safe=""), safe="")),
    ("base64_in_lines", base64.encodebytes(b"x" * 40 + SECRET.encode()).decode()),
]
CLEAN_CASES = [
    ("absent", SECRET[:-1]),
    ("absent_percent", quote(SECRET[:-1], safe="") + "%25%2"),
    ("absent_base64", _base64(SECRET[:-2])),
    ("other_base64", _base64(SECRET.swapcase())),
    ("empty", ""),
]
MANY_ESCAPES = "%41" * 5000


class ContainsSecretTest(unittest.TestCase):
    """Guards against a key that reaches a backend server in an encoded form."""

    @parameterized.expand([*BASE64_CASES, *ENCODED_CASES])
    def test_found(self, _name, text):
        self.assertTrue(contains_secret(SECRET, ["other", f"x={text}&y"]))
        self.assertTrue(contains_secret(SECRET, [json.dumps([f'"{text}']).encode()]))
        self.assertTrue(value_contains_secret(SECRET, {"a": [1, {text: None}]}))
        self.assertTrue(value_contains_secret(SECRET, {"a": [text, "b"]}))

    @parameterized.expand(CLEAN_CASES)
    def test_not_found(self, _name, text):
        self.assertFalse(contains_secret(SECRET, [f"x={text}&y", text]))
        self.assertFalse(value_contains_secret(SECRET, {"a": [text, "b"]}))

    @parameterized.expand(
        [case for case in ENCODED_CASES if case[0] != "percent_all_twice"]
    )
    def test_found_among_many_escapes(self, _name, text):
        self.assertTrue(contains_secret(SECRET, [f"{MANY_ESCAPES}{text}&y"]))

    @parameterized.expand(CLEAN_CASES)
    def test_not_found_among_many_escapes(self, _name, text):
        self.assertFalse(contains_secret(SECRET, [f"{MANY_ESCAPES}{text}&y"]))

    @parameterized.expand(
        [
            ("plain", "a secret here", True),
            ("percent", "x=%73ecret", True),
            ("json", '{"a": ["\\u0073ecret"]}', True),
            ("absent", "x=secre%20t", False),
            ("short_base64", _base64("secret"), False),
        ]
    )
    def test_short_secret(self, _name, text, expected):
        self.assertEqual(contains_secret("secret", [text]), expected)

    def test_escaped_in_text_that_is_no_json(self):
        self.assertTrue(contains_secret('a"b-c"d', ['{x: "a\\"b-c\\"d"']))

    def test_no_secret(self):
        self.assertFalse(contains_secret("", ["x"]))
        self.assertFalse(value_contains_secret("", {"a": "x"}))


class MemoryTest(unittest.TestCase):
    """Guards against a process that a body within the limits ends for lack of memory.

    As Python objects, the values of JSON take up to 45 times their bytes.
    """

    SIZE = 1024 * 1024
    BEGIN = '{"note":"caf\\u00e9","lines":[[[7]]'
    END = "]}"

    @parameterized.expand(
        [
            ("short lists", ",[[7]]"),
            ("nested lists", "," + 50 * "[" + 50 * "]"),
            ("objects", ',{"k":1}'),
            ("strings", ',"ab"'),
            ("escaped strings", ',"\\n"'),
            ("numbers", ",1"),
        ]
    )
    def test_large_body(self, _name, row):
        body = self.BEGIN + row * (self.SIZE // len(row)) + self.END
        json.loads(body)
        data = body.encode()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        self.assertFalse(contains_secret(SECRET, [data]))
        _, peak = tracemalloc.get_traced_memory()
        # Forms of the text that are searched are copies of it.
        self.assertLess(peak, 6 * len(data))

    @parameterized.expand(
        [
            ("between lists", '{"a":[[7]],"b":["%s"]}'),
            ("after many strings", "[" + '"\\n",' * 100_000 + '"%s"]'),
            ("key", '{"x":"\\\\","%s":1}'),
            ("after a string that ends in a backslash", '["\\\\","%s"]'),
        ]
    )
    def test_escaped_secret(self, _name, text):
        escaped = "".join(f"\\u{ord(letter):04x}" for letter in SECRET)
        self.assertTrue(contains_secret(SECRET, [text % escaped]))

    @parameterized.expand([('"',), ("\\",), ('"\\',), ('\\"',), ('"a\\n',)])
    def test_text_that_is_no_json(self, unit):
        """Guards against a search that begins anew at each letter."""
        self.assertFalse(contains_secret(SECRET, [unit * (self.SIZE // len(unit))]))
