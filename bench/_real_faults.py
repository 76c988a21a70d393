"""Faults of the real-machine soak; each has ended when its coroutine returns."""

from __future__ import annotations

import asyncio
import contextlib
import resource
import signal
from typing import TYPE_CHECKING, Any

from bench._real_actions import (
    draw_lost,
    draw_role,
    end_life,
    end_some,
    kill_and_restart,
    run_busy,
    set_file_size,
    slow_syncs,
    stall,
    take_port,
)
from geraniumbend.registries import Registry

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from random import Random

    from bench._real_machine import RealMachine

    Fault = Callable[[RealMachine, Random], Coroutine[Any, Any, None]]

# Faults while the cluster forms for the first time, faults of rounds, and losses at the
# end of a life, each by name. A seed draws from the sorted names.
formation_faults: Registry[Fault] = Registry("formation fault")
faults: Registry[Fault] = Registry("fault")
endings: Registry[Fault] = Registry("ending")

LIMITS = {
    "RLIMIT_AS": 300 << 20,
    "RLIMIT_NOFILE": 512,
    "RLIMIT_FSIZE": 64 << 20,
}
FORMATION_SYNC_RANGE_S = (0.1, 1.0)
SYNC_RANGE_S = (0.1, 2.0)
FULL_BYTES = 1


@formation_faults.register("limits")
async def limit_processes(machine: RealMachine, generator: Random) -> None:
    """Limit address space, descriptors and file size of all processes."""
    for host in machine.cluster.hosts:
        host.limits = dict(LIMITS)


@formation_faults.register("busy_start")
async def start_busy(machine: RealMachine, generator: Random) -> None:
    """Start beside busy processes."""
    await run_busy(generator.uniform(4.0, 8.0))


@formation_faults.register("stalled_founder")
async def stall_founder(machine: RealMachine, generator: Random) -> None:
    """Stall one founder just after all founders listen."""
    cluster = machine.cluster
    host = generator.choice(cluster.founders)
    delay_s = generator.uniform(0.0, 0.3)
    await cluster.wait_listening(cluster.founders, "internal")
    await asyncio.sleep(delay_s)
    with cluster.disturb([host]):
        await stall(generator, [host])


@formation_faults.register("stalled_founders")
async def stall_founders(machine: RealMachine, generator: Random) -> None:
    """Stall some control hosts, one after the other, while the cluster forms."""
    controls = machine.cluster.controls
    count = generator.randint(2, len(controls))
    for host in generator.sample(controls, count):
        await asyncio.sleep(generator.uniform(0.1, 1.2) / count)
        with machine.cluster.disturb([host]):
            await stall(generator, [host])


@formation_faults.register("killed_founders")
async def kill_founders(machine: RealMachine, generator: Random) -> None:
    """Kill control hosts some times while the cluster forms."""
    for _ in range(generator.randint(1, 4)):
        await asyncio.sleep(generator.uniform(0.05, 0.8))
        host = generator.choice(machine.cluster.controls)
        with machine.cluster.disturb([host]):
            await host.end(signal.SIGKILL)
            await host.start()


@formation_faults.register("slow_syncs_from_start")
async def start_with_slow_syncs(machine: RealMachine, generator: Random) -> None:
    """Form the cluster on disks whose syncs take 0.1 s to 1 s more."""
    controls = machine.cluster.controls
    delay_s = generator.uniform(*FORMATION_SYNC_RANGE_S)
    with slow_syncs(machine, controls, delay_s):
        await machine.cluster.wait_listening(controls, "control")
        machine.callers.allow_late(machine.cluster.slow_start_s)
        await machine.formed.wait()


@formation_faults.register("ports_taken_at_start")
async def take_ports_at_start(machine: RealMachine, generator: Random) -> None:
    """Take a port of a control host and of a gateway before they start."""
    cluster = machine.cluster
    chosen = [generator.choice(hosts) for hosts in (cluster.controls, cluster.gateways)]
    with contextlib.ExitStack() as stack:
        stack.enter_context(cluster.disturb(chosen))
        for host in chosen:
            stack.enter_context(await take_port(machine, generator, host))
        await asyncio.sleep(generator.uniform(1.0, 4.0))


@faults.register("kill")
async def kill_process(machine: RealMachine, generator: Random) -> None:
    """Kill a process and start it again."""
    await end_some(machine, generator, signal.SIGKILL)


@faults.register("terminate")
async def terminate_process(machine: RealMachine, generator: Random) -> None:
    """Stop a process with SIGTERM and start it again."""
    await end_some(machine, generator, signal.SIGTERM)


@faults.register("hang_up")
async def reload_settings(machine: RealMachine, generator: Random) -> None:
    """Send SIGHUP to all processes that have started, some times in a row."""
    for _ in range(generator.randint(1, 3)):
        for host in machine.cluster.hosts:
            if host.has_logged():
                host.send_signal(signal.SIGHUP)
        await asyncio.sleep(generator.uniform(0.1, 0.6))


