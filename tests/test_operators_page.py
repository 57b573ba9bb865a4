"""Tests that docs/OPERATORS.md lists the settings, reasons and metrics of the code."""

import re
import unittest
from pathlib import Path

from parameterized import parameterized

from sequoiafall import controller_config, gateway
from sequoiafall.controller_metrics import ControllerMetrics
from sequoiafall.gateway_metrics import GatewayMetrics
from sequoiafall.refusal import Reason, Refusal
from sequoiafall.standins import engine, plain_service, platform
from sequoiafall.table import ROW_TYPES_BY_KIND

PAGE = Path(__file__).resolve().parent.parent / "docs" / "OPERATORS.md"
SETTINGS_BY_PROGRAM = {
    "sequoiafall-controller": controller_config.SETTINGS,
    "sequoiafall-gateway": gateway.SETTINGS,
    "sequoiafall-platform": platform.SETTINGS,
    "sequoiafall-engine": engine.SETTINGS,
    "sequoiafall-plain-service": plain_service.SETTINGS,
}


def rows_after(heading):
    """Return the cells of the table whose heading or first cell is given."""
    rows = []
    is_found = False
    for line in PAGE.read_text().splitlines():
        is_table = line.startswith("|")
        if line.startswith((heading, f"| {heading} |")):
            is_found = True
        elif is_found and is_table:
            rows.append([cell.strip(" `") for cell in line.strip("|").split("|")])
        elif is_found and rows:
            break
    return [row for row in rows if not set(row[0]) <= set("- ")]


class OperatorsPageTest(unittest.TestCase):
    """Guards against names that only the page or only the code has."""

    @parameterized.expand(list(SETTINGS_BY_PROGRAM.items()))
    def test_settings(self, program, settings):
        listed = [row for row in rows_after(f"### `{program}`") if row[0] != "Flag"]
        expected = []
        for setting in settings:
            default = "required" if setting.default is None else setting.default
            name = f"--{setting.name}"
            row = [name, setting.variable, setting.help, default or "none"]
            expected.append(row)
        self.assertEqual(listed, expected)

    def test_no_other_variables(self):
        """A variable of a removed setting must not stay in the text."""
        known = {s.variable for all_ in SETTINGS_BY_PROGRAM.values() for s in all_}
        client = (
            Path(controller_config.__file__).with_name("operator_client.py").read_text()
        )
        known.update(re.findall(r'envvar="(\w+)"', client))
        named = set(re.findall(r"SEQUOIAFALL_\w+", PAGE.read_text()))
        self.assertEqual(named, known)

    def test_refusal_reasons(self):
        listed = {row[0]: int(row[1]) for row in rows_after("Reason")}
        self.assertEqual(listed, {str(r): Refusal(r).status for r in Reason})

    @parameterized.expand(
        [("controller", ControllerMetrics), ("gateway", GatewayMetrics)]
    )
    def test_metrics(self, process, metrics):
        listed = [row[0] for row in rows_after(f"Metric of a {process}")]
        names = [collector.name for collector in metrics().registry.get_all()]
        self.assertEqual(sorted(listed), sorted(names))

    def test_alerts_name_known_metrics(self):
        """An alert on a metric that does not exist never fires."""
        registries = (ControllerMetrics().registry, GatewayMetrics().registry)
        known = {c.name for registry in registries for c in registry.get_all()}
        named = set(re.findall(r"`(sequoiafall_\w+)", PAGE.read_text()))
        self.assertEqual(named, known)

    def test_columns_of_the_table(self):
        listed = {
            kind: re.findall(r"(?:^|, )`?(\w+)`?", re.sub(r"\([^)]*\)", "", columns))
            for kind, columns in (row[:2] for row in rows_after("Kind"))
        }
        self.assertEqual(list(listed), list(ROW_TYPES_BY_KIND))
        for kind, row_type in ROW_TYPES_BY_KIND.items():
            self.assertEqual(
                listed[kind][: len(row_type.columns())], row_type.columns()
            )


if __name__ == "__main__":
    unittest.main()
