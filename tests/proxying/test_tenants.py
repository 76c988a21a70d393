"""Authentication in the data path, with real listeners and upstreams on loopback."""

from __future__ import annotations

import asyncio
import json
import unittest
from unittest import mock

from geraniumbend.adapters.http_listener import HttpListener
from geraniumbend.adapters.http_upstream import HttpUpstream
from geraniumbend.errors import RefusedError
from geraniumbend.model import Configuration, Tenant, digest_key
from geraniumbend.proxying import (
    ForwardPeer,
    ForwardSession,
    PeerForwarder,
    Proxy,
    build_peer_server,
)
from geraniumbend.settings import ListenSettings
from geraniumbend.tenants import Authenticator
from geraniumbend.timers import LoopTimers
from tests.adapters._scripted_backend import (
    ScriptedBackend,
    reply,
    use_default_loop,
    use_uvloop,
)
from tests.proxying._data_path import DataPath, make_rule, problem

setUpModule = use_uvloop
tearDownModule = use_default_loop

KEY, SECOND = "first-key-of-alp", "second-key-of-alp"
BEARER = f"Authorization: Bearer {KEY}"
TOKEN = "token-of-the-peer"


def set_keys(path, **keys):
    """Put tenants with these keys into force."""
    current = path.configuration.current
    path.configuration.current = current._replace(
        revision=current.revision + 1,
        tenants={
            name: Tenant(name, tuple(digest_key(key) for key in values))
            for name, values in keys.items()
        },
    )


def make_path(*backends, **options):
    path = DataPath(*backends, **options)
    set_keys(path, alp=[KEY, SECOND], bay=["key-of-bay"])
    return path


class HeaderTest(unittest.IsolatedAsyncioTestCase):
    """Guards against keys that reach servers and tenants that callers make up."""

    async def check_head(self, expected, *lines, rule=None):
        async with (
            ScriptedBackend(reply()) as backend,
            make_path(backend, rule=rule) as path,
        ):
            status, _, _ = await path.get("/", *lines)
        self.assertEqual(status, 200)
        head = backend.received[0].head
        self.assertNotIn(b"authorization", head.lower())
        self.assertNotIn(b"key", head)
        tenants = [line for line in head.split(b"\r\n") if b"enant" in line]
        self.assertEqual(tenants, expected)

    async def test_tenant_is_set_in_place_of_the_key(self):
        await self.check_head([b"X-Tenant: alp"], BEARER)
        await self.check_head([b"X-Tenant: bay"], "AUTHORIZATION: bearer key-of-bay")

    async def test_tenants_of_the_caller_are_dropped(self):
        sent = (BEARER, "X-Tenant: bay", "x-tenant: root", "Forward-Tenant: bay")
        sent += ("X_Tenant: bay", "x_tenant: root")
        await self.check_head([b"X-Tenant: alp"], *sent)

    async def test_connection_field_removes_neither_key_check_nor_tenant(self):
        listed = "Connection: X-Tenant, Authorization, Forward-Tenant"
        await self.check_head([b"X-Tenant: alp"], BEARER, listed)

    async def test_public_rule_passes_on_known_tenants_only(self):
        rule = make_rule(public=True)
        await self.check_head([], rule=rule)
        await self.check_head([], "X-Tenant: alp", rule=rule)
        await self.check_head([], "Authorization: Bearer x", "X-Tenant: a", rule=rule)
        await self.check_head([], BEARER, BEARER, rule=rule)
        await self.check_head([b"X-Tenant: alp"], BEARER, "X-Tenant: b", rule=rule)

    async def test_nothing_changes_without_tenants(self):
        lines = (BEARER, BEARER, "X-Tenant: mine", "Authorization: Basic x")
        async with ScriptedBackend(reply()) as backend, DataPath(backend) as path:
            with (
                mock.patch.object(Authenticator, "authenticate") as authenticate,
                mock.patch.object(Authenticator, "renew") as renew,
                mock.patch.object(Authenticator, "is_current") as is_current,
            ):
                status, _, _ = await path.get("/", *lines)
            for unused in (authenticate, renew, is_current):
                unused.assert_not_called()
            self.assertEqual(status, 200)
            self.assertEqual(path.proxy.dump_tenants(), {})
            self.assertEqual(path.proxy.tenant_totals.read_requests(), {})
        head = backend.received[0].head
        for line in lines:
            self.assertIn(line.encode(), head)
        self.assertNotIn(b"Forward-Tenant", head)
        self.assertEqual(path.admission.requests[0].caller, f"Bearer {KEY}")
        self.assertEqual(path.admission.requests[0].tenant, "")


