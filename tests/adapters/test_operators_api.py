from __future__ import annotations

import asyncio
import ssl
import tempfile
import unittest
import uuid
from pathlib import Path

import aiohttp

from geraniumbend.adapters.operators_api import OperatorsApi
from geraniumbend.errors import SettingsError
from geraniumbend.model import digest_key
from geraniumbend.settings import ControlSettings, ListenSettings, TokenSettings
from geraniumbend.timers import LoopTimers
from geraniumbend.tokens import hash_token
from tests.configuration.cluster import FakeCluster, FakeMember
from tests.test_certificates import write_certificate

WRITER, READER = "writer-secret-0123456789", "reader-secret-0123456789"
GROUP = {"operation": "set_group", "group": {"name": "a", "selector": "app=x"}}


class FakeControl:
    def __init__(self):
        self.changes = []

    def dump(self):
        return {"node": "c1"}

    def list_members(self):
        return {"processes": [], "logs": {}}

    async def add_member(self, name, address):
        self.changes.append(("add", name, address))

    async def remove_member(self, name):
        self.changes.append(("remove", name))

    def count_domain_members(self):
        return {"east": {"hosts": 1, "servers": 2}, "west": {"hosts": 0, "servers": 1}}

    def list_quarantine(self):
        return [{"fingerprint": "f"}]

    def clear_quarantine(self, fingerprint):
        self.changes.append(("clear", fingerprint))


class OperatorsApiTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.cluster = FakeCluster(LoopTimers())
        self.service = self.cluster.services["b"]
        self.service.start()
        self.control = FakeControl()
        tokens = [
            TokenSettings("eva", hash_token(WRITER), "write"),
            TokenSettings("max", hash_token(READER), "read"),
        ]
        self.api = OperatorsApi(
            ControlSettings(tokens=tokens), self.service, self.control, LoopTimers()
        )
        await self.api.start()
        self.session = aiohttp.ClientSession(f"http://127.0.0.1:{self.api.port}")

    async def asyncTearDown(self):
        await self.session.close()
        await self.api.stop()
        self.service.stop()

    async def send(self, method, path, body=None, token=WRITER):
        headers = {"Authorization": f"Bearer {token}"} if token else {}
        async with self.session.request(
            method, path, json=body, headers=headers
        ) as response:
            return response.status, await response.json(content_type=None)

    async def apply(self, revision, *operations, **members):
        body = {"operations": operations, "expected_revision": revision, **members}
        return await self.send("POST", "/v1/configuration", body)

    async def test_missing_or_unknown_token_is_refused_and_reader_cannot_write(self):
        for token, status in (("", 401), ("wrong-secret-000000000", 401)):
            self.assertEqual(
                (await self.send("GET", "/v1/configuration", token=token))[0], status
            )
        self.assertEqual((await self.send("GET", "/v1/groups", token=READER))[0], 200)
        body = {"operations": [GROUP], "expected_revision": 0}
        status, problem = await self.send("POST", "/v1/configuration", body, READER)
        self.assertEqual((status, problem["title"]), (403, "ForbiddenError"))
        self.assertEqual(self.service.store.current.revision, 0)

    async def test_resent_change_gets_the_first_outcome_and_a_conflict_the_value(
        self,
    ):
        change_id = str(uuid.uuid4())
        for repeated in (False, True):
            status, outcome = await self.apply(0, GROUP, change_id=change_id)
            self.assertEqual((status, outcome["revision"]), (200, 1))
            self.assertEqual(outcome["repeated"], repeated)
        status, problem = await self.apply(0, GROUP)
        self.assertEqual((status, problem["current_revision"]), (409, 1))
        self.assertEqual(problem["current"]["group a"]["selector"], "app=x")
        self.assertIn("remedy", problem)

    async def test_evacuation_is_listed_repeated_and_ended_by_writers(self):
        """Guards against readers who evacuate, and mistyped domains."""
        path = "/v1/evacuations"
        body = {"domain": "east", "active": True}
        self.assertEqual((await self.send("POST", path, body, READER))[0], 403)
        status, problem = await self.send("POST", path, {**body, "domain": "esat"})
        self.assertEqual((status, problem["title"]), (422, "UnknownDomainError"))
        self.assertIn("east, west", problem["remedy"])
        for bad in ({"domain": "east"}, {**body, "active": 1}, {**body, "domain": 1}):
            self.assertEqual((await self.send("POST", path, bad))[0], 422)
        for repeated in (False, True):
            _, outcome = await self.send("POST", path, body)
            self.assertEqual((outcome["revision"], outcome["repeated"]), (1, repeated))
        _, listed = await self.send("GET", path, token=READER)
        entry = {"domain": "east", "hosts": 1, "servers": 2}
        self.assertEqual(listed["evacuations"], {"east": entry})
        # A domain whose servers have all left can be used again.
        for domain in ("east", "gone"):
            end = {"domain": domain, "active": False}
            self.assertEqual((await self.send("POST", path, end))[0], 200)
        self.assertEqual((await self.send("GET", path))[1], {"evacuations": {}})

    async def test_change_without_expected_revision_is_refused_with_a_remedy(self):
        body = {"operations": [GROUP]}
        status, problem = await self.send("POST", "/v1/configuration", body)
        self.assertEqual(status, 422)
        self.assertIn("expected_revision", problem["detail"])

    async def test_apply_label_delete_watch_and_history(self):
        document = {
            "groups": {"a": {"selector": "app=x"}},
            "rules": {"r": {"group": "a"}},
        }
        status, diff = await self.send("POST", "/v1/diff", {"document": document})
        self.assertEqual([c["name"] for c in diff["changes"]], ["a", "r"])
        self.cluster.members_list = [FakeMember("g1", "gateway", 0)]
        body = {"document": document, "wait_s": 0.1}
        _, outcome = await self.send("POST", "/v1/configuration", body)
        self.assertEqual((outcome["revision"], outcome["missing"]), (1, ["g1"]))
        labels = {"labels": {"tier": "b"}, "expected_revision": 1}
        self.assertEqual((await self.send("PUT", "/v1/labels/s1", labels))[0], 200)
        self.assertEqual(await self.send("GET", "/v1/labels/s1"), (200, {"tier": "b"}))
        status, _ = await self.send("DELETE", "/v1/groups/a?expected_revision=2")
        self.assertEqual(status, 422, "a rule still uses the group")
        for number, path in enumerate(("rules/r", "groups/a", "labels/s1"), start=2):
            path = f"/v1/{path}?expected_revision={number}"
            self.assertEqual((await self.send("DELETE", path))[0], 200, path)
        _, watched = await self.send("GET", "/v1/watch?revision=3&wait_s=1")
        self.assertIn("changes", watched, watched)
        self.assertEqual([c["revision"] for c in watched["changes"]], [4, 5])
        _, history = await self.send("GET", "/v1/history?limit=2")
        self.assertEqual([e["revision"] for e in history["history"]], [5, 4])
        self.assertEqual(history["history"][0]["operator"], "eva")

    # Guards against keys of tenants in what operators read.
    async def test_tenants_are_read_and_deleted_without_their_keys(self):
        tenants = {"alp": {"keys": ["clear-key"], "rate_per_s": 40}, "bay": {}}
        body = {"document": {"tenants": tenants}}
        self.assertEqual((await self.send("GET", "/v1/tenants"))[1], {"tenants": {}})
        answers = [await self.send("POST", "/v1/diff", body)]
        answers.append(await self.send("POST", "/v1/configuration", body))
        for path in ("tenants", "tenants/alp", "configuration", "history", "backup"):
            answers.append(await self.send("GET", f"/v1/{path}"))
        answers.append(await self.send("GET", "/v1/watch?revision=0&wait_s=0"))
        for status, answer in answers:
            self.assertEqual(status, 200)
            self.assertNotIn("clear-key", str(answer))
        alp = answers[3][1]
        self.assertEqual(alp["key_digests"], [digest_key("clear-key")])
        path = "/v1/tenants/bay?expected_revision=1"
        self.assertEqual((await self.send("DELETE", path))[0], 200)
        _, left = await self.send("GET", "/v1/tenants")
        self.assertEqual(list(left["tenants"]), ["alp"])
        bad = {"tenants": {"cay": {"keys": ["clear-key"]}}}
        status, problem = await self.send(
            "POST", "/v1/configuration", {"document": bad}
        )
        self.assertEqual(status, 422)
        self.assertIn("'alp'", problem["detail"])
        self.assertNotIn("clear-key", str(problem))

    async def test_port_zero_selects_a_free_port_for_each_listener(self):
        second = OperatorsApi(
            ControlSettings(), self.service, self.control, LoopTimers()
        )
        await second.start()
        self.addAsyncCleanup(second.stop)
        self.assertNotEqual(second.port, self.api.port)

    async def test_listener_with_certificates_accepts_only_tls(self):
        with tempfile.TemporaryDirectory() as name:
            tls = write_certificate(Path(name), "a")
            settings = ControlSettings(operators=ListenSettings(tls=tls))
            api = OperatorsApi(settings, self.service, self.control, LoopTimers())
            await api.start()
            self.addAsyncCleanup(api.stop)
            trust = ssl.create_default_context(cafile=tls.certificate)
            address = f"//127.0.0.1:{api.port}/v1/groups"
            async with self.session.get(f"https:{address}", ssl=trust) as response:
                self.assertEqual(response.status, 200)
            with self.assertRaises(aiohttp.ClientError):
                await self.session.get(f"http:{address}")

    async def test_backup_members_quarantine_and_state_are_reachable(self):
        await self.apply(0, GROUP)
        _, backup = await self.send("GET", "/v1/backup")
        self.assertEqual(backup["configuration"]["revision"], 1)
        status, _ = await self.send("POST", "/v1/restore", {"backup": backup})
        self.assertEqual(status, 409, "the cluster is not empty")
        member = {"name": "c4", "address": "127.0.0.1:9"}
        await self.send("POST", "/v1/members", member)
        await self.send("DELETE", "/v1/members/c4")
        await self.send("DELETE", "/v1/quarantine/f")
        self.assertEqual(
            self.control.changes,
            [("add", "c4", "127.0.0.1:9"), ("remove", "c4"), ("clear", "f")],
        )
        self.assertEqual(await self.send("GET", "/v1/state"), (200, {"node": "c1"}))

    async def test_caller_that_sends_its_whole_body_gets_the_refusal(self):
        """Guards against a reset in place of the refusal of a long, slow upload."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.api.port)
        self.addCleanup(writer.close)
        pieces, size = 12, 4 * 1024 * 1024
        head = b"POST /v1/diff HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
        writer.write(head % (pieces * size))
        for _ in range(pieces):
            writer.write(b"x" * size)
            await writer.drain()
            await asyncio.sleep(0.1)
        async with asyncio.timeout(5.0):
            received = await reader.read()
        self.assertRegex(received[:20], rb"HTTP/1.1 4\d\d")

    async def test_malformed_requests_get_problem_documents(self):
        for method, path, body, status in (
            ("POST", "/v1/configuration", [1], 422),
            ("POST", "/v1/configuration", {"document": 3}, 422),
            ("POST", "/v1/restore", {"backup": {"x": 1}}, 422),
            ("GET", "/v1/groups/none", None, 404),
            ("GET", "/v1/nothing", None, 404),
            ("GET", "/v1/watch?revision=x", None, 422),
        ):
            with self.subTest(path=path, body=body):
                response = await self.send(method, path, body)
                self.assertEqual(response[0], status)
                self.assertTrue(response[1]["detail"])

    # The request ended with an exception that nobody expected, and status 500.
    async def test_deeply_nested_body_gets_a_problem_document(self):
        nested = "[" * 100_000 + "]" * 100_000
        headers = {"Authorization": f"Bearer {WRITER}"}
        path = "/v1/configuration"
        async with self.session.post(path, data=nested, headers=headers) as response:
            self.assertEqual(response.status, 422)

    async def test_api_without_tokens_on_a_public_address_is_refused_at_start(self):
        settings = ControlSettings(operators=ListenSettings(host="0.0.0.0"))
        with self.assertRaises(SettingsError):
            OperatorsApi(settings, self.service, self.control, LoopTimers())
