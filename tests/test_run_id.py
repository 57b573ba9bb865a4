"""Tests of the identifiers of requests in messages between instances."""

import unittest

from parameterized import parameterized

from sequoiafall.run_id import RunIds, caller_request_id


class RunIdTest(unittest.TestCase):
    """Copies of a request are told apart, and logged under the caller's identifier."""

    @parameterized.expand([("usual", "r1"), ("separator", "a~b.1"), ("empty", "")])
    def test_copies(self, _name, request_id):
        first, second = RunIds("node-1"), RunIds("node-2")
        run_ids = [row.next_id(request_id) for row in (first, first, second)]
        self.assertEqual(len(set(run_ids)), 3)
        for run_id in run_ids:
            self.assertEqual(caller_request_id(run_id), request_id or run_id)

    def test_build_that_sends_the_identifier_of_the_caller(self):
        self.assertEqual(caller_request_id("r1"), "r1")
