from __future__ import annotations

import ctypes
import os
import subprocess
import sys
import unittest
from unittest import mock

from geraniumbend.memory import limit_arenas

# Prints the addresses that twenty threads reserve, in KiB.
PROGRAM = """
import threading
from geraniumbend.memory import limit_address_space

def read_size():
    lines = open("/proc/self/status").read().splitlines()
    return int(next(line for line in lines if "VmSize" in line).split()[1])

def work():
    allocated.append(bytearray(8192))
    done.wait()

limit_address_space()
allocated, done = [], threading.Event()
before = read_size()
threads = [threading.Thread(target=work) for _ in range(20)]
for thread in threads:
    thread.start()
while len(allocated) < 20:
    pass
print(read_size() - before)
done.set()
"""
# Stack and guard page of a thread, with room for the allocator.
MAX_KIB_A_THREAD = 1536


class MemoryTest(unittest.TestCase):
    def test_threads_reserve_no_arenas_and_small_stacks(self):
        """Guards against threads that use up a limit on address space."""
        completed = subprocess.run(
            [sys.executable, "-c", PROGRAM],
            env=os.environ,
            capture_output=True,
            text=True,
            check=True,
            timeout=60,
        )
        self.assertLess(int(completed.stdout), 20 * MAX_KIB_A_THREAD)

    def test_library_without_a_bound_on_arenas_is_accepted(self):
        """Guards against a process that cannot start with another C library."""
        for error in (OSError("no library"), AttributeError("mallopt")):
            with mock.patch.object(ctypes, "CDLL", side_effect=error):
                self.assertFalse(limit_arenas())
        with mock.patch.dict(sys.modules, {"ctypes": None}):
            self.assertFalse(limit_arenas())
