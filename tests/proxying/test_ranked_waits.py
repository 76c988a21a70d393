"""Waits and refusals of requests while admission by rank and tenant is on."""

from __future__ import annotations

import json
import unittest

from geraniumbend.errors import RefusedError
from geraniumbend.routing import SlotTurn
from tests.adapters._scripted_backend import (
    ScriptedBackend,
    reply,
    use_default_loop,
    use_uvloop,
)
from tests.proxying._data_path import DataPath, make_rule

setUpModule = use_uvloop
tearDownModule = use_default_loop

DEADLINE_S = 0.8
# Time that a response needs by the router of these tests.
RESPONSE_S = 0.015


class FakeRanking:
    def __init__(self):
        self.asked = []

    def find_turn(self, group, rank, tenant, arrived_s):
        self.asked.append((group, rank, tenant))
        return SlotTurn(rank, 7.0, arrived_s)


class RankedWaitTest(unittest.IsolatedAsyncioTestCase):
    def build(self, backend, ranking):
        path = DataPath(backend, rule=make_rule(deadline_s=DEADLINE_S, importance=2))
        path.ranking = ranking
        return path

    async def test_wait_leaves_time_for_the_response_and_is_in_turn(self):
        """Guards against callers that are held past their deadline."""
        ranking = FakeRanking()
        async with (
            ScriptedBackend(reply()) as backend,
            self.build(backend, ranking) as path,
        ):
            self.assertEqual((await path.get())[0], 200)
            self.assertLessEqual(path.router.max_wait_s[0], DEADLINE_S - RESPONSE_S)
            self.assertEqual([turn[:2] for turn in path.router.turns], [(2, 7.0)])
            self.assertEqual(ranking.asked, [("g", 2, "")])

    async def test_without_ranking_the_wait_is_the_same_in_order_of_arrival(self):
        async with ScriptedBackend(reply()) as backend, self.build(backend, None) as p:
            self.assertEqual((await p.get())[0], 200)
            self.assertEqual((await p.get())[0], 200)
            for max_wait_s in p.router.max_wait_s:
                self.assertAlmostEqual(max_wait_s, DEADLINE_S - RESPONSE_S, delta=0.1)
            first, second = p.router.turns
            self.assertLess(first, second)

    async def test_refusal_beside_full_servers_tells_when_there_is_room(self):
        async with (
            ScriptedBackend(reply()) as backend,
            self.build(backend, FakeRanking()) as path,
        ):

            async def refuse(*arguments, **options):
                raise RefusedError("full", kind="saturated", retry_after_s=2.5)

            path.router.probe_candidates = refuse
            status, headers, body = await path.get()
            self.assertEqual((status, json.loads(body)["run"]), (503, "not_run"))
            self.assertEqual(path.admission.refusals, 1)
            self.assertEqual(headers["retry-after"], "3")

    async def test_request_whose_slot_is_taken_meanwhile_waits_again(self):
        """Guards against refusals of requests that lose a race for a slot."""
        async with (
            ScriptedBackend(reply()) as backend,
            self.build(backend, FakeRanking()) as path,
        ):
            choose, taken = path.router.choose, []

            def refuse_once(*arguments, **options):
                if not taken:
                    taken.append(1)
                    raise RefusedError("full", kind="saturated", retry_after_s=0.01)
                return choose(*arguments, **options)

            path.router.choose = refuse_once
            self.assertEqual((await path.get())[0], 200)
            self.assertEqual(path.router.turns[0], path.router.turns[1])
