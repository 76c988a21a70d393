"""Data path of a gateway with fakes of routing, admission, retries and quarantine."""

from __future__ import annotations

import asyncio
import json

from geraniumbend.adapters.http_listener import HttpListener
from geraniumbend.adapters.http_upstream import HttpUpstream
from geraniumbend.errors import RefusedError
from geraniumbend.model import Configuration, Group, RetrySettings, Rule, RuleMatch
from geraniumbend.proxying import (
    PlannedStop,
    Proxy,
    ProxyParts,
    StandardDialect,
)
from geraniumbend.routing import ServerView
from geraniumbend.settings import ListenSettings
from geraniumbend.timers import LoopTimers


class FakeRouter:
    """Chooses servers in the given order; records outcomes, probes and max waits."""

    def __init__(self, servers):
        self.views = [ServerView(server, 0.0) for server in servers]
        self.outcomes = []
        self.started = 0
        self.probes = 0
        self.max_wait_s = []
        self.turns = []
        self.has_free_slot = True
        self.full = set()
        self.leaving = set()
        self.asked = []
        self.return_delay_s = None
        self.reported_full = []
        self.hanging = set()
        self.reported_hanging = []

    async def probe_candidates(
        self, group, request_class, excluded, deadline_s, max_wait_s=0.0, turn=None
    ):
        self.probes += 1
        self.turns += [] if turn is None else [turn]
        self.max_wait_s.append(max_wait_s)
        return self.has_free_slot

    def estimate_service_s(self, group, request_class):
        return 0.01

    def estimate_response_s(self, group, request_class):
        return 0.015

    def estimate_room_s(self, group, request_class):
        return 0.05

    def choose(self, group, request_class, excluded, deadline_s, trial=True):
        for view in self.views:
            if view.server_id not in excluded and self.accepts_requests(view):
                return view
        raise RefusedError("no server left")

    def start_request(self, view, request_class):
        self.started += 1

    def finish_request(self, view, request_class, outcome):
        self.outcomes.append((view.server_id, outcome))

    def observe_report(self, view, header_value):
        view.report = header_value

    def observe_leaving(self, view):
        self.leaving.add(view.server_id)

    def observe_retry_after(self, view, delay_s, kind="seconds"):
        self.asked.append((view.server_id, delay_s, kind))

    def find_return_delay(self, group):
        return self.return_delay_s

    def check_asked_time(self, group):
        pass

    def is_full(self, view):
        return view.server_id in self.full

    def accepts_requests(self, view):
        return view.server_id not in self.leaving

    def has_alternative(self, group, excluded):
        return any(
            view.server_id not in excluded and self.accepts_requests(view)
            for view in self.views
        )

    def may_hang(self, view):
        return view.server_id in self.hanging

    def report_hanging(self, view, waited_s):
        self.reported_hanging.append(view.server_id)

    def report_full(self, view):
        self.reported_full.append(view.server_id)

    def report_address_reused(self, view):
        view.address_reused = True


class FakeAdmission:
    def __init__(self):
        self.requests = []
        self.released = 0
        self.refusals = 0
        self.refuse = False

    async def admit(self, request):
        self.requests.append(request)
        if self.refuse:
            raise RefusedError("full", retry_after_s=0.4)
        return self

    def observe_refusal(self):
        self.refusals += 1

    def release(self, outcome):
        self.released += 1


class FakeBudget:
    counts_resends = False

    def __init__(self):
        self.left = 100
        self.earned = 0

    def allows(self, group):
        return self.left > 0

    def try_acquire(self, group):
        self.left -= 1
        return self.left >= 0

    def record_success(self, group):
        self.earned += 1


class FakeQuarantine:
    def __init__(self):
        self.losses = []
        self.blocked = set()
        self.entered = 0
        self.left = 0

    def check(self, fingerprint):
        if fingerprint in self.blocked:
            raise RefusedError("in quarantine", kind="quarantined")

    async def begin_run(self, fingerprint):
        self.check(fingerprint)
        self.entered += 1

    def end_run(self, fingerprint):
        self.left += 1

    async def report_loss(self, fingerprint, server_id):
        self.losses.append((fingerprint, server_id))

    def report_success(self, fingerprint):
        self.left += 1


