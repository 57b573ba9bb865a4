"""Tests of the identity of a request across its attempts."""

import itertools
import unittest

from sequoiafall.platform.dialect import _shared_parts
from sequoiafall.request_identity import is_identity, request_identity

VALUES = ("org-1", "POST", "shop.example", "/look/x?a=1", b"body")


class RequestIdentityTest(unittest.TestCase):
    """Only the same request of the same organisation has the same identity."""

    def test_each_field_counts(self):
        """Another organisation must not get a request of this one refused."""
        others = ("org-2", "PUT", "shop2.example", "/look/x?a=2", b"body ")
        variants = [VALUES]
        for index, other in enumerate(others):
            changed = list(VALUES)
            changed[index] = other
            variants.append(tuple(changed))
        variants += [(None, *VALUES[1:]), ("", *VALUES[1:])]
        for first, second in itertools.combinations(variants, 2):
            self.assertNotEqual(request_identity(*first), request_identity(*second))

    def test_field_boundaries(self):
        """Text that moves from one field to the next is another request."""
        first = request_identity("org", "GET", "a.example", "/x", b"")
        self.assertNotEqual(
            first, request_identity("orgG", "ET", "a.example", "/x", b"")
        )
        self.assertNotEqual(
            request_identity("org", "GET", "h", "/x", b"yz"),
            request_identity("org", "GET", "h", "/xy", b"z"),
        )

    def test_same_request(self):
        host = VALUES[2].upper()
        again = request_identity(*VALUES[:2], host, *VALUES[3:])
        self.assertEqual(again, request_identity(*VALUES))

    def test_host_with_port(self):
        """Instances have ports of their own, which routes do not depend on."""
        for host in ("shop.example:8080", "shop.example:8081", "SHOP.example:"):
            again = request_identity(*VALUES[:2], host, *VALUES[3:])
            self.assertEqual(again, request_identity(*VALUES), host)

    def test_no_part_equals_an_identity(self):
        """A caller must not name a prompt part that equals another's identity."""
        identity = request_identity(*VALUES)
        self.assertTrue(is_identity(identity))
        for text in (f"{identity},own:5", f"{identity}:5,own:5"):
            self.assertFalse(any(is_identity(part) for part in _shared_parts(text)))

    def test_undecodable_header(self):
        """A host that is not valid text must not end in an error."""
        request_identity("org", "GET", "a\udcff\ud800", "/x", b"")
