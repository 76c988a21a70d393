"""Choice of the gateway that takes a forwarded request, and what its answers mean."""

from __future__ import annotations

import unittest
from collections import Counter
from types import SimpleNamespace

from geraniumbend.errors import RefusedError, UnavailableError
from geraniumbend.proxying import (
    CallerLostError,
    ForwardPeer,
    ForwardSession,
    PeerForwarder,
    UpstreamError,
    build_peer_server,
)
from geraniumbend.proxying._peer_forwarder import AVOID_S, MAX_PEERS, SEARCH_S
from tests.fakes import StepTimers

DOMAINS = ("a", "b", "c")


class FakePeers:
    def __init__(self, count, timers):
        self.peers = [
            ForwardPeer(f"g{n}", f"10.0.0.{n}:7000", DOMAINS[n % 3], 1)
            for n in range(count)
        ]
        self.cut_off = set()
        self.without_forwarding = set()
        self.timers = timers
        self.open_s = 0.0
        self.closed = []

    def list_peers(self, group):
        return [peer for peer in self.peers if peer.name not in self.cut_off]

    async def open_session(self, peer):
        self.timers.step(self.open_s)
        if peer.name in self.without_forwarding:
            raise UnavailableError("unknown method")
        return ForwardSession(build_peer_server(peer, 7001), "token")

    def close_session(self, peer):
        self.closed.append(peer.name)


class FakeResponse:
    def __init__(self, headers):
        self.headers = headers
        self.closed = False

    def close(self):
        self.closed = True

    discard = close


class FakeUpstream:
    """Answers by gateway: header fields, or an error."""

    def __init__(self):
        self.answers = {}
        self.sent = []

    async def send(self, server, request):
        self.sent.append(server.server_id)
        answer = self.answers.get(server.server_id, {})
        if isinstance(answer, Exception):
            raise answer
        return FakeResponse(answer)


class FakeLinks:
    lost = True

    def is_lost(self, group):
        return self.lost


class FakeContext:
    group = "classes"
    deadline_s = 1e9
    safe = True
    body_replayable = True

    def __init__(self):
        self.tried = set()
        self.attempts = 0
        self.unresolved_attempts = 0
        self.request = SimpleNamespace(request_id="r")
        self.dialect = SimpleNamespace(find_defect=lambda response, request_id: "")

    def build_forwarded(self, token, now_s, silence_timeout_s):
        return token


class PeerForwarderTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.timers = StepTimers()
        self.peers = FakePeers(12, self.timers)
        self.upstream = FakeUpstream()
        self.links = FakeLinks()
        self.counts = Counter()
        self.forwarder = PeerForwarder(
            self.links,
            self.peers,
            self.upstream,
            self.timers,
            "a",
            lambda gateway, outcome: self.counts.update([outcome]),
        )

    async def fetch(self, context=None):
        return await self.forwarder.fetch(context or FakeContext())

    def test_gateway_with_links_forwards_nothing(self):
        self.links.lost = False
        self.assertFalse(self.forwarder.is_needed("classes"))

    # Servers that are lost for all gateways: forwarding would only add a hop.
    def test_nothing_is_forwarded_if_all_gateways_are_cut(self):
        self.peers.cut_off = {peer.name for peer in self.peers.peers}
        self.assertFalse(self.forwarder.is_needed("classes"))

    # Most gateways cut, none left in the own failure domain.
    async def test_requests_go_to_the_gateways_that_are_left_in_even_shares(self):
        local = {peer.name for peer in self.peers.peers if peer.failure_domain == "a"}
        self.peers.cut_off = local | {"g1", "g2", "g4"}
        for _ in range(500):
            await self.fetch()
        shares = Counter(self.upstream.sent)
        self.assertEqual(set(shares), {"g5", "g7", "g8", "g10", "g11"})
        self.assertLess(max(shares.values()), 2 * min(shares.values()))

    async def test_gateways_of_the_own_domain_are_preferred(self):
        for _ in range(50):
            await self.fetch()
        self.assertLessEqual(set(self.upstream.sent), {"g0", "g3", "g6", "g9"})

    # The other gateway is cut itself, stops, or was restarted a moment later.
    async def test_gateway_that_has_not_run_the_request_is_replaced(self):
        for kind in ("link_lost", "stopping", "unverified_peer"):
            self.upstream.sent.clear()
            for name in ("g0", "g3"):
                self.upstream.answers[name] = {"Forward-Refused": kind}
            context = FakeContext()
            for _ in range(20):
                context = FakeContext()
                await self.fetch(context)
                self.assertEqual(context.unresolved_attempts, 1)
                self.timers.step(AVOID_S + 0.1)
        self.assertTrue(self.peers.closed)

    async def test_gateway_of_an_older_build_is_passed_over(self):
        self.peers.without_forwarding = {"g0", "g3", "g6"}
        for _ in range(20):
            await self.fetch()
        self.assertEqual(set(self.upstream.sent), {"g9"})

    # Gateways that open no session used up the offers of a request; the draw decided.
    async def test_one_gateway_of_the_new_build_is_found_among_many_of_the_old(self):
        names = {peer.name for peer in self.peers.peers}
        self.peers.without_forwarding = names - {"g9"}
        await self.fetch()
        self.assertEqual(self.upstream.sent, ["g9"])

    async def test_search_for_a_gateway_with_a_session_ends_in_time(self):
        self.peers.without_forwarding = {peer.name for peer in self.peers.peers}
        self.peers.open_s = 0.2
        started_s = self.timers.now()
        with self.assertRaises(RefusedError):
            await self.fetch()
        self.assertLess(self.timers.now() - started_s, SEARCH_S + 0.2 + 0.01)

    # It may have used up the attempts of its rule, or have run an order.
    async def test_request_that_may_have_run_is_not_sent_to_another_gateway(self):
        for peer in self.peers.peers:
            self.upstream.answers[peer.name] = UpstreamError("broke", "unknown")
        context = FakeContext()
        with self.assertRaises(UpstreamError):
            await self.fetch(context)
        self.assertEqual(len(self.upstream.sent), 1)
        self.assertEqual(context.unresolved_attempts, 1)
        self.assertEqual(self.counts, {"unknown": 1})

    async def test_request_that_no_gateway_takes_is_refused_as_not_run(self):
        for peer in self.peers.peers:
            self.upstream.answers[peer.name] = UpstreamError("refused", "not_run")
        context = FakeContext()
        with self.assertRaises(RefusedError) as raised:
            await self.fetch(context)
        self.assertEqual(raised.exception.run, "not_run")
        self.assertEqual(len(set(self.upstream.sent)), MAX_PEERS)
        self.assertEqual(context.unresolved_attempts, 0)

    # The next gateway would have got the rest of the body only.
    async def test_body_that_a_gateway_has_read_and_refused_is_not_sent_again(self):
        for peer in self.peers.peers:
            self.upstream.answers[peer.name] = {"Forward-Refused": "stopping"}
        context = FakeContext()
        context.body_replayable = False
        with self.assertRaises(RefusedError) as raised:
            await self.fetch(context)
        self.assertEqual(raised.exception.run, "not_run")
        self.assertEqual(len(self.upstream.sent), 1)

    # The rest of the body went to another gateway, and the caller was told "not run".
    async def test_error_of_the_callers_body_ends_the_request(self):
        for error in (RefusedError("too long", status=413), CallerLostError("gone")):
            self.upstream.sent.clear()
            for peer in self.peers.peers:
                self.upstream.answers[peer.name] = error
            with self.assertRaises(type(error)) as raised:
                await self.fetch()
            self.assertIs(raised.exception, error)
            self.assertEqual(len(self.upstream.sent), 1)

    async def test_body_that_was_read_is_not_sent_to_another_gateway(self):
        for peer in self.peers.peers:
            self.upstream.answers[peer.name] = UpstreamError("refused", "not_run")
        context = FakeContext()
        context.body_replayable = False
        with self.assertRaises(UpstreamError):
            await self.fetch(context)
        self.assertEqual(len(self.upstream.sent), 1)
