"""Limits of the process, and what it uses of them."""

from __future__ import annotations

import os
import resource
import sys
import time
import zlib
from contextlib import suppress
from pathlib import Path
from typing import Any

from geraniumbend import __version__

# Name in the log and resource limit; bytes, except for descriptors and processes.
LIMITS = {
    "address_space": resource.RLIMIT_AS,
    "data": resource.RLIMIT_DATA,
    "stack": resource.RLIMIT_STACK,
    "file_size": resource.RLIMIT_FSIZE,
    "descriptors": resource.RLIMIT_NOFILE,
    "processes": resource.RLIMIT_NPROC,
    "cpu_s": resource.RLIMIT_CPU,
}
# Name in the log and line of the process's status file; kilobytes, except for threads.
STATUS_LINES = {
    "threads": "Threads",
    "address_space_kb": "VmSize",
    "address_space_peak_kb": "VmPeak",
    "resident_kb": "VmRSS",
    "resident_peak_kb": "VmHWM",
}


def read_limits() -> dict[str, int | None]:
    """Return the soft limits of the process by name; None means unlimited."""
    limits: dict[str, int | None] = {}
    for name, number in LIMITS.items():
        soft, _ = resource.getrlimit(number)
        limits[name] = None if soft == resource.RLIM_INFINITY else soft
    return limits


def read_usage() -> dict[str, int]:
    """Return processor time, threads, address space, resident memory, descriptors.

    What cannot be read is left out.
    """
    usage = {"cpu_ms": time.process_time_ns() // 1_000_000}
    with suppress(OSError, ValueError):
        lines = Path("/proc/self/status").read_text().splitlines()
        values = dict(line.partition(":")[::2] for line in lines)
        for name, key in STATUS_LINES.items():
            if key in values:
                usage[name] = int(values[key].split()[0])
        usage["descriptors"] = len(os.listdir("/proc/self/fd"))
    return usage


def describe_build() -> dict[str, Any]:
    """Return version, a checksum of the program's files, and kind of the machine.

    The checksum covers names and sizes; it is empty in the one-file program.
    """
    root = os.path.dirname(__file__)
    files = []
    for folder, _, names in os.walk(root):
        place = os.path.relpath(folder, root)
        files += [
            f"{place}/{name} {os.stat(f'{folder}/{name}').st_size}"
            for name in names
            if name.endswith(".py")
        ]
    files.sort()
    checksum = f"{zlib.crc32('|'.join(files).encode()):08x}" if files else ""
    return {
        "version": __version__,
        "build": checksum,
        "python": sys.version.split()[0],
        "machine": os.uname().machine,
    }
