"""Experiment on losses of disks and power at the end of a schedule."""

from __future__ import annotations

import asyncio
import functools
import multiprocessing
import os
import random
from concurrent.futures import ProcessPoolExecutor
from typing import TYPE_CHECKING, Any, NamedTuple

from bench._experiments import Options, experiments
from bench._loss_schedules import (
    LIVE_KINDS,
    Ending,
    Outcome,
    Schedule,
    iterate_sequences,
    list_endings,
    play,
)
from bench._loss_steps import steps

if TYPE_CHECKING:
    from collections.abc import Iterable

# Sequences of up to this many steps are played with every end.
EXHAUSTIVE_STEPS = 1
# Longer sequences, drawn at random, and the ends that are drawn for each.
SAMPLED_SEQUENCES = 400
SAMPLED_STEPS = (2, 3, 4, 5)
SAMPLED_LIVE = 1
SAMPLED_COPIED = 24
LONG_SEQUENCES = 2
LONG_CHANGES = 1_000
SYNC_S = 0.005
SLOW_SYNC_S = 0.150


class Deployment(NamedTuple):
    """Number of control hosts and of disks that may be lost at once."""

    hosts: int
    tolerated: int


DEPLOYMENTS = (Deployment(5, 2), Deployment(3, 1))


def list_schedules(options: Options) -> list[Schedule]:
    """Return the schedules of an experiment, each with its own seed."""
    rng = random.Random(options.seed)
    schedules = [
        _create(deployment, names, list_endings(*deployment), rng)
        for deployment in DEPLOYMENTS
        for names in iterate_sequences(EXHAUSTIVE_STEPS)
    ]
    for _ in range(round(SAMPLED_SEQUENCES * options.scale)):
        deployment = rng.choice(DEPLOYMENTS)
        names = tuple(rng.choices(steps.names(), k=rng.choice(SAMPLED_STEPS)))
        schedules.append(_create(deployment, names, _draw(deployment, rng), rng))
    for sync_s in (SYNC_S, SLOW_SYNC_S):
        for _ in range(LONG_SEQUENCES):
            count = round(LONG_CHANGES * options.scale)
            deployment = DEPLOYMENTS[0]
            names = ("change",) * count
            endings = _draw(deployment, rng)
            schedules.append(_create(deployment, names, endings, rng, sync_s))
    return schedules


def summarize(outcomes: Iterable[Outcome], slow_seeds: set[int]) -> dict[str, Any]:
    """Return the figures of played schedules."""
    played = list(outcomes)
    failed = {
        "unreadable": [o for o in played if o.read is None],
        "lost": [o for o in played if o.read == 0 and o.acknowledged],
        "reverted": [o for o in played if o.read and o.read < o.acknowledged],
    }
    times = {slow: [0.0] for slow in (False, True)}
    for outcome in played:
        if outcome.read is not None:
            times[outcome.seed in slow_seeds].append(outcome.read_after_s)
    shortest = min(
        (o for outcomes in failed.values() for o in outcomes),
        key=lambda outcome: len(outcome.steps),
        default=None,
    )
    return {
        "schedules": len(played),
        "explored_exhaustively": sum(len(o.steps) <= EXHAUSTIVE_STEPS for o in played),
        "acknowledged": sum(o.acknowledged for o in played),
        **{name: len(outcomes) for name, outcomes in failed.items()},
        "read_after_s_max": round(max(times[False]), 3),
        "read_after_s_max_slow_disks": round(max(times[True]), 3),
        "shortest_failure": None if shortest is None else str(shortest),
    }


def _create(
    deployment: Deployment,
    names: tuple[str, ...],
    endings: list[Ending],
    rng: random.Random,
    sync_s: float = SYNC_S,
) -> Schedule:
    seed = rng.getrandbits(32)
    hosts, tolerated = deployment
    return Schedule(hosts, tolerated, names, tuple(endings), seed, sync_s)


def _draw(deployment: Deployment, rng: random.Random) -> list[Ending]:
    endings = list_endings(*deployment)
    live = [ending for ending in endings if ending.kind in LIVE_KINDS]
    copied = [ending for ending in endings if ending.kind not in LIVE_KINDS]
    return [
        *rng.sample(live, SAMPLED_LIVE),
        *rng.choices(copied, k=SAMPLED_COPIED),
    ]


def _play_all(schedules: list[Schedule]) -> list[Outcome]:
    workers = max(1, (os.cpu_count() or 2) // 2)
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(workers, context) as pool:
        played = pool.map(play, schedules, chunksize=4)
        return [outcome for outcomes in played for outcome in outcomes]


@experiments.register("final_losses")
async def measure_final_losses(options: Options) -> dict[str, Any]:
    """Lose disks and power after schedules of faults, and read the newest version.

    The replicated log, the configuration service and the changes of members are the
    real ones; disks, network and time are modelled.

    Parameters
    ----------
    options : Options
        Seed, and factor on the number of sampled schedules and of versions.

    Returns
    -------
    dict
        Number of schedules, of what was lost, reverted or could not be read, and the
        longest time until a read was answered, in seconds.
    """
    schedules = list_schedules(options)
    slow_seeds = {s.seed for s in schedules if s.sync_s == SLOW_SYNC_S}
    run = functools.partial(_play_all, schedules)
    return summarize(await asyncio.to_thread(run), slow_seeds)
