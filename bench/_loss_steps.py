"""Steps of a schedule: changes and faults at simulated control hosts."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from geraniumbend.registries import Registry

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from bench._control_hosts import ControlHosts

    Step = Callable[[ControlHosts], Awaitable[None]]

# Bounds of the users' platform, in seconds: a host that is back, or new, counts as lost
# until then; the time for which a machine is lost.
CATCH_UP_S = 4.0
DOWN_S = 1.0
# Times in seconds.
FULL_S = 1.0
CUT_S = 2.0
CHANGES_TO_COMPACT = 12

steps: Registry[Step] = Registry("step")


async def _find_leader(hosts: ControlHosts) -> str:
    """Return the leader, or any host if there is none for long."""
    return await hosts.wait_leader() or sorted(hosts.hosts)[0]


def _pick_follower(hosts: ControlHosts) -> str:
    leader = hosts.find_leader()
    return hosts.rng.choice([name for name in sorted(hosts.hosts) if name != leader])


@steps.register("change")
async def _change(hosts: ControlHosts) -> None:
    await hosts.change()


@steps.register("compact")
async def _compact(hosts: ControlHosts) -> None:
    for _ in range(CHANGES_TO_COMPACT):
        await hosts.change()


@steps.register("fill_followers")
async def _fill_followers(hosts: ControlHosts) -> None:
    leader = hosts.find_leader()
    followers = [name for name in sorted(hosts.hosts) if name != leader]
    await _fill(hosts, hosts.rng.sample(followers, hosts.tolerated))


@steps.register("fill_leader")
async def _fill_leader(hosts: ControlHosts) -> None:
    await _fill(hosts, [await _find_leader(hosts)])


async def _fill(hosts: ControlHosts, names: list[str]) -> None:
    """Let disks refuse writes while changes are sent, and work again."""
    for name in names:
        hosts.disks[name].is_full = True
    change = asyncio.ensure_future(hosts.change())
    await asyncio.sleep(FULL_S)
    for name in names:
        hosts.disks[name].is_full = False
    await change
    await asyncio.sleep(CATCH_UP_S)


@steps.register("restart_leader")
async def _restart_leader(hosts: ControlHosts) -> None:
    await _restart(hosts, await _find_leader(hosts), keeps_disk=True)


@steps.register("restart_follower")
async def _restart_follower(hosts: ControlHosts) -> None:
    await _restart(hosts, _pick_follower(hosts), keeps_disk=True)


@steps.register("wipe_leader")
async def _wipe_leader(hosts: ControlHosts) -> None:
    await _restart(hosts, await _find_leader(hosts), keeps_disk=False)


@steps.register("wipe_follower")
async def _wipe_follower(hosts: ControlHosts) -> None:
    await _restart(hosts, _pick_follower(hosts), keeps_disk=False)


async def _restart(hosts: ControlHosts, name: str, keeps_disk: bool) -> None:
    await hosts.end(name)
    if not keeps_disk:
        del hosts.disks[name]
    await hosts.change()
    await asyncio.sleep(DOWN_S)
    await hosts.start(name)
    await asyncio.sleep(CATCH_UP_S)


@steps.register("replace_leader")
async def _replace_leader(hosts: ControlHosts) -> None:
    await _replace(hosts, await _find_leader(hosts))


@steps.register("replace_follower")
async def _replace_follower(hosts: ControlHosts) -> None:
    await _replace(hosts, _pick_follower(hosts))


async def _replace(hosts: ControlHosts, name: str) -> None:
    """Remove a host for good; an empty one comes at another address."""
    await hosts.end(name)
    del hosts.disks[name]
    await asyncio.sleep(DOWN_S)
    await hosts.start(f"{name}x")
    await asyncio.sleep(CATCH_UP_S)


@steps.register("stop_leader")
async def _stop_leader(hosts: ControlHosts) -> None:
    name = await _find_leader(hosts)
    await hosts.stop(name)
    await hosts.change()
    await hosts.start(name)
    await asyncio.sleep(CATCH_UP_S)


@steps.register("cut_leader")
async def _cut_leader(hosts: ControlHosts) -> None:
    await _cut(hosts, await _find_leader(hosts), both_ways=True)


@steps.register("cut_leader_one_way")
async def _cut_leader_one_way(hosts: ControlHosts) -> None:
    await _cut(hosts, await _find_leader(hosts), both_ways=False)


async def _cut(hosts: ControlHosts, name: str, both_ways: bool) -> None:
    others = [other for other in hosts.hosts if other != name]
    hosts.network.cut = {(name, other) for other in others}
    if both_ways:
        hosts.network.cut |= {(other, name) for other in others}
    await hosts.change()
    await asyncio.sleep(CUT_S)
    hosts.network.cut = set()
    await asyncio.sleep(CATCH_UP_S)


@steps.register("kill_all")
async def _kill_all(hosts: ControlHosts) -> None:
    names = sorted(hosts.hosts)
    for name in names:
        await hosts.end(name, loses_power=False)
    await asyncio.sleep(DOWN_S)
    for name in names:
        await hosts.start(name)
    await hosts.wait_leader()


@steps.register("add_host")
async def _add_host(hosts: ControlHosts) -> None:
    await hosts.start(f"n{len(hosts.disks)}")
    await asyncio.sleep(CATCH_UP_S)