@faults.register("stall")
async def stall_process(machine: RealMachine, generator: Random) -> None:
    """Stall some processes for 0.3 s to 2 s."""
    cluster = machine.cluster
    hosts = cluster.choose(generator, "control", cluster.size.tolerated)
    hosts += cluster.choose(generator, "gateway", generator.randint(1, 3))
    with cluster.disturb(hosts):
        await stall(generator, hosts)


@faults.register("port_taken")
async def take_port_at_restart(machine: RealMachine, generator: Random) -> None:
    """Kill a process and take one of its ports for some seconds."""
    for host in machine.cluster.choose(generator, draw_role(generator)):
        with machine.cluster.disturb([host]):
            await host.end(signal.SIGKILL)
            with await take_port(machine, generator, host):
                await host.start()
                await asyncio.sleep(generator.uniform(1.0, 4.0))


@faults.register("log_reader_stops")
async def stop_log_readers(machine: RealMachine, generator: Random) -> None:
    """Stop reading the logs of all processes, and restart one meanwhile."""
    for host in machine.cluster.hosts:
        host.pause_log_reader(True)
    await end_some(machine, generator, signal.SIGKILL)
    await asyncio.sleep(generator.uniform(1.0, 4.0))
    for host in machine.cluster.hosts:
        host.pause_log_reader(False)


@faults.register("folder_full")
async def fill_folder(machine: RealMachine, generator: Random) -> None:
    """Let all writes to files of some control hosts fail."""
    cluster = machine.cluster
    hosts = cluster.choose(generator, "control", cluster.size.tolerated)
    with cluster.disturb(hosts):
        for host in hosts:
            set_file_size(host, FULL_BYTES)
        await asyncio.sleep(generator.uniform(0.5, 4.0))
        for host in hosts:
            set_file_size(host, resource.RLIM_INFINITY)


@faults.register("lose_disk")
async def lose_disk(machine: RealMachine, generator: Random) -> None:
    """Kill a control host and start it again with an empty disk."""
    hosts = machine.cluster.choose_fresh(generator)
    await kill_and_restart(machine, generator, hosts, hosts)


@faults.register("slow_syncs")
async def slow_some_syncs(machine: RealMachine, generator: Random) -> None:
    """Make syncs slow on one, most or all disks."""
    controls = machine.cluster.controls
    count = generator.choice((1, len(controls) // 2 + 1, len(controls)))
    hosts = generator.sample(controls, count)
    delay_s = generator.uniform(*SYNC_RANGE_S)
    with slow_syncs(machine, hosts, delay_s):
        await asyncio.sleep(generator.uniform(2.0, 20.0))


@faults.register("clock_steps")
async def step_clocks(machine: RealMachine, generator: Random) -> None:
    """Step the time of day of some hosts, and back."""
    hosts = generator.sample(machine.cluster.hosts, generator.randint(1, 4))
    for host in hosts:
        delay_s, _ = host.switches.read()
        host.switches.write(delay_s, generator.uniform(-20.0, 20.0))
    await asyncio.sleep(generator.uniform(0.5, 4.0))
    for host in hosts:
        host.switches.write(host.switches.read()[0], 0.0)


@faults.register("busy")
async def start_busy_processes(machine: RealMachine, generator: Random) -> None:
    """Run busy processes beside the cluster."""
    await run_busy(generator.uniform(2.0, 6.0))


@faults.register("kill_core")
async def kill_control_hosts(machine: RealMachine, generator: Random) -> None:
    """Kill all control hosts at the same moment; they are back within a second."""
    await kill_and_restart(machine, generator, machine.cluster.controls, [])


@faults.register("kill_all")
async def kill_all(machine: RealMachine, generator: Random) -> None:
    """Kill all processes at the same moment; they are back within a second."""
    await kill_and_restart(machine, generator, machine.cluster.hosts, [])


@endings.register("lose_none")
async def end_with_kill(machine: RealMachine, generator: Random) -> None:
    """Kill all processes."""
    await end_life(machine, generator, machine.cluster.hosts, [])


@endings.register("lose_disks")
async def lose_disks(machine: RealMachine, generator: Random) -> None:
    """Lose the tolerated number of disks."""
    lost = draw_lost(machine, generator)
    await end_life(machine, generator, lost, lost)


@endings.register("lose_disks_and_core")
async def lose_disks_and_core(machine: RealMachine, generator: Random) -> None:
    """Lose the tolerated number of disks while all control hosts are killed."""
    await end_life(
        machine, generator, machine.cluster.controls, draw_lost(machine, generator)
    )


@endings.register("lose_disks_and_all")
async def lose_disks_and_all(machine: RealMachine, generator: Random) -> None:
    """Lose the tolerated number of disks while all processes are killed."""
    await end_life(
        machine, generator, machine.cluster.hosts, draw_lost(machine, generator)
    )
