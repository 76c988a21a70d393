from __future__ import annotations

import asyncio
import unittest
import uuid

from tests.golden.recorder import Session

CONFIGURATION = """\
[groups.classes]
selector = "app=classes,wave!=old"
[groups.entries]
selector = "app=entries"
[rules.class-lists]
group = "classes"
match = { path_prefix = "/classes/" }
[rules.entries]
group = "entries"
deadline_s = 3.0
match = { path_prefix = "/entries/", methods = ["POST"] }
order = { key_header = "Idempotency-Key" }
"""
KEY = str(uuid.UUID(int=7))
OWNER, OTHER_CALLER = "Bearer breeder", "Bearer stranger"


class GoldenSessionsTest(unittest.IsolatedAsyncioTestCase):
    """Whole sessions with changes, traffic and faults, as every party observed them."""

    maxDiff = None

    async def start(self, session):
        for name, app in (("c0", "classes"), ("c1", "classes"), ("e0", "entries")):
            await session.add_server(name, app=app)
        file = session.cluster.folder / "shows.toml"
        file.write_text(CONFIGURATION)
        await session.operate("apply shows.toml", "apply", str(file), "--wait")
        await session.cluster.wait_until_ready()
        await asyncio.sleep(1.5)

    async def test_operators_race_and_resend_while_a_control_host_dies(self):
        async with Session() as session:
            await self.start(session)
            change = {
                "operations": [
                    {
                        "operation": "set_labels",
                        "server_id": "c0",
                        "labels": {"wave": "old"},
                    }
                ],
                "expected_revision": 1,
                "wait_s": 5,
            }
            await session.send("label c0 on revision 1", change | {"change_id": KEY})
            competing = change | {"change_id": str(uuid.UUID(int=8))}
            await session.send("another operator on revision 1", competing)
            await session.send("resend of the first", change | {"change_id": KEY})
            await session.cluster.controls[0].kill()
            await session.send("resend after a host died", change | {"change_id": KEY})
            for part in range(3):
                await session.call(part % 2, "GET", f"/classes/{part}")
            await session.operate("history", "list", "labels", "--output", "json")
            session.record_runs("c0")
            session.compare(self, "operators")

    async def test_orders_are_resent_changed_interrupted_or_of_another_caller(self):
        async with Session() as session:
            await self.start(session)
            order = {"Idempotency_Key": "k1", "Authorization": OWNER}
            path = "/entries/7"
            await session.call(0, "POST", path, "order", b"fee", **order)
            await session.call(1, "POST", path, "resend elsewhere", b"fee", **order)
            await session.call(1, "POST", path, "other body", b"more", **order)
            other_caller = order | {"Authorization": OTHER_CALLER}
            await session.call(
                0, "POST", path, "key of another caller", b"fee", **other_caller
            )
            await session.call(0, "POST", path, "no key", b"fee")
            session.record_runs("e0")
            slow = {"Idempotency_Key": "k2", "Authorization": OWNER}
            running = asyncio.create_task(
                session.call(0, "POST", "/entries/8?ms=1500", "slow", b"fee", **slow)
            )
            await asyncio.sleep(0.5)
            await session.cluster.gateways[0].kill()
            await running
            path = "/entries/8?ms=1500"
            await session.call(
                1, "POST", path, "resend after the crash", b"fee", **slow
            )
            session.record_runs("e0")
            session.compare(self, "orders")

    async def test_request_that_crashes_servers_is_quarantined(self):
        async with Session() as session:
            await self.start(session)
            await session.add_server("c2", app="classes")
            await asyncio.sleep(1.5)
            for server in session.servers.values():
                server.crash_on = "poison"
            for gateway in (0, 1, 0):
                await session.call(gateway, "GET", "/classes/poison")
            alive = [n for n, s in session.servers.items() if s.running]
            session.record("backend servers", "alive", count=len(alive))
            await session.call(1, "GET", "/classes/1", "another request")
            session.compare(self, "quarantine")
