"""Order in which long work goes on, so that it never holds up short work."""

import asyncio
from collections import deque
from collections.abc import Callable

TURN_S = 0.001


class Turns:
    """Queue of long work, of which each iteration of the event loop does one piece.

    Whoever has more to do than one short piece does the next piece in its next turn.
    """

    def __init__(self):
        self._waiting: deque[Callable[[], None]] = deque()

    def add(self, work: Callable[[], None]) -> None:
        """Add a piece of work to the queue.

        :param work: function that does the piece, and adds the next one if there is
            more to do.
        """
        self._waiting.append(work)
        if len(self._waiting) == 1:
            self._schedule()

    async def wait(self) -> None:
        """Wait for a turn."""
        future = asyncio.get_running_loop().create_future()
        self.add(lambda: future.done() or future.set_result(None))
        await future

    def _schedule(self) -> None:
        asyncio.get_running_loop().call_soon(self._take)

    def _take(self) -> None:
        work = self._waiting.popleft()
        if self._waiting:
            self._schedule()
        work()


class Turn:
    """Work in pieces that waits for the next turn once it has taken ``TURN_S``.

    :param turns: queue that it shares with other work.
    """

    def __init__(self, turns: Turns):
        self._turns = turns
        self._loop = asyncio.get_running_loop()
        self._end_s = self._loop.time() + TURN_S

    async def go_on(self) -> None:
        """Wait until the next piece may be done."""
        if self._loop.time() >= self._end_s:
            await self._turns.wait()
            self._end_s = self._loop.time() + TURN_S
