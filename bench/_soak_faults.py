from __future__ import annotations

import asyncio
import contextlib
import shutil
import signal
import time
from typing import TYPE_CHECKING

from geraniumbend.registries import Registry

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from bench._soak import Soak

# Faults of the soak by name; each is over when its coroutine returns.
faults: Registry[Callable[[Soak], Awaitable[None]]] = Registry("fault")


@faults.register("kill")
async def kill(soak: Soak) -> None:
    """Kill a process and start it again after a while."""
    host = soak.pick(soak.random.choice(("control", "gateway")))
    if host is not None:
        await soak.end_process(host, signal.SIGKILL)
        await asyncio.sleep(soak.random.uniform(0.1, 2.0))
        await soak.start_process(host)


@faults.register("wipe")
async def wipe(soak: Soak) -> None:
    """Kill a control host, empty its disk and start it again."""
    host = soak.pick("control")
    if host is not None and not soak.catching_up:
        soak.catching_up = True
        await soak.end_process(host, signal.SIGKILL)
        shutil.rmtree(soak.folder / f"data-{host.number}", ignore_errors=True)
        await soak.start_process(host)
        # The settings name one loss at a time, until it has caught up.
        await soak.wait_readmitted(host)
        soak.catching_up = False


@faults.register("tear")
async def tear(soak: Soak) -> None:
    """Cut bytes off the end of the newest file, as a power loss does."""
    host = soak.pick("control")
    if host is None:
        return
    await soak.end_process(host, signal.SIGKILL)
    files = sorted((soak.folder / f"data-{host.number}").rglob("*.draft"))
    for path in files:
        path.write_bytes(path.read_bytes()[:-3])
    await soak.start_process(host)


@faults.register("stop")
async def stop(soak: Soak) -> None:
    """Stop a process in order and start it again."""
    host = soak.pick(soak.random.choice(("control", "gateway")))
    if host is not None:
        await soak.end_process(host, signal.SIGTERM)
        await soak.start_process(host)


@faults.register("pause")
async def pause(soak: Soak) -> None:
    """Let a process stand still for a while."""
    host = soak.pick(soak.random.choice(("control", "gateway")))
    if host is not None:
        soak.signal_process(host, signal.SIGSTOP)
        await asyncio.sleep(soak.random.uniform(0.3, 3.0))
        soak.signal_process(host, signal.SIGCONT)
        soak.ledger.paused_at_s = time.monotonic()


@faults.register("reload")
async def reload(soak: Soak) -> None:
    """Tell all processes to read their settings again."""
    for host in soak.hosts:
        if soak.runs(host):
            soak.signal_process(host, signal.SIGHUP)


@faults.register("misbehave")
async def misbehave(soak: Soak) -> None:
    """Let a backend server be slow, fail, drop, shed or answer twice."""
    server = soak.random.choice(soak.servers)
    server.mode = soak.random.choice(("slow", "errors", "drop", "shed", "extra"))
    await asyncio.sleep(soak.random.uniform(0.5, 3.0))
    server.mode = "good"


@faults.register("disturb")
async def disturb(soak: Soak) -> None:
    """Delay, reset, silence or cut the connections to a server."""
    proxy = soak.random.choice(soak.servers).proxy
    kind = soak.random.choice(("delay", "reset", "silence", "one_way"))
    if kind == "delay":
        proxy.delay_s = soak.random.uniform(0.01, 0.2)
    elif kind == "reset":
        proxy.reset_all(0.7, soak.random)
    elif kind == "silence":
        proxy.silence()
    else:
        proxy.one_way = True
    await asyncio.sleep(soak.random.uniform(0.3, 2.0))
    proxy.heal()


@faults.register("replace")
async def replace(soak: Soak) -> None:
    """Start a backend server in the place of one that drains."""
    leaving = soak.random.choice(soak.servers)
    if leaving.drained_at_s == float("inf"):
        leaving.drained_at_s = float("inf")
        await soak.add_server(leaving.service)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(8):
                await leaving.drain()


@faults.register("change")
async def change(soak: Soak) -> None:
    """Change and read the configuration in quick succession."""
    for _ in range(soak.random.randint(1, 4)):
        await asyncio.gather(soak.change_configuration(), soak.read_configuration())