class FakeConfiguration:
    def __init__(self, rules):
        groups = {"g": Group("g", "app=x")}
        self.current = Configuration(1, groups, {rule.name: rule for rule in rules})


class DataPath:
    """A gateway's listener, proxy and upstream in front of scripted backend servers."""

    def __init__(
        self,
        *backends,
        rule=None,
        limits=None,
        orders=None,
        dialect=None,
        guard=None,
        listener=None,
    ):
        self.guard = guard
        self.listening = listener
        rule = rule or Rule("r", "g", RuleMatch(path_prefix="/"), deadline_s=2.0)
        self.rule = rule
        self.backends = backends
        self.limits = limits
        self.orders = orders
        self.dialect = dialect or StandardDialect()
        self.configuration = FakeConfiguration([rule])
        self.admission = FakeAdmission()
        self.budget = FakeBudget()
        self.quarantine = FakeQuarantine()
        self.wait_synchronised = None
        self.may_write = None
        self.make_router = FakeRouter
        self.server_limits = None
        self.planned_stop = PlannedStop()
        self.servers_may_hang = False
        self.ranking = None

    async def __aenter__(self):
        timers = LoopTimers()
        servers = [
            backend.describe()._replace(server_id=f"b{number}")
            for number, backend in enumerate(self.backends, start=1)
        ]
        self.router = self.make_router(servers)
        self.upstream = HttpUpstream(timers, lambda: 1.0)
        parts = ProxyParts(
            self.configuration,
            self.router,
            self.admission,
            self.budget,
            self.quarantine,
            self.upstream,
            self.orders,
            timers,
            self.dialect,
            self.wait_synchronised,
            self.server_limits,
            self.planned_stop,
            find_ranking=lambda: self.ranking,
            may_write=self.may_write,
        )
        self.proxy = Proxy(
            parts,
            node="gateway-0",
            body_idle_timeout_s=1.0,
            servers_may_hang=self.servers_may_hang,
        )
        self.listener = HttpListener(
            self.proxy.handle,
            ListenSettings(),
            self.limits,
            self.dialect,
            guard=self.guard,
        )
        await self.listener.start(self.listening)
        return self

    async def __aexit__(self, *unused):
        await self.listener.stop(0.5)
        await self.upstream.close()

    async def stop(self, limit_s):
        """Stop as the gateway does; return the number of requests cut off."""
        self.planned_stop.begin(LoopTimers().now(), limit_s / 2, limit_s)
        return await self.listener.stop(limit_s)

    async def connect(self):
        return await asyncio.open_connection("127.0.0.1", self.listener.port)

    async def exchange(self, raw):
        """Send bytes and return all bytes received until the connection ends."""
        reader, writer = await self.connect()
        writer.write(raw)
        try:
            return await asyncio.wait_for(reader.read(), 5)
        finally:
            writer.close()

    async def get(self, path="/", *lines, method="GET", body=b""):
        """Send one request and return status, headers and body."""
        head = [f"{method} {path} HTTP/1.1", "Host: h", "Connection: close", *lines]
        if body:
            head.append(f"Content-Length: {len(body)}")
        raw = "\r\n".join(head).encode() + b"\r\n\r\n" + body
        return parse(await self.exchange(raw))


def parse(raw):
    """Return status, headers by lower-case name, and body of one response."""
    head, _, body = raw.partition(b"\r\n\r\n")
    start, *lines = head.decode().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(": ")
        headers[name.lower()] = value
    return int(start.split(" ")[1]), headers, body


def problem(response):
    """Return the status and the problem document of a refusal."""
    status, headers, body = response
    assert headers["content-type"] == "application/problem+json", headers
    document = json.loads(body)
    assert document["status"] == status
    return status, document


def make_rule(**fields):
    """Return a rule that matches every path, with short times."""
    retry = fields.pop("retry", RetrySettings(attempts=2, hedge=False))
    match = RuleMatch(path_prefix="/")
    return Rule("r", "g", match, retry=retry, **{"deadline_s": 2.0, **fields})
