"""Writing of numbered log events; their catalogue is in ``log_events``.

Every line has the event's number and name, the host, and the id of the request
that it is about (empty if it is about none).
"""

import asyncio
import logging
import sys
import time
import traceback
from collections.abc import Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from dataclasses import dataclass, field
from typing import Any, TextIO

import structlog

from .exceptions import LogEventUnknown
from .log_events import EVENTS_BY_NAME, LEVEL_NUMBERS, Level
from .log_output import LineBudget
from .log_settings import LogSection
from .masking import MASK, is_secret

LEFT_OUT_INTERVAL_MS = 5000
RESERVED_FIELDS = frozenset({"event", "host", "name", "number", "timestamp"})

_request_id: ContextVar[str] = ContextVar("request_id", default="")


@dataclass(slots=True)
class Output:
    """Says where log lines go and which are left out."""

    logger: Any = None
    lowest_level: int = LEVEL_NUMBERS[Level.INFO]
    stream: Any = None
    budget: LineBudget = field(default_factory=LineBudget)
    told_ms: int = 0


_output = Output()


def configure(section: LogSection, host: str, stream: TextIO | None = None) -> None:
    """Set the form of log lines; called once when a process starts.

    :param section: the ``[log]`` section of the settings.
    :param host: the host's name, put into each line.
    :param stream: where lines go, standard error if not given.
    """
    renderer: Any = structlog.processors.JSONRenderer()
    if section.format == "console":
        renderer = structlog.dev.ConsoleRenderer(colors=False)
    processors = [
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        renderer,
    ]
    logger = structlog.PrintLogger(stream or sys.stderr)
    _output.logger = structlog.wrap_logger(
        logger,
        processors=processors,
        wrapper_class=structlog.BoundLogger,
        host=host,
    )
    _output.lowest_level = LEVEL_NUMBERS[Level(section.level)]
    _output.stream = stream
    logging.basicConfig(level=logging.WARNING, handlers=[LibraryHandler()], force=True)


class LibraryHandler(logging.Handler):
    """Turns records of the standard library's logging into numbered events.

    Reports of cancelled work are left out: each stop cancels what waits.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record as a line."""
        trace = ""
        if record.exc_info:
            if isinstance(record.exc_info[1], asyncio.CancelledError):
                return
            trace = "".join(traceback.format_exception(*record.exc_info))
        write(
            "library_message",
            source=record.name,
            message=record.getMessage(),
            traceback=trace,
        )


@contextmanager
def request_context(request_id: str) -> Iterator[None]:
    """Put a request's id into every line written inside the block."""
    reset = _request_id.set(request_id)
    try:
        yield
    finally:
        _request_id.reset(reset)


def write(event_name: str, /, **fields: Any) -> None:
    """Write one line.

    :param event_name: the name of an event of the catalogue.
    :param fields: values that go with it; those with a secret name are masked. A
        field such as ``host``, which every line has, is written as ``field_host``.
    :raises LogEventUnknown: if the catalogue has no such event.

    Usage::

        write("peer_silent", peer="entry-2", silent_ms=1500)
    """
    event = EVENTS_BY_NAME.get(event_name)
    if event is None:
        raise LogEventUnknown(event_name)
    if LEVEL_NUMBERS[event.level] < _output.lowest_level:
        return
    if _output.logger is None:
        configure(LogSection(), host="")
    fields.setdefault("request_id", _request_id.get())
    values = {_free(name): _loggable(name, value) for name, value in fields.items()}
    method = getattr(_output.logger, event.level)
    method(event.text, number=event.number, name=event.name, **values)


def write_sampled(event_name: str, /, **fields: Any) -> bool:
    """Write one line unless there were too many of its event lately.

    :return: whether it was written; the lines left out are counted and told.
    """
    _tell_left_out()
    if not _output.budget.take(event_name):
        return False
    write(event_name, **fields)
    return True


def _tell_left_out() -> None:
    now_ms = time.monotonic_ns() // 1_000_000
    if now_ms - _output.told_ms < LEFT_OUT_INTERVAL_MS:
        return
    _output.told_ms = now_ms
    left_out = _output.budget.take_left_out()
    lost = getattr(_output.stream, "lost_lines", 0)
    if lost:
        _output.stream.lost_lines = 0
    if left_out or lost:
        write("log_lines_left_out", by_event=left_out, lost=lost)


def _free(name: str) -> str:
    return f"field_{name}" if name in RESERVED_FIELDS else name


def _loggable(name: str, value: Any) -> Any:
    if is_secret(name):
        return MASK
    if isinstance(value, dict):
        return {str(key): _loggable(str(key), item) for key, item in value.items()}
    if isinstance(value, bytes):
        return f"{len(value)} bytes"
    if isinstance(value, str | int | float | None):
        return value
    return str(value)
