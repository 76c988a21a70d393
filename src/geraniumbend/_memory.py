"""Bounds on the address space that threads reserve."""

from __future__ import annotations

import os
import threading

STACK_BYTES = 1024 * 1024
MAX_ALLOCATOR_ARENAS = 1
# Threads of libuv, which resolve the addresses of listeners.
MAX_RESOLVER_THREADS = 1
RESOLVER_THREADS_VARIABLE = "UV_THREADPOOL_SIZE"
# Number of the parameter M_ARENA_MAX of glibc's mallopt.
ARENA_MAX_PARAMETER = -8


def limit_address_space() -> None:
    """Bound stacks, allocator arenas and libuv's threads.

    Applies to threads that are started later, so it is called at the start of the
    process. By default glibc reserves 64 MiB of addresses for the arena of each
    thread, and 8 MiB for its stack; under a limit on address space (``ulimit -v``) the
    process could start no more threads. A value of `RESOLVER_THREADS_VARIABLE` that is
    set already is kept.
    """
    threading.stack_size(STACK_BYTES)
    os.environ.setdefault(RESOLVER_THREADS_VARIABLE, str(MAX_RESOLVER_THREADS))
    limit_arenas()


def limit_arenas() -> bool:
    """Bound the number of allocator arenas.

    Returns
    -------
    bool
        Whether the C library has such a bound; others than glibc have no arenas.
    """
    try:
        import ctypes

        mallopt = ctypes.CDLL(None).mallopt
    except (ImportError, OSError, AttributeError):
        return False
    return bool(mallopt(ARENA_MAX_PARAMETER, MAX_ALLOCATOR_ARENAS))
