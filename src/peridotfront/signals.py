"""Signals of a program, from its first instruction to its end.

A signal without a handler ends a process. The modules of a program take long to load,
so that signals are held until there is a handler; at the end they are ignored.
"""

import signal
from collections.abc import Callable

SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def hold_signals() -> None:
    """Hold the signals that programs take until each one is taken."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)


def take_signal(loop, number: signal.Signals, on_signal: Callable[[], None]) -> None:
    """Call a function for each signal of a number, also for one that was held.

    :param loop: event loop that runs the function.
    :param on_signal: function to call.
    """
    # The loop would remove a handler of its own when it closes.
    signal.signal(number, lambda *_: loop.call_soon_threadsafe(on_signal))
    signal.pthread_sigmask(signal.SIG_UNBLOCK, (number,))


def ignore_signals() -> None:
    """Ignore the signals from now on, in all threads, until the process has ended."""
    for number in SIGNALS:
        signal.signal(number, signal.SIG_IGN)
