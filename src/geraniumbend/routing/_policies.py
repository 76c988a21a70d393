"""Registry of routing policies."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple, Protocol

from geraniumbend.registries import Registry

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from geraniumbend.routing._server_views import ServerView

# Servers sampled for one request. All gateways see much the same load reports, so
# choosing the best server of all would send them all to the same one.
SAMPLE_SIZE = 4
# Round trip to another failure domain, in seconds.
CROSS_DOMAIN_HOP_S = 0.001
# Error rates up to this value do not raise the score; a single old failure would
# otherwise rank an idle server behind all others.
TOLERATED_ERROR_RATE = 0.01
# Largest random increase of a score, as a fraction of it. Without it, servers whose
# estimates differ only by noise would get all requests or none while the group is idle.
SCORE_JITTER = 0.2


class SelectionContext(NamedTuple):
    """Properties of the request for which a server is chosen, and of its group.

    Parameters
    ----------
    request_class : str
        Class of the request.
    deadline_s : float
        Time left for the response, in seconds.
    now : float
        Present time in seconds.
    mean_s : float
        Mean latency of the class in the group, in seconds.
    tail_s : float
        Latency that few requests of the class exceed, in seconds.
    utilization : float
        Median reported utilization of the group, at most 1.
    failure_domain : str
        Failure domain of this gateway.
    random : random.Random
        Source of randomness.
    slowdown : float, default=1.0
        Mean reported slowdown (duration of work over its baseline) of the group.
    """

    request_class: str
    deadline_s: float
    now: float
    mean_s: float
    tail_s: float
    utilization: float
    failure_domain: str
    random: random.Random
    slowdown: float = 1.0


class Policy(Protocol):
    """Chooses one of several backend servers.

    Attributes
    ----------
    ranks_servers : bool
        Whether the policy ranks servers by score. Only with such a policy does the
        router use long and short pools, trial requests and the results of on-demand
        probes.
    """

    uses_scores: bool

    def choose(
        self, candidates: list[ServerView], context: SelectionContext
    ) -> ServerView:
        """Return one of the candidates, of which there is at least one."""
        ...


policies: Registry[Callable[[], Policy]] = Registry("routing policy")


@policies.register("default")
class SampledScore:
    """Lowest score among a few sampled servers (power of d choices)."""

    uses_scores = True

    def choose(
        self, candidates: list[ServerView], context: SelectionContext
    ) -> ServerView:
        """Return the sampled candidate with the lowest score.

        A sampled candidate in this gateway's failure domain is preferred if its score
        is higher by no more than `CROSS_DOMAIN_HOP_S`.
        """
        scored = [(score(view, context), view) for view in _sample(candidates, context)]
        lowest, best = min(scored, key=lambda entry: add_jitter(entry[0], context))
        domain = context.failure_domain
        if domain and best.server.failure_domain != domain:
            limit = lowest + CROSS_DOMAIN_HOP_S
            local = [
                entry
                for entry in scored
                if entry[1].server.failure_domain == domain and entry[0] <= limit
            ]
            if local:
                return min(local, key=lambda entry: entry[0])[1]
        return best


@policies.register("round_robin")
class RoundRobin:
    """Each server in turn."""

    uses_scores = False

    def __init__(self) -> None:
        self._next = 0

    def choose(
        self, candidates: list[ServerView], context: SelectionContext
    ) -> ServerView:
        """Return the candidate whose turn it is."""
        self._next += 1
        return candidates[self._next % len(candidates)]


@policies.register("random")
class Random:
    """Each server with the same probability."""

    uses_scores = False

    def choose(
        self, candidates: list[ServerView], context: SelectionContext
    ) -> ServerView:
        """Return any candidate."""
        return context.random.choice(candidates)


@policies.register("least_requests")
class LeastRequests:
    """The less loaded of two servers by this gateway's own requests in flight."""

    uses_scores = False

    def choose(
        self, candidates: list[ServerView], context: SelectionContext
    ) -> ServerView:
        """Return the sampled candidate with fewer requests per slot."""
        one, other = (context.random.choice(candidates) for _ in range(2))
        if other.in_flight * one.slots < one.in_flight * other.slots:
            return other
        return one


def score(view: ServerView, context: SelectionContext) -> float:
    """Return the expected cost of sending a request to a server.

    Parameters
    ----------
    view : ServerView
        Candidate.
    context : SelectionContext
        Request and group.

    Returns
    -------
    float
        Requests per slot times expected latency in seconds; lower is better. A failed
        request counts with the whole deadline, so a server that fails fast does not
        seem fast.
    """
    now = context.now
    load = (view.estimate_in_flight(now, context.utilization) + 1) / view.slots
    latency_s = view.estimate_latency(
        context.request_class, now, context.mean_s, context.tail_s
    )
    latency_s *= view.estimate_slowdown(now, context.slowdown) / context.slowdown
    errors = max(0.0, view.error_rate(now) - TOLERATED_ERROR_RATE)
    cost_s = (1 - errors) * latency_s + errors * max(context.deadline_s, latency_s)
    return load * cost_s / view.draw_ramp_weight(now, context.random)


def add_jitter(value: float, context: SelectionContext) -> float:
    """Return a score with a random increase of up to `SCORE_JITTER`."""
    return value * (1 + SCORE_JITTER * context.random.random())


def _sample(
    candidates: list[ServerView], context: SelectionContext
) -> list[ServerView]:
    if len(candidates) <= SAMPLE_SIZE:
        return candidates
    sampled = context.random.sample(candidates, SAMPLE_SIZE)
    if context.failure_domain and all(
        view.server.failure_domain != context.failure_domain for view in sampled
    ):
        # Adds a local server. A few draws suffice unless local servers are rare or
        # there are none; the sample then stays as it is.
        for _ in range(SAMPLE_SIZE):
            view = context.random.choice(candidates)
            if view.server.failure_domain == context.failure_domain:
                return [*sampled, view]
    return sampled
