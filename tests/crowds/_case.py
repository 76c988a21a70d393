"""Base of the tests of crowds: the processes, and what is checked beside a crowd."""

from __future__ import annotations

import asyncio
import os
import unittest

from tests.adapters._scripted_backend import ScriptedBackend
from tests.crowds import _callers as callers
from tests.crowds._processes import CONTROL_MB, GATEWAY_MB, MAX_FDS, Hosts
from tests.platform.test_system import respond_as

# Descriptors that are left for control hosts, peers and backend servers.
RESERVED_FDS = 40
# Prints what each crowd took, for the table of the design note.
FIGURES_VARIABLE = "GERANIUMBEND_CROWD_FIGURES"
LONG_RESPONSE = b"x" * 4_000_000


async def respond_at_length(received, reader, writer):
    """Send a response that is longer than any buffer on its way."""
    request_id = b""
    for line in received.head.split(b"\r\n"):
        if line.startswith(b"Geraniumbend-Request-Id:"):
            request_id = line
    writer.write(
        b"HTTP/1.1 200 OK\r\nGeraniumbend-Response-Signature: s\r\n"
        b"Content-Length: %d\r\n%b\r\n\r\n%b"
        % (len(LONG_RESPONSE), request_id, LONG_RESPONSE)
    )
    await writer.drain()


class CrowdCase(unittest.IsolatedAsyncioTestCase):
    """Each crowd comes to processes that have served no other."""

    gateway_mb = GATEWAY_MB
    control_mb = CONTROL_MB
    max_fds = MAX_FDS

    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        self.hosts = Hosts(self.gateway_mb, self.control_mb, self.max_fds)
        self.addAsyncCleanup(self.hosts.stop)
        one = ScriptedBackend(respond_as(b"i-one"))
        two = ScriptedBackend(respond_at_length)
        await self.enterAsyncContext(one)
        await self.enterAsyncContext(two)
        await self.hosts.start({"one": one, "two": two})
        self.crowd = callers.Crowd()
        self.addCleanup(self.crowd.leave)

    def list_gateway_targets(self):
        """Return a rule, no rule, readiness, announcements and other hosts' port."""
        hosts = self.hosts
        return [
            (hosts.front, b"/q/x"),
            (hosts.front, b"/none/x"),
            (hosts.ready, b"/-/ready"),
            (hosts.ready, b"/v1/backend-servers/x"),
            (hosts.forward, b"/q/x"),
        ]

    def list_control_targets(self):
        """Return operators' and announcement paths, metrics and an unknown path."""
        hosts = self.hosts
        return [
            (hosts.operators, b"/-/config/put"),
            (hosts.operators, b"/-/instances/i-9/heartbeat"),
            (hosts.operators, b"/none"),
            (hosts.metrics, b"/metrics"),
        ]

    async def check(self):
        """Check life, bounds and one ordinary request while the crowd stays."""
        hosts = self.hosts
        answers = await asyncio.gather(
            hosts.ask(hosts.front, "GET", "/p/x"),
            hosts.ask(hosts.ready, "GET", "/-/ready"),
            hosts.ask(hosts.operators, "GET", "/-/config/get"),
            hosts.ask(hosts.metrics, "GET", "/metrics"),
            return_exceptions=True,
        )
        self.assertTrue(hosts.gateway.is_alive() and hosts.control.is_alive())
        hosts.gateway.sample_memory()
        hosts.control.sample_memory()
        used = {
            "gateway_mb": hosts.gateway.read_peak_mb(),
            "control_mb": hosts.control.read_peak_mb(),
            "gateway_with_unread_mb": hosts.gateway.most_with_unread_mb,
            "control_with_unread_mb": hosts.control.most_with_unread_mb,
            "gateway_fds": hosts.gateway.most_descriptors,
            "control_fds": hosts.control.most_descriptors,
        }
        bounds = {
            "gateway_mb": self.gateway_mb,
            "control_mb": self.control_mb,
            "gateway_with_unread_mb": self.gateway_mb,
            "control_with_unread_mb": self.control_mb,
            "gateway_fds": self.max_fds - RESERVED_FDS,
            "control_fds": self.max_fds - RESERVED_FDS,
        }
        if os.environ.get(FIGURES_VARIABLE):
            print(f"figures {self.id()} {used} {answers}", flush=True)
        over = {name for name in used if used[name] > bounds[name]}
        unread = (hosts.gateway.most_unread_mb, hosts.control.most_unread_mb)
        self.assertEqual(
            (over, answers), (set(), [200] * 4), f"{used}, unread {unread}"
        )
