"""Faults at control hosts while the cluster forms for the first time."""

from __future__ import annotations

import asyncio
import itertools
import logging
import random
from typing import TYPE_CHECKING, NamedTuple

from bench._control_hosts import FOLDER, SHARD, ControlHosts
from bench._virtual_clock import run_virtually
from geraniumbend.registries import Registry
from geraniumbend.replication._files import unpack_vote_state

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    Faulty = Callable[[ControlHosts, str, float], Awaitable[None]]
    HasReached = Callable[[ControlHosts], bool]

FOUNDERS = 3
HOSTS = 5
# Bound of the users' platform for the service to be back after faults, in seconds.
RECOVERY_S = 15.0
# Times in seconds.
SYNC_S = 0.005
START_SPREAD_S = 0.3
STAGE_TIMEOUT_S = 3.0
LATE_STAGE_TIMEOUT_S = 20.0
STAGE_POLL_S = 0.001
STAGE_SPREAD_S = 0.02
POLL_S = 0.05

stages: Registry[HasReached] = Registry("stage")
faults: Registry[Faulty] = Registry("fault")


class Fault(NamedTuple):
    """Fault at one host.

    Parameters
    ----------
    position : int
        Position of the host; the founders come first.
    kind : str
        Name of the fault.
    stage : str
        Name of the stage after which it begins.
    duration_s : float
        Time that it lasts, in seconds.
    """

    position: int
    kind: str
    stage: str
    duration_s: float


class Formation(NamedTuple):
    """First start of control hosts with faults.

    Parameters
    ----------
    tolerated : int
        Number of disks that may be lost at once.
    faults : tuple of Fault
        Faults, each at another host.
    seed : int
        Seed of all random choices.
    founders_ask : bool, default=False
        Whether the founders ask each other for their logs before they form one.
    """

    tolerated: int
    faults: tuple[Fault, ...]
    seed: int
    founders_ask: bool = False

    def is_tolerated(self) -> bool:
        """Return whether the settings promise that this formation succeeds.

        Until there are as many voters as the tolerated losses need, three or four
        voters bear the loss of one disk. Founders that ask each other need all of them
        once, with their disks.
        """
        lossy = [fault for fault in self.faults if fault.kind in LOSSY_KINDS]
        if self.founders_ask and any(f.stage not in LATE_STAGES for f in lossy):
            return False
        is_grown = all(fault.stage == "grown" for fault in lossy)
        return len(lossy) <= (self.tolerated if is_grown else min(1, self.tolerated))


class Formed(NamedTuple):
    """What a formation led to within `RECOVERY_S` after the last fault.

    Parameters
    ----------
    formation : Formation
        The formation.
    acknowledged_after_s : float or None
        Time until a change was acknowledged, in seconds.
    outside : tuple of str
        Running hosts that are not members.
    read : int or None
        Newest version that was read back; None if no host answered.
    acknowledged : int
        Newest version that was acknowledged.
    """

    formation: Formation
    acknowledged_after_s: float | None
    outside: tuple[str, ...]
    read: int | None
    acknowledged: int

    @property
    def is_complete(self) -> bool:
        """Return whether a change is in force and every host is a member."""
        return (
            self.acknowledged_after_s is not None
            and not self.outside
            and self.read is not None
            and self.read >= self.acknowledged
        )


def list_faults() -> list[Fault]:
    """Return each fault of a founder at each stage."""
    return [
        Fault(position, kind, stage, duration_s)
        for position in range(FOUNDERS)
        for kind in faults.names()
        for stage in stages.names()
        for duration_s in (0.6, 1.5, 4.0)
    ]


def draw_faults(rng: random.Random) -> tuple[Fault, ...]:
    """Return faults of several hosts."""
    return tuple(
        Fault(
            position,
            rng.choice(faults.names()),
            rng.choice(stages.names()),
            rng.uniform(0.1, 4.0),
        )
        for position in rng.sample(range(HOSTS), rng.choice((2, 2, 3, 4)))
    )


def play_formation(formation: Formation) -> Formed:
    """Play a formation in virtual time."""
    logging.disable(logging.CRITICAL)
    # The jitter of timers draws from the global generator.
    random.seed(formation.seed)
    outcome: Formed = run_virtually(_play(formation))
    return outcome


async def _play(formation: Formation) -> Formed:
    rng = random.Random(formation.seed)
    names = [f"h{number}" for number in range(1, HOSTS + 1)]
    hosts = ControlHosts(names[:FOUNDERS], formation.tolerated, SYNC_S, rng)
    hosts.founders_ask = formation.founders_ask
    late = {names[f.position]: f.duration_s for f in formation.faults if _is_late(f)}
    starts = [
        _start_later(hosts, name, late.get(name, rng.uniform(0.0, START_SPREAD_S)))
        for name in names
    ]
    troubles = [
        _strike(hosts, names[fault.position], fault, rng.uniform(0.0, STAGE_SPREAD_S))
        for fault in formation.faults
        if not _is_late(fault)
    ]
    await asyncio.gather(*starts, *troubles)
    outcome = await _measure(formation, hosts)
    await hosts.close()
    return outcome


async def _measure(formation: Formation, hosts: ControlHosts) -> Formed:
    clock = asyncio.get_running_loop()
    started_s = clock.time()
    is_acknowledged = await hosts.change(RECOVERY_S)
    passed_s = clock.time() - started_s
    while _list_outside(hosts) and clock.time() - started_s < RECOVERY_S:
        await asyncio.sleep(POLL_S)
    outside = _list_outside(hosts)
    read, _ = await hosts.read(POLL_S if not is_acknowledged else RECOVERY_S)
    return Formed(
        formation,
        round(passed_s, 3) if is_acknowledged else None,
        outside,
        read,
        hosts.acknowledged,
    )


