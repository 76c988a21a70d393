"""Schedules of faults at control hosts, each with an end at which disks are lost."""

from __future__ import annotations

import asyncio
import itertools
import logging
import random
from typing import TYPE_CHECKING, NamedTuple
from unittest.mock import patch

from bench._control_hosts import ControlHosts
from bench._loss_steps import DOWN_S, steps
from bench._virtual_clock import run_virtually
from geraniumbend.replication import _core

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bench._loss_disk import LossDisk


# Bound of the users' platform for reads to be answered again, in seconds.
READ_TIMEOUT_S = 15.0
# Times in seconds.
FORMATION_S = 3.0
# Number of syncs that the formation waits for besides.
FORMATION_SYNCS = 50
SENT_SPREAD_S = 0.06
MINORITY_READ_S = 3.0
CONTACT_S = 0.15
# Compaction after so few entries that short schedules reach it.
COMPACT_ENTRIES = 8
TRAILING_ENTRIES = 3

# Kinds of ends that need running processes; the others are played on copies of disks.
LIVE_KINDS = ("kept", "behind")


class Ending(NamedTuple):
    """End of a schedule.

    Parameters
    ----------
    kind : {"kept", "power", "killed", "sent", "behind"}
        What happens to the hosts that keep their disks: they go on, lose power, are
        killed, or lose power while a change is on its way. With "behind" some hosts are
        cut off and miss a change, one comes back empty, the others lose power soon
        after, and the empty one meets those that were cut off.
    lost : tuple of int
        Positions of the hosts, in order of their names, whose disks are lost; with
        "behind" only that of the last one, the others are cut off.
    """

    kind: str
    lost: tuple[int, ...]


class Schedule(NamedTuple):
    """Steps before the end, and the ends to play.

    Parameters
    ----------
    hosts : int
        Number of control hosts.
    tolerated : int
        Number of disks that may be lost at once.
    steps : tuple of str
        Names of the steps.
    endings : tuple of Ending
        Ends; those of `LIVE_KINDS` are played on runs of their own.
    seed : int
        Seed of all random choices.
    sync_s : float
        Time of one sync, in seconds.
    """

    hosts: int
    tolerated: int
    steps: tuple[str, ...]
    endings: tuple[Ending, ...]
    seed: int
    sync_s: float


class Outcome(NamedTuple):
    """What was read back after one end of a schedule.

    Parameters
    ----------
    steps : tuple of str
        Names of the steps.
    ending : Ending
        The end.
    seed : int
        Seed of the schedule.
    acknowledged : int
        Newest version that was acknowledged.
    read : int or None
        Version that was read back; None if no host answered in time.
    read_after_s : float
        Time from the moment at which all hosts are up, in seconds.
    """

    steps: tuple[str, ...]
    ending: Ending
    seed: int
    acknowledged: int
    read: int | None
    read_after_s: float


def list_endings(hosts: int, tolerated: int) -> list[Ending]:
    """Return each choice of disks that may be lost, with each kind of end."""
    choices = [
        lost
        for count in range(tolerated + 1)
        for lost in itertools.combinations(range(hosts), count)
    ]
    endings = [Ending("power", lost) for lost in choices]
    endings += [Ending("kept", lost) for lost in choices if len(lost) == tolerated]
    endings += [Ending("sent", lost) for lost in choices if len(lost) == tolerated]
    for cut in itertools.combinations(range(hosts), tolerated):
        rest = [position for position in range(hosts) if position not in cut]
        endings += [Ending("behind", (*cut, emptied)) for emptied in rest]
    return [*endings, Ending("killed", ())]


def iterate_sequences(length: int) -> Iterator[tuple[str, ...]]:
    """Yield all sequences of up to `length` steps, short ones first."""
    for count in range(length + 1):
        yield from itertools.product(steps.names(), repeat=count)


def play(schedule: Schedule) -> list[Outcome]:
    """Play a schedule in virtual time and return the outcome of each end."""
    logging.disable(logging.CRITICAL)
    outcomes: list[Outcome] = []
    copied = [e for e in schedule.endings if e.kind not in LIVE_KINDS]
    with (
        patch.object(_core, "COMPACT_ENTRIES", COMPACT_ENTRIES),
        patch.object(_core, "TRAILING_ENTRIES", TRAILING_ENTRIES),
    ):
        if copied:
            outcomes += run_virtually(_Run(schedule).play_copied(copied))
        for ending in schedule.endings:
            if ending.kind == "kept":
                outcomes.append(run_virtually(_Run(schedule).play_kept(ending)))
            elif ending.kind == "behind":
                outcomes.append(run_virtually(_Run(schedule).play_behind(ending)))
    return outcomes


