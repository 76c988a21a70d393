"""Soak of real processes under what real machines do to them."""

from __future__ import annotations

import asyncio
import json
import random
import time
from typing import TYPE_CHECKING, Any

from bench._checks import ExperimentError
from bench._experiments import Options, experiments
from bench._real_callers import REQUEST_TIMEOUT_S, Callers
from bench._real_checks import BACK_SPAN_S, Observations
from bench._real_cluster import RECOVERY_S, RealCluster, Size
from bench._real_faults import endings, faults, formation_faults
from geraniumbend.errors import SettingsError

if TYPE_CHECKING:
    from bench._real_faults import Fault
    from geraniumbend.registries import Registry

# Size of the users' deployment rmbe-thies, and the smallest one.
FULL_SIZE = Size(5, 2, 13)
SMALL_SIZE = Size(3, 1, 2)
# Scale from which the control hosts are those of `FULL_SIZE`.
FULL_CONTROLS_SCALE = 0.4
ROUNDS = 8
SERIES = (1, 4)
FAULT_PAUSE_S = (0.0, 1.5)
FORMATION_FAULTS = (0, 2)
CHECK_PERIOD_S = 0.1
# Time after which all requests of a second have ended, in seconds.
BACK_CHECK_S = BACK_SPAN_S + REQUEST_TIMEOUT_S
# Formation faults that last until the cluster has formed.
LASTING = ("slow_syncs_from_start",)


class RealMachine:
    """One life of a cluster: it forms, meets rounds of faults, and loses a lot.

    Parameters
    ----------
    options : Options
        Seed, factor on the size, and names of the faults to draw from.

    Attributes
    ----------
    formed : asyncio.Event
        Set when the cluster has formed, or has failed to.
    """

    def __init__(self, options: Options) -> None:
        self._options = options
        self._random = random.Random(options.seed)
        self.formed = asyncio.Event()
        self.observations = Observations()
        size = choose_size(options.scale)
        self.cluster = RealCluster(size, options.seed, self.observations)
        self.callers = Callers(self.cluster, self.observations, options.seed)

    async def run(self) -> None:
        """Play the life; a cluster that does not form ends it."""
        try:
            if await self._form():
                self.callers.start()
                self.callers.start_operators()
                for _ in range(max(1, round(ROUNDS * self._options.scale))):
                    await self._play_round()
                await self._end()
        finally:
            await self.callers.stop()
            await self.cluster.stop()
            self._write_observations()

    async def _form(self) -> bool:
        """Start the cluster for the first time; return whether it became ready."""
        drawn = self._draw(formation_faults, FORMATION_FAULTS)
        # Limits and taken ports act before the first process starts.
        tasks = [self._inject(formation_faults, name) for name in drawn]
        await asyncio.sleep(0)
        await self.cluster.start()
        started_s = time.monotonic()
        changed = asyncio.create_task(self._send_first_change())
        ended = [
            task for name, task in zip(drawn, tasks, strict=True) if name not in LASTING
        ]
        await asyncio.gather(*ended)
        is_ready = await self._check_ready(time.monotonic())
        self.observations.formed_within_s = time.monotonic() - started_s
        changed.cancel()
        self.formed.set()
        await asyncio.gather(changed, return_exceptions=True)
        await asyncio.gather(*tasks)
        self.cluster.is_forming = False
        return is_ready

    async def _send_first_change(self) -> None:
        await self.cluster.wait_listening(self.cluster.controls, "control")
        await self.callers.change()

    async def _play_round(self) -> None:
        self.observations.counts["rounds"] += 1
        tasks = []
        for name in self._draw(faults, SERIES):
            tasks.append(self._inject(faults, name))
            await asyncio.sleep(self._random.uniform(*FAULT_PAUSE_S))
        await asyncio.gather(*tasks)
        await self._check_recovery(time.monotonic())

    async def _end(self) -> None:
        names = self._draw(endings, (1, 1))
        if not names:
            return
        await self.callers.stop_operators()
        await asyncio.sleep(RECOVERY_S / 3)
        await self.callers.change()
        await self._inject(endings, names[0])
        ended_s = time.monotonic()
        await self._check_read_back()
        self.callers.start_operators()
        await self._check_recovery(ended_s)

    async def _check_recovery(self, last_s: float) -> None:
        """Check that hosts serve, and callers are served, soon after the last fault."""
        await self._check_ready(last_s)
        by_s = self.cluster.get_ready_by(last_s)
        back_s = self.observations.is_back(last_s)
        while back_s is None and time.monotonic() < by_s + BACK_CHECK_S:
            await asyncio.sleep(CHECK_PERIOD_S)
            back_s = self.observations.is_back(last_s)
        if back_s is None or back_s > by_s:
            self.observations.report("not_back", f"{self.observations.drawn}")
            back_s = by_s
        self.observations.back_within_s.append(back_s - last_s)

    async def _check_ready(self, since_s: float) -> bool:
        missing = await self.cluster.wait_ready(since_s)
        for name in missing:
            self.observations.report(
                "not_ready", f"{name} after {self.observations.drawn}"
            )
        return not missing

    async def _check_read_back(self) -> None:
        """Check that what was acknowledged is read back in time."""
        end_s = time.monotonic() + RECOVERY_S
        least = self.observations.get_acknowledged(time.monotonic())
        read = await self.callers.read()
        while read is None and time.monotonic() < end_s:
            await asyncio.sleep(CHECK_PERIOD_S)
            read = await self.callers.read()
        if read is None or read < least:
            self.observations.report("lost", f"read {read}, acknowledged {least}")

    def _inject(self, registry: Registry[Fault], name: str) -> asyncio.Task[None]:
        """Start a fault, with a generator of its own so that a seed repeats it."""
        generator = random.Random(self._random.getrandbits(32))
        self.observations.record_event(f"fault: {name}")
        return asyncio.create_task(registry.get(name)(self, generator))

    def _draw(self, registry: Registry[Fault], count: tuple[int, int]) -> list[str]:
        """Return names drawn from a registry, or from those that the options name."""
        names = registry.names()
        if self._options.faults:
            names = [name for name in names if name in self._options.faults]
        if not names or (registry is formation_faults and self._options.faults):
            drawn = names
        else:
            drawn = self._random.choices(names, k=self._random.randint(*count))
        self.observations.drawn += drawn
        return drawn

    def _write_observations(self) -> None:
        path = self.cluster.folder / "observations.json"
        seen = self.observations
        violations = [list(violation) for violation in seen.invariants.violations]
        path.write_text(
            json.dumps(
                {
                    **seen.summarize(),
                    "violations": violations,
                    "events": seen.events,
                },
                indent=1,
            )
        )


