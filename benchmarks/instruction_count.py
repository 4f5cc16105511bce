"""Count of the bytecode instructions that a piece of work executes."""

import sys
from collections.abc import Callable
from types import FrameType
from typing import Any


class InstructionCounter:
    """Counter of executed bytecode instructions, in generators too.

    Unlike a time, the count is the same on each machine and beside any load. Work
    within functions of the interpreter, such as sorting, is not in it.
    """

    def __init__(self) -> None:
        self.count = 0

    def run(self, work: Callable[[], Any]) -> int:
        """Run a piece of work and return how many instructions it took."""
        before = self.count
        earlier = sys.gettrace()
        sys.settrace(self._trace)
        try:
            work()
        finally:
            sys.settrace(earlier)
        return self.count - before

    def _trace(self, frame: FrameType, event: str, argument: Any) -> Callable:
        if event == "call":
            frame.f_trace_opcodes = True
            frame.f_trace_lines = False
        elif event == "opcode":
            self.count += 1
        return self._trace
