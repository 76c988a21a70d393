from __future__ import annotations

import unittest

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from geraniumbend.orders import OrderJournal
from geraniumbend.wire import decode, encode, load_structs
from tests.fuzzing import fuzz

LEASE_MS = 5_000
KEYS = st.sampled_from(["k1", "k2"])
CALLERS = st.sampled_from([b"ann", b"bob"])
BODIES = st.sampled_from([b"pay 5", b"pay 7"])
ELAPSED_MS = st.sampled_from([100, 3_000, 6_000])
DAY_MS = 24 * 3600 * 1000


class Gateways(RuleBasedStateMachine):
    """Compares journals with a model that holds one dict for each key.

    Gateways claim keys, run, finish and release orders, or crash. Every command goes to
    two journals, one of which is sometimes restored from its own snapshot; both have to
    return the same results and reach the same state.
    """

    def __init__(self):
        super().__init__()
        self.structs = load_structs("orders")
        self.uninterrupted, self.restarted = OrderJournal(), OrderJournal()
        self.index, self.clock = 0, 0
        self.all_claims, self.granted_claims, self.void_tokens, self.delayed_claims = (
            [],
            [],
            set(),
            [],
        )
        self.expected_orders = {}
        self.runs = {}

    def apply(self, **member):
        self.index += 1
        command = encode(self.structs.OrderCommand(**member))
        results = [
            journal.apply(self.index, command)
            for journal in (self.uninterrupted, self.restarted)
        ]
        assert results[0] == results[1], "replicas return different results"
        assert self.uninterrupted.snapshot() == self.restarted.snapshot()
        return decode(self.structs.OrderResult, results[0])

    def predict(self, claim):
        if claim.token in self.void_tokens:
            return "released", None
        order = self.expected_orders.get(claim.key)
        if order is None:
            return "granted", None
        if (order["caller"], order["request"]) != (claim.caller, claim.request):
            return "mismatch", None
        if order["state"] == "claimed":
            same = order["token"] == claim.token
            return ("granted" if same else "running"), None
        if order["state"] == "completed":
            return "completed", order["answer"]
        return "unknown", None

    def deliver(self, claim):
        expected = self.predict(claim)
        result = self.apply(claim=claim)
        assert (result.state, result.answer) == expected, (expected, result)
        if expected[0] == "granted" and claim.key not in self.expected_orders:
            self.expected_orders[claim.key] = {
                "caller": claim.caller,
                "request": claim.request,
                "token": claim.token,
                "state": "claimed",
                "until": self.clock + LEASE_MS,
                "answer": None,
            }
        return result

    @rule(key=KEYS, caller=CALLERS, body=BODIES, fate=st.sampled_from("alwd"))
    def claim(self, key, caller, body, fate):
        claim = self.structs.ClaimOrder(
            key=key,
            caller=caller,
            request=body,
            token=f"t{len(self.all_claims)}",
            owner="g",
            lease_ms=LEASE_MS,
        )
        self.all_claims.append(claim)
        # a: the gateway gets the result; l: the result is lost; w: the message is
        # delayed; d: the message is delayed and the gateway releases the claim.
        if fate in "wd":
            self.delayed_claims.append(claim)
        if fate == "d":
            self.release_claim(claim)
        elif fate in "al" and self.deliver(claim).state == "granted" and fate == "a":
            self.granted_claims.append(claim)

    @rule(data=st.data())
    def resend_or_deliver_late(self, data):
        if self.delayed_claims:
            claim = data.draw(st.sampled_from(self.delayed_claims))
            if (
                self.deliver(claim).state == "granted"
                and claim not in self.granted_claims
            ):
                self.granted_claims.append(claim)

    @rule(data=st.data(), end=st.sampled_from(["completed", "unknown", "dies"]))
    def run(self, data, end):
        if not self.granted_claims:
            return
        claim = data.draw(st.sampled_from(self.granted_claims))
        self.granted_claims.remove(claim)
        self.runs[claim.key] = self.runs.get(claim.key, 0) + 1
        assert self.runs[claim.key] <= 1, "an order ran twice"
        self.delayed_claims = [
            late for late in self.delayed_claims if late is not claim
        ]
        if end == "dies":
            return
        response = claim.token.encode() if end == "completed" else None
        self.finish(claim, end, response)
        order = self.expected_orders[claim.key]
        assert order["token"] == claim.token
        if end == "completed":
            order.update(state="completed", answer=response, until=self.clock + DAY_MS)
        elif order["state"] == "claimed":
            order.update(state="unknown", until=self.clock + DAY_MS)

    @rule(data=st.data())
    def release_unrun(self, data):
        if self.granted_claims:
            claim = data.draw(st.sampled_from(self.granted_claims))
            self.granted_claims.remove(claim)
            self.release_claim(claim)

    def release_claim(self, claim):
        result = self.finish(claim, "released")
        assert result.state == "released"
        self.void_tokens.add(claim.token)
        order = self.expected_orders.get(claim.key)
        if order is not None and order["token"] == claim.token:
            del self.expected_orders[claim.key]
        free = claim.key not in self.expected_orders
        assert free == (claim.key not in self.uninterrupted._orders), (
            "key stays blocked"
        )

    def finish(self, claim, state, response=None):
        return self.apply(
            finish=self.structs.FinishOrder(
                key=claim.key, token=claim.token, state=state, answer=response
            )
        )

    @rule(elapsed_ms=ELAPSED_MS)
    def advance(self, elapsed_ms):
        self.clock += elapsed_ms
        self.apply(advance=self.structs.AdvanceClock(elapsed_ms=elapsed_ms))
        for order in self.expected_orders.values():
            if order["state"] == "claimed" and order["until"] <= self.clock:
                order["state"] = "lapsed"

    @rule()
    def restart_from_snapshot(self):
        snapshot = self.restarted.snapshot()
        self.restarted = OrderJournal()
        self.restarted.restore(snapshot)


class GatewaysTest(Gateways.TestCase, unittest.TestCase):
    """Guards against orders that run twice, blocked keys and responses of others."""

    settings = fuzz(max_examples=150, stateful_step_count=30)