def _list_outside(hosts: ControlHosts) -> tuple[str, ...]:
    leader = hosts.find_leader()
    if not leader:
        return tuple(sorted(hosts.hosts))
    members = {member.name for member in hosts.hosts[leader].replica.members()}
    return tuple(sorted(set(hosts.hosts) - members))


async def _start_later(hosts: ControlHosts, name: str, delay_s: float) -> None:
    await asyncio.sleep(delay_s)
    await hosts.start(name, is_first=True)


async def _strike(hosts: ControlHosts, name: str, fault: Fault, delay_s: float) -> None:
    clock = asyncio.get_running_loop()
    is_late = fault.stage in LATE_STAGES
    limit_s = LATE_STAGE_TIMEOUT_S if is_late else STAGE_TIMEOUT_S
    deadline = clock.time() + limit_s
    has_reached = stages.get(fault.stage)
    while name not in hosts.hosts or (
        not has_reached(hosts) and clock.time() < deadline
    ):
        await asyncio.sleep(STAGE_POLL_S)
    await asyncio.sleep(delay_s)
    await faults.get(fault.kind)(hosts, name, fault.duration_s)


def _is_late(fault: Fault) -> bool:
    return fault.kind == "late"


def _dump_all(hosts: ControlHosts, key: str) -> list[int]:
    return [host.replica.dump()[key] for host in hosts.hosts.values()]


@stages.register("started")
def _has_started(hosts: ControlHosts) -> bool:
    return bool(hosts.hosts)


@stages.register("status")
def _has_answered_status(hosts: ControlHosts) -> bool:
    return any(action == "status" for _, action in hosts.network.handled)


@stages.register("formed")
def _has_formed(hosts: ControlHosts) -> bool:
    folder = f"{FOLDER}/{SHARD}"
    return any(
        unpack_vote_state(disk.read(f"{folder}/vote"), folder).formed
        for disk in hosts.disks.values()
        if "vote" in disk.list_files(folder)
    )


@stages.register("voted")
def _has_voted(hosts: ControlHosts) -> bool:
    return max(_dump_all(hosts, "term"), default=0) > 0


@stages.register("entry")
def _has_entry(hosts: ControlHosts) -> bool:
    return max(_dump_all(hosts, "last_index"), default=0) > 0


@stages.register("committed")
def _has_committed(hosts: ControlHosts) -> bool:
    return max(_dump_all(hosts, "commit_index"), default=0) > 0


@faults.register("late")
async def _late(hosts: ControlHosts, name: str, duration_s: float) -> None:
    """Do nothing: the host has started late."""


@faults.register("deaf")
async def _deaf(hosts: ControlHosts, name: str, duration_s: float) -> None:
    """Delay all that a host hears."""
    links = [(other, name) for other in hosts.hosts if other != name]
    await _delay_links(hosts, links, duration_s)


@faults.register("slow_sender")
async def _slow_sender(hosts: ControlHosts, name: str, duration_s: float) -> None:
    """Delay all that a host sends."""
    links = [(name, other) for other in hosts.hosts if other != name]
    await _delay_links(hosts, links, duration_s)


async def _delay_links(
    hosts: ControlHosts, links: list[tuple[str, str]], duration_s: float
) -> None:
    hosts.network.late_s.update(dict.fromkeys(links, duration_s))
    await asyncio.sleep(duration_s)
    for link in links:
        hosts.network.late_s.pop(link, None)


@faults.register("freeze")
async def _freeze(hosts: ControlHosts, name: str, duration_s: float) -> None:
    hosts.pause(name)
    await asyncio.sleep(duration_s)
    hosts.resume(name)


@faults.register("restart")
async def _restart(hosts: ControlHosts, name: str, duration_s: float) -> None:
    await hosts.end(name, loses_power=False)
    await asyncio.sleep(duration_s)
    await hosts.start(name, is_first=True)


@faults.register("restart_later")
async def _restart_later(hosts: ControlHosts, name: str, duration_s: float) -> None:
    """Restart a process, with settings that no longer name this the first start."""
    await hosts.end(name, loses_power=False)
    await asyncio.sleep(duration_s)
    await hosts.start(name, is_first=hosts.founders_ask)


@faults.register("wipe")
async def _wipe(hosts: ControlHosts, name: str, duration_s: float) -> None:
    await hosts.end(name)
    del hosts.disks[name]
    await asyncio.sleep(duration_s)
    await hosts.start(name)


@faults.register("remove")
async def _remove(hosts: ControlHosts, name: str, duration_s: float) -> None:
    await hosts.end(name)
    del hosts.disks[name]
    await asyncio.sleep(duration_s)


@faults.register("replace")
async def _replace(hosts: ControlHosts, name: str, duration_s: float) -> None:
    await _remove(hosts, name, duration_s)
    await hosts.start(f"{name}x")


@stages.register("grown")
def _has_grown(hosts: ControlHosts) -> bool:
    leader = hosts.find_leader()
    if not leader:
        return False
    members = hosts.hosts[leader].replica.members()
    voters = sum(member.role == "voter" for member in members)
    return voters >= min(HOSTS, 2 * hosts.tolerated + 1)


LATE_STAGES = ("committed", "grown")
LOSSY_KINDS = ("wipe", "remove", "replace")


def count_kinds(played: list[Formed]) -> dict[str, int]:
    """Return how many formations with each kind of fault were not complete."""
    failed = [formed for formed in played if not formed.is_complete]
    kinds = itertools.chain.from_iterable(
        sorted({fault.kind for fault in formed.formation.faults}) for formed in failed
    )
    counts: dict[str, int] = {}
    for kind in kinds:
        counts[kind] = counts.get(kind, 0) + 1
    return counts
