"""Clock, ids, ticks, background tasks and signals, shared by all programs."""

import asyncio
import contextlib
import gc
import secrets
import signal
import time
from collections.abc import Callable, Coroutine
from typing import Any

from . import logs
from .signals import ignore_signals, take_signal

INCARNATION_BITS = 62
TICK_MS = 20
BUSY_TICK_MS = 10
IDLE_TICK_MS = 50
LATE_TICK_MS = 500


def now_ms() -> int:
    """Return the time of the monotonic clock in milliseconds."""
    return time.monotonic_ns() // 1_000_000


def new_incarnation() -> int:
    """Return a random number that identifies this start of a process."""
    return secrets.randbits(INCARNATION_BITS) | 1


def new_request_id() -> str:
    """Return a random id; a request gets a new one each time it arrives."""
    return secrets.token_hex(12)


class Ticker:
    """Timer that calls a function periodically until it is stopped.

    :param on_tick: function to call.
    :param interval_ms: function that returns the time until the next call, in
        milliseconds.
    """

    def __init__(self, on_tick: Callable[[], None], interval_ms: Callable[[], int]):
        self._on_tick = on_tick
        self._interval_ms = interval_ms
        self._handle: asyncio.TimerHandle | None = None
        self._due_ms = 0

    def start(self) -> None:
        """Schedule the next call."""
        loop = asyncio.get_running_loop()
        self._due_ms = now_ms() + self._interval_ms()
        self._handle = loop.call_later(self._interval_ms() / 1000, self._tick)

    def stop(self) -> None:
        """Cancel the next call."""
        if self._handle is not None:
            self._handle.cancel()

    def _tick(self) -> None:
        late_ms = now_ms() - self._due_ms
        if late_ms > LATE_TICK_MS:
            logs.write("loop_delayed", late_ms=late_ms)
        self.start()
        self._on_tick()


class BackgroundTasks:
    """Set of background tasks, with references so that none is garbage-collected.

    A task that ends by an exception leaves a line in the log.
    """

    def __init__(self):
        self._tasks: set[asyncio.Task] = set()

    def __len__(self) -> int:
        return len(self._tasks)

    def start(self, coroutine: Coroutine) -> asyncio.Task:
        """Start a coroutine as a background task and return the task."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._remove)
        return task

    def _remove(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logs.write("task_failed", detail=repr(task.exception()))

    async def cancel(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class StopSignal:
    """Event that is set by the first SIGTERM or SIGINT.

    :param on_repeat: function called for each later signal.
    """

    def __init__(self, on_repeat: Callable[[], None]):
        self._event = asyncio.Event()
        self._on_repeat = on_repeat
        self._is_over = False

    def install(self) -> None:
        """Install the signal handlers."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            take_signal(loop, number, self._set)

    async def wait(self) -> None:
        """Wait for the first signal."""
        await self._event.wait()

    def end(self) -> None:
        """Ignore all further signals, and those that wait for their handler."""
        self._is_over = True
        ignore_signals()

    def _set(self) -> None:
        if self._event.is_set() and not self._is_over:
            self._on_repeat()
        self._event.set()


def run(main: Coroutine[Any, Any, int]) -> int:
    """Run a program's coroutine and return its exit code; 130 after an interrupt.

    The objects that exist by now, mostly modules, are kept from garbage collections.
    """
    gc.freeze()
    with contextlib.suppress(KeyboardInterrupt):
        return asyncio.run(_run_to_end(main))
    return 130


async def _run_to_end(main: Coroutine[Any, Any, int]) -> int:
    try:
        return await main
    finally:
        # A further signal must not change how a process ends that is ending already.
        ignore_signals()
