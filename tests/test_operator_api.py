"""Tests of the operators' HTTP API."""

import unittest
from unittest import mock

from aiohttp import web
from aiohttp.test_utils import TestClient, TestServer
from parameterized import parameterized

from sequoiafall import audit
from sequoiafall.operator_api import OperatorApi, parse_edit_request

from .fake_backend import TOKEN, FakeBackend
from .fake_table import LOST_REPLY, OK, OUTAGE

EDIT = {
    "kind": "organisation",
    "name": "carvers",
    "values": {"rate": 1, "burst": 2},
}


def body(**changes) -> dict:
    """Return the body of an edit with some fields replaced."""
    return {"seen_revision": 0, "actor": "liga", "edits": [EDIT], **changes}


class OperatorApiTest(unittest.IsolatedAsyncioTestCase):
    """The status and the field `ran` must tell whether an edit had an effect."""

    async def asyncSetUp(self):
        self.backend = FakeBackend()
        app = web.Application()
        app.add_routes(OperatorApi(self.backend, TOKEN.encode()).routes())
        headers = {"Authorization": f"Bearer {TOKEN}"}
        self.client = TestClient(TestServer(app), headers=headers)
        await self.client.start_server()
        self.addAsyncCleanup(self.client.close)

    async def post(self, payload):
        response = await self.client.post("/table/edits", json=payload)
        return response, await response.json()

    @parameterized.expand(
        [
            ("table", "GET", "/table/key"),
            ("edits", "POST", "/table/edits"),
            ("audit", "GET", "/audit"),
            ("status", "GET", "/status"),
            ("explain", "GET", "/explain"),
        ]
    )
    async def test_token_is_required(self, _name, method, path):
        for token in ("", "Bearer ", f"Bearer {TOKEN}x", TOKEN, "Bearer \u00e4"):
            response = await self.client.request(
                method, path, headers={"Authorization": token}
            )
            self.assertEqual(response.status, 401)

    @parameterized.expand(
        [
            ("no_json", b"{", ["body"]),
            ("no_utf8", b'{"actor": "\xff"}', ["body"]),
            ("list", b"[]", ["body"]),
            ("empty", b"{}", ["seen_revision", "actor", "edits"]),
            (
                "many",
                b'{"seen_revision": true, "actor": "", "color": 1, "edits": '
                b'[{"kind": 1, "name": "a", "values": []}, 7, {"kind": "key"}]}',
                [
                    "seen_revision",
                    "actor",
                    "color",
                    "edits[1].kind",
                    "edits[1].values",
                    "edits[2]",
                    "edits[3].name",
                    "edits[3].values",
                ],
            ),
            ("negative", b'{"seen_revision": -1, "actor": "a", "edits": []}', None),
        ]
    )
    def test_every_bad_field_is_reported(self, _name, payload, places):
        findings = parse_edit_request(payload).failure()
        expected = places or ["seen_revision"]
        self.assertCountEqual([finding.place for finding in findings], expected)

    @parameterized.expand(
        [
            ("committed", [], body(), 200, None),
            ("invalid", [], body(actor=""), 400, "not run"),
            ("bad_value", [], body(edits=[{**EDIT, "values": {}}]), 400, "not run"),
            ("outage", [OUTAGE], body(), 503, "not run"),
            ("unknown", [OK, LOST_REPLY] + [OUTAGE] * 40, body(), 502, "unknown"),
        ]
    )
    async def test_edit(self, _name, script, payload, status, ran):
        await self.backend.committer.reader.catch_up()
        self.backend.table.script = list(script)
        response, content = await self.post(payload)
        self.assertEqual(response.status, status, content)
        self.assertEqual(content.get("ran"), ran)
        self.assertEqual("Retry-After" in response.headers, status > 500)

    async def test_repeated_edit_gives_the_same_revision(self):
        payload = body(operation_id="op")
        contents = [(await self.post(payload))[1] for _ in range(2)]
        self.assertEqual(contents[0], contents[1])
        self.assertEqual(contents[0]["revision"], 1)

    async def test_conflict_shows_both_values(self):
        await self.post(body())
        other = {**EDIT, "values": {"rate": 9, "burst": 9}}
        response, content = await self.post(body(edits=[other]))
        self.assertEqual(response.status, 409)
        (conflict,) = content["conflicts"]
        rates = [conflict[name]["rate"] for name in ("current", "proposed")]
        self.assertEqual(rates, [1, 9])
        self.assertIsNone(conflict["seen"])

    async def test_table(self):
        await self.post(body())
        content = await (await self.client.get("/table/organisation")).json()
        self.assertEqual(content["revision"], 1)
        self.assertEqual(content["rows"][0]["values"]["name"], "carvers")
        self.assertEqual((await self.client.get("/table/color")).status, 400)

    async def test_audit_in_pages(self):
        for number in range(3):
            values = {"rate": 1 + number, "burst": 2}
            await self.post(
                body(seen_revision=number, edits=[{**EDIT, "values": values}])
            )
        revisions, before = [], 0
        while True:
            path = f"/audit?limit=2&before={before}&name=carvers&actor=liga"
            page = await (await self.client.get(path)).json()
            revisions += [change["revision"] for change in page["changes"]]
            before = page["next_before"]
            if not before:
                break
        self.assertEqual(revisions, [3, 2, 1])

    async def test_audit_without_the_newest_changes_is_refused(self):
        """During an outage, an audit trail without the newest changes would mislead."""
        await self.post(body())
        self.backend.table.script = [OUTAGE]
        self.assertEqual((await self.client.get("/audit")).status, 503)

    async def test_audit_shows_only_the_rows_that_are_asked_for(self):
        await self.post(body(edits=[EDIT, {**EDIT, "name": "clogs"}]))
        page = await (await self.client.get("/audit?name=clogs")).json()
        (change,) = page["changes"]
        self.assertEqual([edit["name"] for edit in change["edits"]], ["clogs"])

    async def test_audit_page_is_bounded(self):
        for number in range(3):
            edits = [{**EDIT, "name": f"o{number}.{i}"} for i in range(3)]
            await self.post(body(edits=edits))
        with mock.patch.object(audit, "MAX_ROWS", 5):
            page = await (await self.client.get("/audit")).json()
        self.assertEqual([c["revision"] for c in page["changes"]], [3, 2])
        self.assertEqual(page["next_before"], 2)

    @parameterized.expand(
        [
            ("audit", "/audit?limit=0&before=x&color=red", 3),
            ("explain", "/explain", 2),
        ]
    )
    async def test_bad_parameters_are_reported_together(self, _name, path, count):
        response = await self.client.get(path)
        self.assertEqual(response.status, 400)
        self.assertEqual(len((await response.json())["findings"]), count)


if __name__ == "__main__":
    unittest.main()
