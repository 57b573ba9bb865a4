"""Tests of the operators' table as CSV."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from sequoiafall.table import Adapter, Organisation, Route
from sequoiafall.table_csv import read_csv, write_csv

HEADER = "kind,name,rate,burst\n"
NAMES = st.text("abc.-_@", min_size=1, max_size=8)
NUMBERS = st.floats(0.001, 1e9)
ORGANISATIONS = st.builds(Organisation, NAMES, NUMBERS, NUMBERS, NUMBERS)
ROUTES = st.builds(
    Route, NAMES, NAMES, st.just("") | NAMES, st.booleans(), st.booleans()
)


class TableCsvTest(unittest.TestCase):
    """An export that is imported again must change nothing."""

    @settings(derandomize=True, deadline=None)
    @given(
        st.lists(ORGANISATIONS, unique_by=lambda row: row.name),
        st.lists(ROUTES, unique_by=lambda row: row.name),
    )
    def test_round_trip(self, organisations, routes):
        text = write_csv(7, {"organisation": organisations, "route": routes})
        content = read_csv(text).unwrap()
        self.assertEqual(content.seen_revision, 7)
        rows = [file_row.row for file_row in content.rows]
        self.assertEqual(rows, [*organisations, *routes])

    def test_spreadsheet_formats_are_accepted(self):
        text = "\ufeff#revision,3,,\r\n\r\nkind,name,rate,burst\r\norganisation, a ,1,2"
        content = read_csv(text).unwrap()
        self.assertEqual(content.seen_revision, 3)
        self.assertEqual(content.rows[0].row, Organisation("a", 1, 1, 2))
        self.assertEqual(content.rows[0].number, 4)

    def test_empty_cell_is_the_default(self):
        text = "kind,name,organisation,weight\nadapter,a,o,\n"
        row = read_csv(text).unwrap().rows[0].row
        self.assertEqual(row, Adapter("a", "o", "base", False, 1))

    @parameterized.expand(
        [
            ("empty", "", ["file"]),
            ("only_revision", "#revision,1\n", ["file"]),
            ("quote", 'kind,name\n"a', ["file"]),
            ("revision", "#revision,x\n" + HEADER, ["row 1, column 2"]),
            ("header", "kind,color,kind\n", ["row 1, column 2", "row 1, column 3"]),
            ("kind", HEADER + "color,a,1,2\n", ["row 2, column kind"]),
            (
                "values",
                HEADER + "organisation,a,x,0\norganisation,b,,1\n",
                ["row 2, column rate", "row 2, column burst", "row 3, column rate"],
            ),
            ("long", HEADER + "organisation,a,1,2,3\n", ["row 2"]),
            ("other_kind", HEADER + "key,a,1,\n", ["row 2, column rate"]),
            ("twice", HEADER + "organisation,a,1,2\n" * 2, ["row 3"]),
        ]
    )
    def test_findings(self, _name, text, places):
        found = [finding.place for finding in read_csv(text).failure()]
        self.assertTrue(set(places) <= set(found), found)


if __name__ == "__main__":
    unittest.main()