class _Run:
    def __init__(self, schedule: Schedule) -> None:
        # The jitter of timers draws from the global generator.
        random.seed(schedule.seed)
        self._schedule = schedule
        self._rng = random.Random(schedule.seed)
        self._founders = [f"h{n}" for n in range(1, min(3, schedule.hosts) + 1)]
        self._hosts = self._create_hosts()

    async def play_kept(self, ending: Ending) -> Outcome:
        """Lose disks while the other hosts go on."""
        hosts = await self._play_steps()
        lost = [sorted(hosts.disks)[position] for position in ending.lost]
        for name in lost:
            await hosts.end(name)
            del hosts.disks[name]
        await asyncio.sleep(DOWN_S)
        for name in lost:
            await hosts.start(name)
        return await self._read_back(hosts, ending)

    async def play_behind(self, ending: Ending) -> Outcome:
        """Let hosts that missed a change meet one that comes back empty."""
        hosts = await self._play_steps()
        names = sorted(hosts.disks)
        *cut, emptied = [names[position] for position in ending.lost]
        rest = [name for name in names if name not in cut]
        hosts.network.cut = {(a, b) for a in cut for b in rest}
        hosts.network.cut |= {(b, a) for a in cut for b in rest}
        await hosts.change()
        await hosts.end(emptied)
        del hosts.disks[emptied]
        await asyncio.sleep(DOWN_S)
        await hosts.start(emptied)
        # The empty host may hold a part of the log when the others are lost to it.
        await asyncio.sleep(self._rng.uniform(0.0, CONTACT_S))
        for name in rest:
            if name != emptied:
                await hosts.end(name)
        hosts.network.cut = set()
        read, seconds = await hosts.read(MINORITY_READ_S)
        if read is not None and read < hosts.acknowledged:
            await hosts.close()
            schedule = self._schedule
            return Outcome(
                schedule.steps,
                ending,
                schedule.seed,
                hosts.acknowledged,
                read,
                seconds,
            )
        for name in rest:
            if name != emptied:
                await hosts.start(name)
        return await self._read_back(hosts, ending)

    async def play_copied(self, endings: list[Ending]) -> list[Outcome]:
        """Lose power on copies of the disks, at the acknowledgement or before it."""
        hosts = await self._play_steps()
        at_acknowledgement = hosts.copy_disks()
        acknowledged_then = hosts.acknowledged
        outcomes: list[Outcome] = []
        for ending in endings:
            disks = {name: disk.copy() for name, disk in at_acknowledgement.items()}
            acknowledged = acknowledged_then
            if ending.kind == "sent":
                change = asyncio.ensure_future(hosts.change())
                await asyncio.sleep(self._rng.uniform(0.0, SENT_SPREAD_S))
                disks = hosts.copy_disks()
                acknowledged = hosts.acknowledged
                await change
            outcomes.append(await self._restart(disks, ending, acknowledged))
        await hosts.close()
        return outcomes

    async def _play_steps(self) -> ControlHosts:
        hosts = self._hosts
        for number in range(1, self._schedule.hosts + 1):
            await hosts.start(f"h{number}", is_first=True)
        await asyncio.sleep(FORMATION_S + FORMATION_SYNCS * self._schedule.sync_s)
        await hosts.change()
        for name in self._schedule.steps:
            await steps.get(name)(hosts)
        await hosts.change()
        return hosts

    async def _restart(
        self, disks: dict[str, LossDisk], ending: Ending, acknowledged: int
    ) -> Outcome:
        hosts = self._create_hosts()
        hosts.acknowledged = acknowledged
        for position, name in enumerate(sorted(disks)):
            if position in ending.lost:
                continue
            hosts.disks[name] = disks[name]
            if ending.kind != "killed":
                hosts.disks[name].lose_power(self._rng)
        for name in sorted(disks):
            await hosts.start(name)
        return await self._read_back(hosts, ending)

    async def _read_back(self, hosts: ControlHosts, ending: Ending) -> Outcome:
        acknowledged = hosts.acknowledged
        read, seconds = await hosts.read(READ_TIMEOUT_S)
        await hosts.close()
        schedule = self._schedule
        return Outcome(
            schedule.steps, ending, schedule.seed, acknowledged, read, seconds
        )

    def _create_hosts(self) -> ControlHosts:
        schedule = self._schedule
        return ControlHosts(
            self._founders, schedule.tolerated, schedule.sync_s, self._rng
        )
