"""Load pattern of a large fleet: each gateway gets few requests for many servers."""

from __future__ import annotations

from unittest import mock

from geraniumbend.routing import Router, ServerTable, _router
from tests.fakes import StepTimers, build_configuration, build_servers
from tests.routing.test_failure_domains import SLOTS, FailureDomainCase

# The users' servers close connections that were idle for 10 s.
IDLE_LIMIT_S = 8.0
REQUEST_GAP_S = 0.75
# Goal of the users' large deployment: one new connection for four requests.
REQUESTS_PER_CONNECTION = 4


class FewRequestsTest(FailureDomainCase):
    """Guards against a new connection for nearly every probe."""

    def build(self, domains, gateways=300, seed=3):
        super().build(domains, gateways, seed)
        self.used_at = {}
        self.opened = []
        self.router._free_slot_finder._on_demand_probes.start(
            self.respond, self.has_connection
        )

    def has_connection(self, server_id):
        return self.timers.now() - self.used_at.get(server_id, -1e9) <= IDLE_LIMIT_S

    async def respond(self, view):
        if not self.has_connection(view.server_id):
            self.opened.append(view.server_id)
        self.used_at[view.server_id] = self.timers.now()
        return await super().respond(view)

    async def test_most_requests_use_connections_that_are_open(self):
        self.build("abcde" * 32)
        self.timers.step(60)
        for _ in range(200):
            await self.choose(REQUEST_GAP_S)
        self.assertLessEqual(len(self.opened), 200 / REQUESTS_PER_CONNECTION)

    async def test_connected_servers_that_are_busy_are_left(self):
        self.build("a" * 16)
        self.timers.step(60)
        for _ in range(20):
            await self.choose(REQUEST_GAP_S)
        busy = set(self.used_at)
        self.loads.update(dict.fromkeys(busy, SLOTS))
        views = [await self.choose(REQUEST_GAP_S) for _ in range(20)]
        self.assertFalse(busy & {view.server_id for view in views})

    async def test_server_that_joins_gets_requests_beside_connected_ones(self):
        first = 0
        for gateway in range(8):
            self.build("a" * 8, seed=gateway)
            self.timers.step(60)
            for _ in range(20):
                await self.choose(REQUEST_GAP_S)
            self.servers["s8"] = self.servers["s0"]._replace(server_id="s8")
            self.loads["s8"], self.slowdowns["s8"] = 0, 1.0
            self.install()
            views = [await self.choose(0.3) for _ in range(20)]
            first += sum(view.server_id == "s8" for view in views)
        self.assertGreater(first, 0)


class DriftingShares:
    """Share that follows the number of gateways smoothly, as after a restart."""

    def __init__(self):
        self.divisor = 300.0

    def gateway_share(self):
        self.divisor += 0.01
        return 1 / self.divisor


class SubsetCacheTest(FailureDomainCase):
    def test_subset_is_not_hashed_again_while_share_and_other_groups_change(self):
        """Guards against a hash of all servers with nearly every request."""
        timers = StepTimers()
        table = ServerTable(timers)
        servers = build_servers(300, SLOTS, labels={"app": "g"})
        configuration = build_configuration("app=g")
        table.update(servers, configuration)
        router = Router(table, DriftingShares(), timers, "n", seed=1)
        with mock.patch.object(
            _router, "choose_subset", wraps=_router.choose_subset
        ) as choose_subset:
            for number in range(50):
                router.choose("g", "c", (), 1.0)
                name = f"x{number}"
                other = servers["s0"]._replace(server_id=name, labels={"app": "x"})
                table.update(servers | {name: other}, configuration)
        self.assertEqual(choose_subset.call_count, 1)

    def test_changed_member_is_in_the_subset_at_once(self):
        timers = StepTimers()
        table = ServerTable(timers)
        servers = build_servers(60, SLOTS)
        table.update(servers, build_configuration())
        router = Router(table, DriftingShares(), timers, "n", seed=1)
        chosen = router.choose("g", "c", (), 1.0)
        left = {name: s for name, s in servers.items() if name != chosen.server_id}
        table.update(left, build_configuration())
        names = {router.choose("g", "c", (), 1.0).server_id for _ in range(300)}
        self.assertNotIn(chosen.server_id, names)