class RefusalTest(unittest.IsolatedAsyncioTestCase):
    """Guards against requests without a key that run, and refusals that are untrue."""

    async def test_requests_without_a_known_key_get_401_and_do_not_run(self):
        cases = (
            (),
            ("Authorization: Bearer never",),
            ("Authorization: Basic " + KEY,),
            (BEARER, BEARER),
            (BEARER, "Authorization: Bearer never"),
            ("X-Tenant: alp",),
            ("Forward-Tenant: alp " + digest_key(KEY),),
            ("Authorization: Bearer " + digest_key(KEY),),
        )
        async with ScriptedBackend(reply()) as backend, make_path(backend) as path:
            for lines in cases:
                with self.subTest(lines):
                    response = await path.get("/", *lines)
                    status, document = problem(response)
                    self.assertEqual((status, document["run"]), (401, "not_run"))
                    self.assertEqual(response[1]["www-authenticate"], "Bearer")
                    self.assertNotIn(KEY, json.dumps(document))
        self.assertEqual(backend.received, [])
        self.assertEqual(path.admission.requests, [])

    async def test_request_without_rule_gets_404_and_without_configuration_503(self):
        async with ScriptedBackend(reply()) as backend, make_path(backend) as path:
            known = path.configuration.current
            path.configuration.current = known._replace(revision=2, rules={})
            for lines in ((), (BEARER,)):
                self.assertEqual((await path.get("/", *lines))[0], 404)
            path.configuration.current = Configuration()
            for lines in ((), (BEARER,)):
                self.assertEqual((await path.get("/", *lines))[0], 503)
        self.assertEqual(backend.received, [])

    async def test_each_pipelined_request_needs_a_key(self):
        head = "GET /{} HTTP/1.1\r\nHost: h\r\n{}\r\n"
        heads = [head.format(1, BEARER + "\r\n"), head.format(2, "")]
        heads += [head.format(3, BEARER + "\r\n"), head.format(4, "Connection: close")]
        raw = "".join(heads).encode() + b"\r\n"
        async with ScriptedBackend(reply()) as backend, make_path(backend) as path:
            answer = await path.exchange(raw)
        statuses = [part[:3] for part in answer.split(b"HTTP/1.1 ")[1:]]
        self.assertEqual(statuses, [b"200", b"401", b"200", b"401"])
        targets = sorted(received.head[:6] for received in backend.received)
        self.assertEqual(targets, [b"GET /1", b"GET /3"])

    async def test_no_key_is_logged(self):
        async with ScriptedBackend(reply()) as backend, make_path(backend) as path:
            with self.assertLogs("geraniumbend", "DEBUG") as logs:
                await path.get("/", BEARER)
                await path.get("/", "Authorization: Bearer never-known")
                await path.get("/", BEARER, BEARER)
        records = " ".join(str(record.__dict__) for record in logs.records)
        self.assertIn("alp", records)
        for key in (KEY, "never-known", digest_key(KEY)):
            self.assertNotIn(key, records)

    async def test_unknown_key_of_a_public_request_is_not_kept(self):
        rule = make_rule(public=True)
        async with (
            ScriptedBackend(reply()) as backend,
            make_path(backend, rule=rule) as path,
        ):
            await path.get("/", "Authorization: Bearer mistyped")
        self.assertEqual(path.admission.requests[0].caller, "127.0.0.1")

    async def test_requests_are_counted_by_tenant_and_refusals_by_reason(self):
        async with ScriptedBackend(reply()) as backend, make_path(backend) as path:
            await path.get("/", BEARER)
            path.admission.refuse = True
            await path.get("/", BEARER)
            await path.get("/")
        totals = path.proxy.tenant_totals
        counts = {("alp", "answered"): 1, ("alp", "refused"): 1}
        self.assertEqual(totals.read_requests(), counts)
        self.assertEqual(totals.read_refusals(), {("missing",): 1})


