"""Tests of the operators' command-line client."""

import hashlib
import itertools
import json
import logging
import os
import shlex
import tempfile
import unittest
import uuid
from pathlib import Path
from unittest import mock

from parameterized import parameterized
from typer.testing import CliRunner

from sequoiafall import commits, operator_client, operator_session
from sequoiafall.operator_client import app

from .fake_backend import TOKEN, OperatorApiServer
from .fake_table import LATE_EFFECT, LOST_REPLY, OK, OUTAGE

GOLDEN = Path(__file__).parent / "golden" / "operator_session.txt"
SECRET = "s" * 43


class OperatorClientTest(unittest.TestCase):
    """Scripts rely on the output and on the exit codes."""

    def setUp(self):
        # The runner captures standard error, where log lines would mix with output.
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.server = OperatorApiServer()
        self.server.start()
        self.addCleanup(self.server.stop)
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.file = self.directory / "table.csv"
        token_file = self.directory / "token"
        token_file.write_text(TOKEN)
        self.environment = {
            "SEQUOIAFALL_CONTROLLER_URLS": self.server.url,
            "SEQUOIAFALL_OPERATOR_TOKEN_FILE": str(token_file),
            "SEQUOIAFALL_ACTOR": "liga",
            "COLUMNS": "200",
        }
        numbers = itertools.count(1)
        for target, name, value in (
            (operator_session, "ROUND_PAUSE_S", 0),
            (commits, "RETRY_PAUSE_S", 0),
            (operator_client.secrets, "token_urlsafe", lambda _: SECRET),
            (operator_client.secrets, "token_hex", lambda _: "0a1b2c3d"),
            (uuid, "uuid4", lambda: uuid.UUID(int=next(numbers))),
        ):
            patcher = mock.patch.object(target, name, value)
            patcher.start()
            self.addCleanup(patcher.stop)

    def run_client(self, command: str, exit_code=0):
        """Run a command line and check its exit code."""
        result = CliRunner().invoke(app, shlex.split(command), env=self.environment)
        self.assertEqual(result.exit_code, exit_code, result.output)
        return result

    def prepare(self):
        """Create an organisation, a backend server and a key."""
        self.run_client("table edit organisation carvers rate=100 burst=500")
        self.run_client(
            "table edit backend_server e1 address=127.0.0.1:9 pool=p zone=talsi"
        )
        self.run_client("key create carvers --name k1")

    def test_golden_session(self):
        """Any change of the output shows as a difference from the golden file."""
        steps = GOLDEN.read_text().split("\n$ ")
        transcript = [steps[0]]
        for step in steps[1:]:
            command = step.splitlines()[0]
            transcript.append(f"{command}\n{self.run_step(command)}")
        actual = "\n$ ".join(transcript)
        if os.environ.get("UPDATE_GOLDEN"):
            GOLDEN.write_text(actual)
        self.assertMultiLineEqual(actual, GOLDEN.read_text())

    def run_step(self, command: str) -> str:
        """Run a step of the session: a command or a change of the environment."""
        words = shlex.split(command)
        if words[0] == "fault":
            self.server.backend.table.script = words[1:]
            return ""
        if words[0] == "in-force":
            self.server.backend.in_force = words[1] == "yes"
            return ""
        if words[0] == "replace":
            text = self.file.read_text()
            self.assertIn(words[1], text)
            self.file.write_text(text.replace(words[1], words[2]))
            return ""
        arguments = [str(self.file) if w == "table.csv" else w for w in words[1:]]
        result = CliRunner().invoke(app, arguments, env=self.environment)
        self.assertIn(result.exit_code, range(6), result.output)
        text = result.output.replace(self.server.url, "http://controller")
        if not result.output.endswith("\n") and text:
            text += "\n"
        return f"{text}exit code {result.exit_code}\n"

    def test_only_the_digest_of_a_secret_is_sent(self):
        self.prepare()
        secret = f"sqf_{SECRET}"
        stored = json.dumps(self.server.backend.table.store.scan("", "", 100))
        self.assertNotIn(SECRET, stored)
        self.assertIn(hashlib.sha256(secret.encode()).hexdigest(), stored)

    @parameterized.expand(
        [
            ("lost_reply", [OK, LOST_REPLY], 0),
            ("late_effect", [OK, LATE_EFFECT], 0),
            ("outage", [OUTAGE] * 9, 4),
            ("unknown", [OK, LOST_REPLY] + [OUTAGE] * 90, 4),
        ]
    )
    def test_faulty_platform(self, _name, script, exit_code):
        """A lost reply must not lead to a second edit or to a false failure."""
        self.prepare()
        self.server.backend.table.script = list(script)
        result = self.run_client("table edit organisation carvers rate=7", exit_code)
        self.assertEqual("unknown" in result.output, _name == "unknown")
        changes = self.server.backend.table.store.scan("change/", "", 100)
        self.assertEqual(len(changes), 3 if _name == "outage" else 4)

    @parameterized.expand(
        [
            ("edit", "table edit organisation carvers rate=7", True),
            ("withdraw", "key withdraw k1", False),
        ]
    )
    def test_hint_after_an_unknown_outcome(self, _name, command, takes_revision):
        """The hint must not name an option that the command does not have."""
        self.prepare()
        self.server.backend.table.script = [OK, LOST_REPLY] + [OUTAGE] * 90
        result = self.run_client(command, 4)
        self.assertEqual("--seen-revision" in result.output, takes_revision)

    def test_unreachable_controller_is_skipped(self):
        self.prepare()
        unreachable_url = "http://127.0.0.1:1"
        urls = f"{unreachable_url},{self.server.url}"
        self.environment["SEQUOIAFALL_CONTROLLER_URLS"] = urls
        self.run_client("table edit organisation carvers rate=7")
        self.environment["SEQUOIAFALL_CONTROLLER_URLS"] = unreachable_url
        self.run_client("table edit organisation carvers rate=8", 4)

    @parameterized.expand(
        [
            ("kind", "table show color"),
            ("absent", "table show organisation nobody"),
            ("values", "table edit organisation carvers rate"),
            ("nothing", "table edit organisation carvers"),
            ("both", "table edit organisation carvers rate=1 --delete"),
            ("file", "table import absent.csv"),
            ("server", "backend-server clean nobody"),
            ("key", "key create carvers --name k1"),
            ("limit", "audit --limit 0"),
        ]
    )
    def test_bad_input(self, _name, command):
        self.prepare()
        self.run_client(command, 2)
        self.assertEqual(
            json.loads(self.run_client(f"--json {command}", 2).output)["reason"],
            "invalid_request",
        )

    def test_bad_options_are_reported_together(self):
        result = self.run_client("--url x --token-file /absent status", 2)
        self.assertEqual(len(result.output.splitlines()), 2)

    def test_wrong_token(self):
        other = self.directory / "other"
        other.write_text("another-token-0123")
        self.run_client(f"--token-file {other} status", 2)

    def test_import_in_batches(self):
        """A file of any length must be committed in transactions of bounded size."""
        self.prepare()
        rows = "\n".join(f"adapter,a{i},carvers" for i in range(5))
        self.file.write_text(f"#revision,3\nkind,name,organisation\n{rows}\n")
        with mock.patch.object(operator_client, "MAX_EDITS", 2):
            self.run_client(f"table import {self.file}")
        self.assertEqual(len(self.server.backend.table_state().adapters_by_name), 5)
        self.assertEqual(self.server.backend.table_state().revision, 6)


if __name__ == "__main__":
    unittest.main()