def choose_size(scale: float) -> Size:
    """Return the size of the deployment at a scale of at most 1."""
    gateways = max(SMALL_SIZE.gateways, round(FULL_SIZE.gateways * min(scale, 1.0)))
    base = FULL_SIZE if scale >= FULL_CONTROLS_SCALE else SMALL_SIZE
    return base._replace(gateways=gateways)


def require_known(names: tuple[str, ...]) -> None:
    """Check names of faults.

    Raises
    ------
    SettingsError
        If a name is that of no fault.
    """
    known = [*formation_faults.names(), *faults.names(), *endings.names()]
    unknown = sorted(set(names) - set(known))
    if unknown:
        raise SettingsError(
            f"unknown faults {', '.join(unknown)}", f"choose from {', '.join(known)}"
        )


@experiments.register("real_machine")
async def run_real_machine(options: Options) -> dict[str, Any]:
    """Run a cluster under faults of real machines and check it from outside.

    Parameters
    ----------
    options : Options
        Seed, factor on size and rounds, and names of the faults, by default all.

    Returns
    -------
    dict
        Numbers of violations by kind, shares served and times of recoveries.

    Raises
    ------
    ExperimentError
        If a check failed; names the seed and the folder with the logs.
    SettingsError
        If the options name an unknown fault.
    """
    require_known(options.faults)
    machine = RealMachine(options)
    await machine.run()
    violations = machine.observations.invariants.violations
    if violations:
        lines = "; ".join(f"{v.invariant}: {v.detail}" for v in violations[:5])
        raise ExperimentError(
            f"seed {options.seed}: {len(violations)} violations: {lines}",
            f"see the process logs in {machine.cluster.folder}",
        )
    machine.cluster.remove_folder()
    return {"seed": options.seed, **machine.observations.summarize()}
