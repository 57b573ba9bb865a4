"""Tests of the computed section of the capacity page."""

import unittest

from bench.capacity import BEGIN, END, PAGE, computed_section, replace_section
from bench.run import read_results


class CapacityPageTest(unittest.TestCase):
    """The figures on the page must be those of the results file."""

    def test_page_agrees_with_results(self):
        section = computed_section(read_results())
        page = PAGE.read_text()
        self.assertEqual(replace_section(page, section), page)

    def test_page_without_markers_is_refused(self):
        for page in ("", BEGIN, END):
            with self.assertRaisesRegex(ValueError, "markers"):
                replace_section(page, "")


if __name__ == "__main__":
    unittest.main()
