"""Experiment: faults while the control hosts form their cluster."""

from __future__ import annotations

import asyncio
import functools
import multiprocessing
import os
import random
from concurrent.futures import ProcessPoolExecutor
from typing import Any

from bench._experiments import Options, experiments
from bench._formation_schedules import (
    Formation,
    Formed,
    count_kinds,
    draw_faults,
    list_faults,
    play_formation,
)

TOLERATED = (0, 1, 2)
# Formations with several faults, drawn at random.
SAMPLED_FORMATIONS = 1_000
# Share of them in which the founders ask each other for their logs.
ASKING_SHARE = 0.3


def list_formations(options: Options) -> list[Formation]:
    """Return the formations of an experiment, each with its own seed."""
    rng = random.Random(options.seed)
    single = [
        formation
        for tolerated in TOLERATED
        for founders_ask in (False, True)
        for drawn in [(), *((fault,) for fault in list_faults())]
        if (
            formation := Formation(tolerated, drawn, rng.getrandbits(32), founders_ask)
        ).is_tolerated()
    ]
    chosen = rng.sample(single, round(len(single) * min(1.0, options.scale)))
    wanted = len(chosen) + round(SAMPLED_FORMATIONS * options.scale)
    while len(chosen) < wanted:
        formation = draw_formation(rng)
        if formation.is_tolerated():
            chosen.append(formation)
    return chosen


def draw_formation(rng: random.Random) -> Formation:
    """Return a formation with faults of several hosts."""
    tolerated = rng.choice(TOLERATED)
    founders_ask = rng.random() < ASKING_SHARE
    return Formation(tolerated, draw_faults(rng), rng.getrandbits(32), founders_ask)


def summarize(played: list[Formed]) -> dict[str, Any]:
    """Return the figures of played formations."""
    failed = [formed for formed in played if not formed.is_complete]
    times = [formed.acknowledged_after_s or 0.0 for formed in played]
    shortest = min(failed, key=lambda f: len(f.formation.faults), default=None)
    return {
        "formations": len(played),
        "incomplete": len(failed),
        "never_acknowledged": sum(f.acknowledged_after_s is None for f in failed),
        "hosts_outside": sum(bool(f.outside) for f in failed),
        "incomplete_by_kind": count_kinds(played),
        "acknowledged_after_s_max": max(times, default=0.0),
        "shortest_failure": None if shortest is None else str(shortest),
    }


def _play_all(formations: list[Formation]) -> list[Formed]:
    workers = max(1, (os.cpu_count() or 2) // 2)
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(workers, context) as pool:
        return list(pool.map(play_formation, formations, chunksize=4))


@experiments.register("formation")
async def measure_formation(options: Options) -> dict[str, Any]:
    """Disturb the first start of control hosts at each of its steps.

    Parameters
    ----------
    options : Options
        Seed, and share of the formations with one fault and factor on the number of
        those with several.

    Returns
    -------
    dict
        Number of formations, and of those after which no change was acknowledged or a
        host was not a member `RECOVERY_S` after the last fault.
    """
    run = functools.partial(_play_all, list_formations(options))
    return summarize(await asyncio.to_thread(run))
