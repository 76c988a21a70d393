from __future__ import annotations

import json
import unittest

from hypothesis import given
from hypothesis import strategies as st

from geraniumbend.errors import AuthenticationError
from geraniumbend.membership import AnnouncementApi
from tests.fuzzing import fuzz
from tests.membership.network import Cluster

PATH = "/v1/backend-servers/s1"
BODY = {"host": "10.0.0.9", "port": 80, "incarnation": 5, "labels": {"app": "a"}}


class FakeDepartures:
    def __init__(self):
        self.stored = []
        self.accepts = True

    async def store(self, server_id, timeout_s):
        self.stored.append(server_id)
        return self.accepts


def complete(coroutine):
    """Return the result of a coroutine that never waits."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("the coroutine waits")


class AnnouncementApiTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        cluster = await Cluster(1).start(0.1)
        self.addAsyncCleanup(cluster.stop)
        self.node = cluster.nodes["g0"]
        self.departures = FakeDepartures()
        self.api = AnnouncementApi(self.node, self.departures)

    async def put(self, path=PATH, **changes):
        body = json.dumps({**BODY, **changes}).encode()
        return await self.api.handle("PUT", path, body)

    async def test_announcement_states_when_to_renew(self):
        status, document = await self.put(in_flight=3)
        self.assertEqual((status, document["lease_s"]), (200, 10.0))
        self.assertLess(document["renew_after_s"], 4)
        status, document = await self.api.handle("GET", "/v1/backend-servers")
        self.assertEqual(document["servers"][0]["in_flight"], 3)

    async def test_earlier_incarnation_is_refused_with_the_known_one(self):
        await self.put()
        status, document = await self.put(incarnation=4)
        self.assertEqual((status, document["known_incarnation"]), (409, 5))
        self.assertTrue(document["remedy"])

    async def test_invalid_documents_are_refused_and_name_the_member(self):
        invalid = {
            "port": 0,
            "host": "name.example",
            "incarnation": 0,
            "lease_s": 1000,
            "surprise": 1,
            "labels": {"k" * 60 + str(i): "v" * 60 for i in range(10)},
        }
        for member, value in invalid.items():
            status, document = await self.put(**{member: value})
            self.assertEqual(status, 400, member)
            self.assertIn(member, document["message"])
        self.assertEqual(self.node.servers(), {})

    async def test_deregistration_of_an_unknown_server_needs_its_incarnation(self):
        self.assertEqual((await self.api.handle("DELETE", PATH))[0], 404)
        status, _ = await self.api.handle("DELETE", PATH, query={"incarnation": "5"})
        self.assertEqual(status, 200)
        self.assertEqual((await self.put())[0], 409)
        self.assertEqual((await self.put(incarnation=6))[0], 200)

    async def test_departure_is_acknowledged_once_control_hosts_have_stored_it(self):
        """Guards against departures that end with the processes which knew them."""
        await self.put()
        self.assertEqual(self.departures.stored, [])
        self.departures.accepts = False
        self.assertEqual((await self.put(draining=True))[0], 200)
        self.assertEqual((await self.api.handle("DELETE", PATH))[0], 503)
        self.departures.accepts = True
        self.assertEqual((await self.api.handle("DELETE", PATH))[0], 200)
        self.assertEqual(self.departures.stored, ["s1", "s1"])

    async def test_request_without_valid_token_changes_nothing(self):
        def authorize(header):
            if header != "Bearer good":
                raise AuthenticationError("no token", "send one")

        api = AnnouncementApi(self.node, self.departures, authorize)
        body = json.dumps(BODY).encode()
        self.assertEqual((await api.handle("PUT", PATH, body))[0], 401)
        self.assertEqual(self.node.servers(), {})
        status, _ = await api.handle("PUT", PATH, body, authorization="Bearer good")
        self.assertEqual(status, 200)

    async def test_any_request_gets_a_status_and_a_remedy(self):
        values = st.recursive(
            st.none() | st.booleans() | st.integers() | st.text(max_size=5),
            lambda inner: (
                st.lists(inner, max_size=2)
                | st.dictionaries(st.text(max_size=3), inner, max_size=2)
            ),
            max_leaves=4,
        )
        documents = st.dictionaries(st.sampled_from([*BODY, "slots"]), values)
        bodies = st.binary(max_size=60) | documents.map(
            lambda d: json.dumps(d).encode()
        )
        names = st.text(max_size=130)

        @fuzz(max_examples=300)
        @given(st.sampled_from(["PUT", "DELETE", "GET", "X"]), names, bodies, names)
        def check(method, name, body, incarnation):
            path = f"/v1/backend-servers/{name}"
            query = {"incarnation": incarnation}
            status, document = complete(self.api.handle(method, path, body, query))
            self.assertIn(status, (200, 400, 404, 405, 409))
            if status != 200:
                self.assertTrue(document["remedy"])

        check()
