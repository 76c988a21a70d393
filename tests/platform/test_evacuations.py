"""Evacuations of failure domains with control hosts and a gateway of the platform."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack

from tests.adapters._scripted_backend import ScriptedBackend
from tests.platform.test_configuration import build_document
from tests.platform.test_system import ROUTES, PlatformCase, respond_as


class PlatformEvacuationTest(PlatformCase):
    async def evacuate(self, action, zone="east", host=1):
        path = f"/-/evacuations/{zone}/{action}"
        return (await self.deployment.call_control("POST", path, host=host))[0]

    async def start_backends(self, stack):
        """Start one instance in each of two zones."""
        backends = {}
        for number, zone in enumerate(("east", "west")):
            name = f"i-{number}"
            backend = ScriptedBackend(respond_as(name.encode()))
            backends[zone] = await stack.enter_async_context(backend)
            info = {"service": "one", "version": "v", "zone": zone, "capacity": 4}
            await self.send_heartbeat(name, backend.port, 1, info=info)
        return backends

    async def send_all(self, count=12):
        """Send requests; return their statuses."""
        answers = await asyncio.gather(
            *(self.deployment.send_request("/p/x") for _ in range(count))
        )
        return {status for status, _, _ in answers}

    async def count_new_requests(self, backend):
        before = count_requests(backend)
        self.assertEqual(await self.send_all(), {200})
        return count_requests(backend) - before

    async def wait_for_requests(self, backend):
        async def has_new():
            return await self.count_new_requests(backend) > 0

        await self.deployment.wait_until(has_new)

    async def wait_for_revision(self, gateway, domains):
        await self.deployment.wait_until(
            lambda: gateway._configuration_view.current.evacuated == domains
        )

    async def test_evacuated_zone_gets_no_requests_until_its_end(self):
        """Guards against requests to a zone after its evacuation was acknowledged."""
        deployment = self.deployment
        gateway = await deployment.start_gateway(11)
        await self.put_configuration(build_document(ROUTES, "r1"))
        await deployment.wait_until_configured(gateway)
        async with AsyncExitStack() as stack:
            backends = await self.start_backends(stack)
            await self.wait_for_status("/p/x", 200)
            await self.wait_for_requests(backends["east"])
            self.assertEqual(await self.evacuate("start", host=2), 200)
            await self.wait_for_revision(gateway, ("east",))
            self.assertEqual(await self.count_new_requests(backends["east"]), 0)
            # Sent again, by another operator, and after a replacement.
            self.assertEqual(await self.evacuate("start", host=3), 200)
            await self.put_configuration(build_document(ROUTES, "r2"), host=3)
            await deployment.wait_until(
                lambda: gateway._configuration_view.current.version == 2
            )
            self.assertEqual(await self.count_new_requests(backends["east"]), 0)
            self.assertEqual(gateway.dump()["evacuated"], ["east"])
            self.assertIn(
                b'geraniumbend_evacuated_servers{domain="east"} 1',
                gateway.render_metrics(),
            )
            self.assertEqual(await self.evacuate("end"), 200)
            await self.wait_for_requests(backends["east"])

    async def test_request_that_waits_for_the_zone_goes_to_another(self):
        """Guards against bytes that are written after the evacuation was applied."""
        deployment = self.deployment
        gateway = await deployment.start_gateway(11)
        await self.put_configuration(build_document(ROUTES))
        await deployment.wait_until_configured(gateway)
        begin_run = gateway._quarantine.begin_run
        view = gateway._configuration_view
        chosen = []

        async def evacuate_chosen(fingerprint):
            busy = next(v for v in gateway._table.all_views() if v.in_flight)
            chosen.append(busy)
            configuration = view.current._replace(
                revision=view.current.revision + 1,
                evacuated=(busy.server.failure_domain,),
            )
            gateway._quarantine.begin_run = begin_run
            view.install(configuration)
            await begin_run(fingerprint)

        async with AsyncExitStack() as stack:
            backends = await self.start_backends(stack)
            await deployment.wait_until(lambda: len(gateway._table.all_views()) == 2)
            # The second route does not allow a retry.
            for path in ("/p/x", "/q/x"):
                gateway._quarantine.begin_run = evacuate_chosen
                status, _, _ = await deployment.send_request(path)
                self.assertEqual(status, 200)
                server = chosen[-1].server
                written = backends[server.failure_domain].received
                path_seen = f"GET {path} ".encode()
                self.assertFalse(any(path_seen in r.head for r in written))
                self.assertEqual(chosen[-1].error_rate(0.0), 0.0)
            self.assertIn(b"evacuation_withheld 2", gateway.render_metrics())

    async def test_restarted_gateway_sends_nothing_to_the_zone(self):
        """Guards against a gateway that serves with a revision from before."""
        deployment = self.deployment
        await self.put_configuration(build_document(ROUTES))
        self.assertEqual(await self.evacuate("start"), 200)
        async with AsyncExitStack() as stack:
            backends = await self.start_backends(stack)
            gateway = await deployment.start_gateway(11)
            await deployment.wait_until_configured(gateway)
            await self.wait_for_status("/p/x", 200)
            await self.count_new_requests(backends["west"])
            self.assertEqual(count_requests(backends["east"]), 0)

    async def test_evacuation_outlives_a_lost_host_and_needs_a_majority(self):
        deployment = self.deployment
        await self.put_configuration(build_document(ROUTES))
        self.assertEqual(await self.evacuate("start"), 200)
        await deployment.controls.pop(1).stop()

        async def begins():
            return await self.evacuate("start", "north", host=2) == 200

        await deployment.wait_until(begins)
        store = deployment.controls[3]._store
        await deployment.wait_until(
            lambda: store.current.evacuated == ("east", "north")
        )
        await deployment.controls.pop(2).stop()
        self.assertEqual(await self.evacuate("end", host=3), 503)
        self.assertEqual(store.current.evacuated, ("east", "north"))

    async def test_malformed_calls_change_nothing(self):
        await self.put_configuration(build_document(ROUTES))
        for zone, action, expected in (
            ("-east", "start", 400),
            ("e" * 200, "start", 400),
            ("a%20b", "end", 400),
            ("east", "pause", 404),
            ("", "start", 400),
        ):
            self.assertEqual(await self.evacuate(action, zone), expected, zone)
        # The end of an evacuation that has not begun is acknowledged without effect.
        self.assertEqual(await self.evacuate("end", "unknown"), 200)
        controls = self.deployment.controls.values()
        revisions = {control._store.current.revision for control in controls}
        self.assertLessEqual(revisions, {0, 1})


def count_requests(backend):
    """Return the callers' requests that a backend received, without probes."""
    return sum(received.head.startswith(b"GET /p/") for received in backend.received)