class RemovedKeyTest(unittest.IsolatedAsyncioTestCase):
    """Guards against waiting requests that run with a key that was removed."""

    async def check_waiting(self, wait_at, *backends, runs=0, **options):
        """Remove the key while a request waits at a place; return its status."""
        async with make_path(*backends, **options) as path:
            remove = self.remove_after(lambda: set_keys(path, alp=[SECOND]))
            wait_at(path, remove)
            status, _, _ = await path.get("/", BEARER)
            other, _, _ = await path.get("/", f"Authorization: Bearer {SECOND}")
        self.assertEqual(other, 200)
        received = sum(len(backend.received) for backend in backends)
        self.assertEqual(received - 1, runs)
        return status

    @staticmethod
    def remove_after(remove):
        async def wait():
            await asyncio.sleep(0.01)
            remove()

        return wait

    async def test_in_the_queue_of_admission(self):
        def wait_at(path, remove):
            admit = path.admission.admit

            async def admit_late(request):
                await remove()
                return await admit(request)

            path.admission.admit = admit_late

        async with ScriptedBackend(reply()) as backend:
            self.assertEqual(await self.check_waiting(wait_at, backend), 401)

    async def test_for_a_free_slot(self):
        def wait_at(path, remove):
            async def probe(*unused, **options):
                await remove()
                return True

            path.router.probe_candidates = probe

        async with ScriptedBackend(reply()) as backend:
            self.assertEqual(await self.check_waiting(wait_at, backend), 401)

    async def test_for_a_connection(self):
        def wait_at(path, remove):
            send = path.upstream.send

            async def send_late(server, request):
                await remove()
                return await send(server, request)

            path.upstream.send = send_late

        async with (
            ScriptedBackend(reply()) as first,
            ScriptedBackend(reply()) as second,
        ):
            self.assertEqual(await self.check_waiting(wait_at, first, second), 401)

    async def test_between_attempts(self):
        removals = []

        async def fail(received, reader, writer):
            await removals[0]()
            writer.write(b"HTTP/1.1 500 F\r\nContent-Length: 0\r\n\r\n")

        async with (
            ScriptedBackend(fail) as first,
            ScriptedBackend(reply()) as second,
            make_path(first, second) as path,
        ):
            removals.append(self.remove_after(lambda: set_keys(path, alp=[SECOND])))
            status, _, _ = await path.get("/", BEARER)
        self.assertEqual(status, 500)
        self.assertEqual(second.received, [])

    async def test_on_an_open_connection(self):
        request = f"GET / HTTP/1.1\r\nHost: h\r\n{BEARER}\r\n\r\n".encode()
        async with ScriptedBackend(reply()) as backend, make_path(backend) as path:
            reader, writer = await path.connect()
            writer.write(request)
            self.assertIn(b" 200 ", await reader.readline())
            set_keys(path, bay=["key-of-bay"])
            writer.write(request)
            rest = await asyncio.wait_for(reader.readuntil(b" 401 "), 5)
            self.assertNotIn(b" 200 ", rest)
            writer.close()
        self.assertEqual(len(backend.received), 1)

    async def test_with_a_body_that_is_still_arriving(self):
        head = f"POST / HTTP/1.1\r\nHost: h\r\n{BEARER}\r\nContent-Length: 4\r\n\r\n"
        async with ScriptedBackend(reply()) as backend, make_path(backend) as path:
            reader, writer = await path.connect()
            writer.write(head.encode() + b"ab")
            await asyncio.sleep(0.05)
            set_keys(path, alp=[SECOND])
            writer.write(b"cd")
            self.assertIn(b" 401 ", await asyncio.wait_for(reader.readline(), 5))
            writer.close()
        self.assertEqual(backend.received, [])

    async def test_public_request_runs_without_the_tenant(self):
        rule = make_rule(public=True)
        async with (
            ScriptedBackend(reply()) as backend,
            make_path(backend, rule=rule) as path,
        ):
            admit = path.admission.admit

            async def admit_late(request):
                set_keys(path, bay=["key-of-bay"])
                return await admit(request)

            path.admission.admit = admit_late
            status, _, _ = await path.get("/", BEARER)
        self.assertEqual(status, 200)
        self.assertNotIn(b"X-Tenant", backend.received[0].head)


