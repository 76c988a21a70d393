from __future__ import annotations

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from geraniumbend.orders import OrderJournal
from geraniumbend.wire import decode, encode, load_structs
from tests.fuzzing import fuzz

LEASE_MS = 5_000
KEYS = st.sampled_from(["k1", "k2"])
PEOPLE = st.sampled_from([b"ann", b"bob"])
BODIES = st.sampled_from([b"pay 5", b"pay 7"])
STEPS = st.sampled_from([100, 3_000, 6_000])
DAY_MS = 24 * 3600 * 1000


class Gateways(RuleBasedStateMachine):
    """Gateways claim, run, finish, give up and die; the oracle is one dict a key."""

    def __init__(self):
        super().__init__()
        self.structs = load_structs("orders")
        self.steady, self.restarted = OrderJournal(), OrderJournal()
        self.index, self.clock = 0, 0
        self.claims, self.granted, self.void, self.delayed = [], [], set(), []
        self.held = {}
        self.runs = {}

    def apply(self, **member):
        self.index += 1
        command = encode(self.structs.OrderCommand(**member))
        answers = [j.apply(self.index, command) for j in (self.steady, self.restarted)]
        assert answers[0] == answers[1], "replicas answer differently"
        assert self.steady.snapshot() == self.restarted.snapshot()
        return decode(self.structs.OrderResult, answers[0])

    def expect(self, claim):
        if claim.token in self.void:
            return "released", None
        held = self.held.get(claim.key)
        if held is None:
            return "granted", None
        if (held["caller"], held["request"]) != (claim.caller, claim.request):
            return "mismatch", None
        if held["state"] == "claimed":
            same = held["token"] == claim.token
            return ("granted" if same else "running"), None
        if held["state"] == "completed":
            return "completed", held["answer"]
        return "unknown", None

    def deliver(self, claim):
        expected = self.expect(claim)
        result = self.apply(claim=claim)
        assert (result.state, result.answer) == expected, (expected, result)
        if expected[0] == "granted" and claim.key not in self.held:
            self.held[claim.key] = {
                "caller": claim.caller,
                "request": claim.request,
                "token": claim.token,
                "state": "claimed",
                "until": self.clock + LEASE_MS,
                "answer": None,
            }
        return result

    @rule(key=KEYS, caller=PEOPLE, body=BODIES, fate=st.sampled_from("alwd"))
    def claim(self, key, caller, body, fate):
        claim = self.structs.ClaimOrder(
            key=key,
            caller=caller,
            request=body,
            token=f"t{len(self.claims)}",
            owner="g",
            lease_ms=LEASE_MS,
        )
        self.claims.append(claim)
        if fate in "wd":  # The message is on its way; the gateway may give it up.
            self.delayed.append(claim)
        if fate == "d":
            self.give_up(claim)
        elif fate in "al" and self.deliver(claim).state == "granted" and fate == "a":
            self.granted.append(claim)

    @rule(data=st.data())
    def resend_or_deliver_late(self, data):
        if self.delayed:
            claim = data.draw(st.sampled_from(self.delayed))
            if self.deliver(claim).state == "granted" and claim not in self.granted:
                self.granted.append(claim)

    @rule(data=st.data(), end=st.sampled_from(["completed", "unknown", "dies"]))
    def run(self, data, end):
        if not self.granted:
            return
        claim = data.draw(st.sampled_from(self.granted))
        self.granted.remove(claim)
        self.runs[claim.key] = self.runs.get(claim.key, 0) + 1
        assert self.runs[claim.key] <= 1, "an order ran twice"
        self.delayed = [late for late in self.delayed if late is not claim]
        if end == "dies":
            return
        answer = claim.token.encode() if end == "completed" else None
        self.finish(claim, end, answer)
        held = self.held[claim.key]
        assert held["token"] == claim.token
        if end == "completed":
            held.update(state="completed", answer=answer, until=self.clock + DAY_MS)
        elif held["state"] == "claimed":
            held.update(state="unknown", until=self.clock + DAY_MS)

    @rule(data=st.data())
    def release_unrun(self, data):
        if self.granted:
            claim = data.draw(st.sampled_from(self.granted))
            self.granted.remove(claim)
            self.give_up(claim)

    def give_up(self, claim):
        result = self.finish(claim, "released")
        assert result.state == "released"
        self.void.add(claim.token)
        held = self.held.get(claim.key)
        if held is not None and held["token"] == claim.token:
            del self.held[claim.key]
        free = claim.key not in self.held
        assert free == (claim.key not in self.steady._orders), "key stays blocked"

    def finish(self, claim, state, answer=None):
        return self.apply(
            finish=self.structs.FinishOrder(
                key=claim.key, token=claim.token, state=state, answer=answer
            )
        )

    @rule(step=STEPS)
    def advance(self, step):
        self.clock += step
        self.apply(advance=self.structs.AdvanceClock(elapsed_ms=step))
        for held in self.held.values():
            if held["state"] == "claimed" and held["until"] <= self.clock:
                held["state"] = "lapsed"

    @rule()
    def restart_from_snapshot(self):
        snapshot = self.restarted.snapshot()
        self.restarted = OrderJournal()
        self.restarted.restore(snapshot)


class GatewaysTest(Gateways.TestCase, unittest.TestCase):
    """Guards against orders that run twice, blocked keys and foreign answers."""

    settings = fuzz(max_examples=150, stateful_step_count=30)
