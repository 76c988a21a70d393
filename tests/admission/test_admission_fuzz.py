"""Compares the ranked queue with a plain sorted list in random sessions."""

from __future__ import annotations

import asyncio

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from geraniumbend.admission import Admission, AdmissionRequest, shedding_rank
from geraniumbend.errors import RefusedError
from geraniumbend.routing import ServerTable
from geraniumbend.timers import ManualTimers
from tests.fakes import FakeShares, build_configuration, build_servers
from tests.fuzzing import fuzz

SERVICE_S = 0.2
QUEUE_LIMIT = 6


class Request:
    def __init__(self, rank, number, deadline):
        self.key = (rank, number)
        self.deadline = deadline
        self.task = None
        self.ticket = None
        self.granted_at = None


class AdmissionMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.timers = ManualTimers()
        table = ServerTable(self.timers)
        table.update(build_servers(2, slots=1), build_configuration())
        # Too few samples for the threshold to apply: only the queue decides.
        for _ in range(5):
            table.costs.observe("g", "c", SERVICE_S)
        self.admission = Admission(table, FakeShares(1), self.timers, QUEUE_LIMIT, 1)
        self.requests = []
        self.order = []

    def teardown(self):
        for request in self.requests:
            request.task.cancel()
        # Lets the periodic sweep of the queues stop.
        self.advance(0.1)
        self.loop.close()

    def advance(self, delay_s):
        self.loop.run_until_complete(self.timers.advance(delay_s))

    def waiting(self):
        return [request for request in self.requests if not request.task.done()]

    def running(self):
        return [request for request in self.requests if request.ticket is not None]

    @rule(sheet=st.integers(0, 20), time_s=st.sampled_from([0.1, 0.5, 2.0, 30.0]))
    def arrive(self, sheet, time_s):
        name = f"sheet-{sheet}"
        deadline = self.timers.now() + time_s
        request = Request(shedding_rank(name), len(self.requests), deadline)

        async def run():
            admission_request = AdmissionRequest(
                "g", "c", name, f"{request.key}", deadline
            )
            request.ticket = await self.admission.admit(admission_request)
            request.granted_at = self.timers.now()
            self.order.append(request)

        request.task = self.loop.create_task(run())
        self.requests.append(request)
        self.advance(0)

    @rule(index=st.integers(0, 10))
    def finish(self, index):
        running = self.running()
        if not running:
            return
        now = self.timers.now()
        eligible = [r for r in self.waiting() if now + SERVICE_S <= r.deadline]
        eligible.sort(key=lambda request: request.key)
        self.order.clear()
        done = running[index % len(running)]
        done.ticket.release()
        done.ticket.release()
        done.ticket = None
        self.advance(0)
        assert self.order == eligible[:1]

    @rule(index=st.integers(0, 10))
    def cancel(self, index):
        waiting = self.waiting()
        if waiting:
            waiting[index % len(waiting)].task.cancel()
            self.advance(0)

    @rule(delay_s=st.sampled_from([0.01, 0.2, 1.0]))
    def wait(self, delay_s):
        self.advance(delay_s)

    @invariant()
    def slots_are_all_used_and_never_exceeded(self):
        state = self.admission.dump().get("g/short")
        if state is None:
            return
        assert state["running"] == len(self.running()) <= state["limit"] == 4
        assert state["queued"] == len(self.waiting()) <= QUEUE_LIMIT
        assert not (self.waiting() and len(self.running()) < state["limit"])

    @invariant()
    def every_ended_request_is_admitted_in_time_or_refused_as_not_run(self):
        for request in self.requests:
            if not request.task.done() or request.task.cancelled():
                continue
            error = request.task.exception()
            if error is not None:
                assert isinstance(error, RefusedError) and error.run == "not_run"
            else:
                assert request.granted_at + SERVICE_S <= request.deadline


class AdmissionFuzzTest(AdmissionMachine.TestCase):
    settings = fuzz(max_examples=60, stateful_step_count=30)