class FakeLinks:
    """Links that are lost to all groups."""

    def __init__(self, lost):
        self.lost = lost

    def is_lost(self, group):
        return self.lost

    def is_suspect(self, group):
        return False


class FakePeers:
    """One peer, which listens on loopback."""

    def __init__(self, port):
        self.peer = ForwardPeer("g2", "127.0.0.1:1", "a", 1)
        self.port = port

    def list_peers(self, group):
        return [self.peer]

    async def open_session(self, peer):
        return ForwardSession(build_peer_server(peer, self.port), TOKEN)

    def close_session(self, peer):
        pass


class ForwardingTest(unittest.IsolatedAsyncioTestCase):
    """Guards against keys that leave the gateway and removed ones that run at peers."""

    async def asyncSetUp(self):
        self.backend = ScriptedBackend(reply())
        await self.backend.__aenter__()
        self.addAsyncCleanup(self.backend.__aexit__)
        self.heads = []
        self.peer = await self.enter(make_path(self.backend))
        self.listener = HttpListener(self.handle, ListenSettings())
        await self.listener.start()
        self.addAsyncCleanup(self.listener.stop, 0.5)

    async def enter(self, path):
        await path.__aenter__()
        self.addAsyncCleanup(path.__aexit__)
        return path

    async def handle(self, request):
        self.heads.append(request.raw_headers)
        await self.peer.proxy.handle_forwarded(request, TOKEN)

    async def start_entry(self, path):
        """Return the gateway that callers call and that reaches no server."""
        timers = LoopTimers()
        upstream = HttpUpstream(timers, lambda: 1.0)
        self.addAsyncCleanup(upstream.close)
        links = FakeLinks(lost=True)
        forwarder = PeerForwarder(
            links, FakePeers(self.listener.port), upstream, timers, "a", lambda *_: None
        )
        await self.enter(path)
        parts = path.proxy._parts._replace(links=links, forwarder=forwarder)
        proxy = Proxy(parts, node="gateway-1")
        path.listener._server.handler = proxy.handle
        return path

    async def test_peer_gets_name_and_digest_in_place_of_the_key(self):
        entry = await self.start_entry(make_path(self.backend))
        status, _, _ = await entry.get("/", BEARER, "Forward-Tenant: bay x")
        self.assertEqual(status, 200)
        fields = [(name.lower(), value) for name, value in self.heads[0]]
        checked = f"alp {digest_key(KEY)}".encode()
        sent = [value for name, value in fields if name == b"forward-tenant"]
        self.assertEqual(sent, [checked])
        self.assertNotIn(KEY, str(fields))
        head = self.backend.received[0].head
        self.assertIn(b"X-Tenant: alp\r\n", head)
        self.assertNotIn(digest_key(KEY).encode(), head)

    async def test_key_removed_while_the_request_waits_at_the_peer(self):
        admit = self.peer.admission.admit

        async def admit_late(request):
            set_keys(self.peer, alp=[SECOND])
            return await admit(request)

        self.peer.admission.admit = admit_late
        entry = await self.start_entry(make_path(self.backend))
        status, _, _ = await entry.get("/", BEARER)
        self.assertEqual(status, 401)
        self.assertEqual(self.backend.received, [])

    # The peer has another revision, in which the key is unknown or there is no tenant.
    async def test_peer_with_another_revision_runs_nothing(self):
        entry = await self.start_entry(make_path(self.backend))
        for keys in ({"alp": [SECOND]}, {}):
            set_keys(self.peer, **keys)
            status, _, _ = await entry.get("/", BEARER)
            self.assertEqual(status, 503)
        self.assertEqual(self.backend.received, [])

    async def test_gateway_without_tenants_leaves_the_check_to_the_peer(self):
        entry = await self.start_entry(DataPath(self.backend))
        self.assertEqual((await entry.get("/", BEARER))[0], 200)
        self.assertEqual((await entry.get("/"))[0], 401)
        self.assertEqual(len(self.backend.received), 1)

    async def test_request_with_another_token_is_refused(self):
        class Forged:
            headers = {"Forward-Token": "x", "Forward-Tenant": "alp"}  # noqa: RUF012
            raw_headers = ()

        with self.assertRaises(RefusedError) as caught:
            await self.peer.proxy.handle_forwarded(Forged(), TOKEN)
        self.assertEqual(caught.exception.kind, "unverified_peer")
