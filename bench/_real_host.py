"""Entry point of a process of the real-machine soak: limits, slow syncs, clock steps.

Run as ``python -m bench._real_host SWITCHES LIMITS ROLE SETTINGS``.
"""

from __future__ import annotations

import json
import mmap
import os
import resource
import struct
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Delay of each sync and step of the time of day, both in seconds.
SWITCHES = struct.Struct("<dd")


class Switches:
    """Values in a shared file that the soak changes while the process runs.

    Parameters
    ----------
    path : Path
        File of `SWITCHES.size` bytes.
    """

    def __init__(self, path: Path) -> None:
        with path.open("r+b") as file:
            self._map = mmap.mmap(file.fileno(), SWITCHES.size)

    def read(self) -> tuple[float, float]:
        """Return the delay of syncs and the step of the time of day, in seconds."""
        delay_s, step_s = SWITCHES.unpack(self._map[:])
        return delay_s, step_s

    def write(self, delay_s: float, step_s: float) -> None:
        """Set the delay of syncs and the step of the time of day, in seconds."""
        self._map[:] = SWITCHES.pack(delay_s, step_s)


def create_switches(path: Path) -> Switches:
    """Return switches in a new file, with neither delay nor step."""
    path.write_bytes(SWITCHES.pack(0.0, 0.0))
    return Switches(path)


def set_limits(limits: dict[str, int]) -> None:
    """Set the limits of this process, by the names of module `resource`."""
    for name, value in limits.items():
        resource.setrlimit(getattr(resource, name), (value, value))


def slow_syncs(switches: Switches) -> None:
    """Replace the functions that sync a file by slower ones."""
    for name in ("fsync", "fdatasync"):
        setattr(os, name, _delay(getattr(os, name), switches))


def step_time_of_day(switches: Switches) -> None:
    """Replace the functions that read the time of day by ones that add the step."""
    read_s, read_ns = time.time, time.time_ns
    time.time = lambda: read_s() + switches.read()[1]
    time.time_ns = lambda: read_ns() + int(switches.read()[1] * 1e9)


def main(arguments: list[str]) -> int:
    """Prepare the process and run its role; return the exit code."""
    switches_path, limits, *command = arguments
    set_limits(json.loads(limits))
    switches = Switches(Path(switches_path))
    slow_syncs(switches)
    step_time_of_day(switches)
    from geraniumbend.run import run

    return run(command)


def _delay(sync: Callable[[int], None], switches: Switches) -> Callable[[int], None]:
    def sync_slowly(descriptor: int) -> None:
        time.sleep(switches.read()[0])
        sync(descriptor)

    return sync_slowly


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
