"""Bounded pool of threads for the blocking work of a process."""

from __future__ import annotations

import asyncio
import errno
import threading
from collections import deque
from concurrent.futures import Future
from typing import TYPE_CHECKING, Any, NamedTuple, TypeVar

from geraniumbend.logs import declare_event, log_event

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")

# Threads of a process; more queues than threads share them.
MAX_WORKERS = 8
CLOSE_TIMEOUT_S = 1.0

declare_event(
    130,
    "workers_missing",
    "warning",
    "A thread for blocking work cannot be started; the others do its work. Raise the "
    "limits on address space (ulimit -v) and on processes (ulimit -u).",
)


class Job(NamedTuple):
    """Blocking function and the future of its result."""

    task: Callable[[], Any]
    result: Future[Any]


class TaskQueue:
    """Blocking tasks that start in the order in which they were submitted.

    Parameters
    ----------
    pool : WorkerPool
        Threads that run the tasks.
    width : int
        Number of tasks that run at once; with 1 a task starts when the one before it
        has ended.
    """

    def __init__(self, pool: WorkerPool, width: int) -> None:
        self.width = width
        # Guarded by the lock of the pool.
        self.jobs: deque[Job] = deque()
        self.running = 0
        self._pool = pool

    async def run(self, task: Callable[[], T]) -> T:
        """Run a blocking function in a thread of the pool.

        Parameters
        ----------
        task : callable
            Function without arguments.

        Returns
        -------
        object
            Result of the task.

        Raises
        ------
        OSError
            If the process can start no thread at all; the task is not run.
        RuntimeError
            If the pool is closed.
        """
        job = Job(task, Future())
        self._pool.submit(self, job)
        return await asyncio.wrap_future(job.result)


class WorkerPool:
    """Bounded number of threads that run the tasks of several queues.

    There are as many threads as the queues may run tasks at once, at most
    `max_workers`. They start together at the first task, so that a task that hangs
    later holds up only its own queue. The threads are daemons: a task that hangs does
    not keep the process from ending.

    Parameters
    ----------
    max_workers : int, default=8
        Largest number of threads.
    """

    def __init__(self, max_workers: int = MAX_WORKERS) -> None:
        self._max_workers = max_workers
        self._width = 0
        self._alive = 0
        self._is_short = False
        self._is_closed = False
        self._changed = threading.Condition()
        # Queues that hold a job and run fewer than their width, next one first.
        self._ready: deque[TaskQueue] = deque()

    def create_queue(self, width: int = 1) -> TaskQueue:
        """Return a new queue that runs at most `width` tasks at once."""
        self._width += width
        return TaskQueue(self, width)

    def submit(self, queue: TaskQueue, job: Job) -> None:
        """Queue a job; see `TaskQueue.run`."""
        if self._is_closed:
            raise RuntimeError("the pool of workers is closed")
        self._start_workers()
        with self._changed:
            queue.jobs.append(job)
            self._mark_ready(queue)

    def close(self) -> None:
        """End the threads after the queued tasks; waits at most 1 s for them."""
        with self._changed:
            self._is_closed = True
            self._changed.notify_all()
            self._changed.wait_for(lambda: not self._alive, CLOSE_TIMEOUT_S)

    def _start_workers(self) -> None:
        wanted = min(self._width, self._max_workers)
        while self._alive < wanted:
            name = f"worker-{self._alive}"
            thread = threading.Thread(target=self._work, name=name, daemon=True)
            try:
                thread.start()
            except (RuntimeError, MemoryError) as error:
                self._report_missing(wanted, error)
                return
            self._alive += 1
        self._is_short = False

    def _report_missing(self, wanted: int, error: Exception) -> None:
        if not self._alive:
            raise OSError(
                errno.EAGAIN,
                f"no thread can be started ({error}); raise the limits on address "
                "space (ulimit -v) and on processes (ulimit -u)",
            ) from error
        if not self._is_short:
            self._is_short = True
            log_event(130, running=self._alive, wanted=wanted, error=str(error))

    def _mark_ready(self, queue: TaskQueue) -> None:
        if queue.jobs and queue.running < queue.width and queue not in self._ready:
            self._ready.append(queue)
            self._changed.notify()

    def _work(self) -> None:
        while (taken := self._take_job()) is not None:
            queue, job = taken
            _run_job(job)
            # Otherwise the job's result stays in memory until the next job.
            del job, taken
            with self._changed:
                queue.running -= 1
                self._mark_ready(queue)
        with self._changed:
            self._alive -= 1
            self._changed.notify_all()

    def _take_job(self) -> tuple[TaskQueue, Job] | None:
        with self._changed:
            while not self._ready:
                if self._is_closed:
                    return None
                self._changed.wait()
            queue = self._ready.popleft()
            queue.running += 1
            job = queue.jobs.popleft()
            self._mark_ready(queue)
            return queue, job


def _run_job(job: Job) -> None:
    if not job.result.set_running_or_notify_cancel():
        return
    try:
        job.result.set_result(job.task())
    except BaseException as error:
        job.result.set_exception(error)
        # The traceback would refer to this frame, and so to the future, in a cycle.
        del job
