"""Pace of upstreams that have just started or recovered."""

from .evidence import max_answer_ms
from .slow_start import SlowStart
from .slow_starts import SlowStarts

__all__ = ["SlowStart", "SlowStarts", "max_answer_ms"]
