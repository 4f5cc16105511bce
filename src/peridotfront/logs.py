"""Writing of numbered log events; their catalogue is in ``log_events``.

Every line has the event's number and name, the host, and the id of the request
that it belongs to (empty if it belongs to none).
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
from .log_output import LineRateLimiter
from .log_settings import LogSection
from .masking import MASK, is_secret

SUPPRESSION_REPORT_INTERVAL_MS = 5000
RESERVED_FIELDS = frozenset({"event", "host", "name", "number", "timestamp"})

_request_id: ContextVar[str] = ContextVar("request_id", default="")


@dataclass(slots=True)
class LogOutput:
    """Destination and filters of the process's log lines.

    :param min_level: number of the lowest level that is written.
    :param reported_ms: time of the last check for suppressed lines, on the monotonic
        clock.
    """

    logger: Any = None
    min_level: int = LEVEL_NUMBERS[Level.INFO]
    stream: Any = None
    rate_limiter: LineRateLimiter = field(default_factory=LineRateLimiter)
    reported_ms: int = 0


_output = LogOutput()


def configure(section: LogSection, host: str, stream: TextIO | None = None) -> None:
    """Configure the log; called once when a process starts.

    :param section: the ``[log]`` section of the settings.
    :param host: the host's name, added to each line.
    :param stream: destination of the lines; standard error if not given.
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
    _output.min_level = LEVEL_NUMBERS[Level(section.level)]
    _output.stream = stream
    logging.basicConfig(level=logging.WARNING, handlers=[LibraryHandler()], force=True)


class LibraryHandler(logging.Handler):
    """Logging handler that writes records of libraries as numbered events.

    Records of cancelled tasks are ignored, since every shutdown cancels the tasks
    that are still waiting.
    """

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record as a log line."""
        traceback_text = ""
        if record.exc_info:
            if isinstance(record.exc_info[1], asyncio.CancelledError):
                return
            traceback_text = "".join(traceback.format_exception(*record.exc_info))
        write(
            "library_message",
            source=record.name,
            message=record.getMessage(),
            traceback=traceback_text,
        )


@contextmanager
def request_context(request_id: str) -> Iterator[None]:
    """Add a request's id to every line written inside the block."""
    reset = _request_id.set(request_id)
    try:
        yield
    finally:
        _request_id.reset(reset)


def write(event_name: str, /, **fields: Any) -> None:
    """Write one line.

    :param event_name: the name of an event of the catalogue.
    :param fields: values to log; those with a secret name are masked. A field whose
        name is reserved, such as ``host``, is written as ``field_host``.
    :raises LogEventUnknown: if the catalogue has no such event.

    Usage::

        write("peer_silent", peer="entry-2", silent_ms=1500)
    """
    event = EVENTS_BY_NAME.get(event_name)
    if event is None:
        raise LogEventUnknown(event_name)
    if LEVEL_NUMBERS[event.level] < _output.min_level:
        return
    if _output.logger is None:
        configure(LogSection(), host="")
    fields.setdefault("request_id", _request_id.get())
    values = {
        _rename_reserved(name): _to_loggable(name, value)
        for name, value in fields.items()
    }
    method = getattr(_output.logger, event.level)
    method(event.text, number=event.number, name=event.name, **values)


def write_rate_limited(event_name: str, /, **fields: Any) -> bool:
    """Write one line unless its event exceeds the rate limit.

    Suppressed lines are counted, and reported by event ``log_lines_left_out``.

    :return: whether the line is within the limit.
    """
    _report_suppressed()
    if not _output.rate_limiter.allow(event_name):
        return False
    write(event_name, **fields)
    return True


def _report_suppressed() -> None:
    now_ms = time.monotonic_ns() // 1_000_000
    if now_ms - _output.reported_ms < SUPPRESSION_REPORT_INTERVAL_MS:
        return
    _output.reported_ms = now_ms
    suppressed = _output.rate_limiter.take_suppressed()
    lost = getattr(_output.stream, "dropped_lines", 0)
    if lost:
        _output.stream.dropped_lines = 0
    if suppressed or lost:
        write("log_lines_left_out", by_event=suppressed, lost=lost)


def _rename_reserved(name: str) -> str:
    return f"field_{name}" if name in RESERVED_FIELDS else name


def _to_loggable(name: str, value: Any) -> Any:
    if is_secret(name):
        return MASK
    if isinstance(value, dict):
        return {str(key): _to_loggable(str(key), item) for key, item in value.items()}
    if isinstance(value, bytes):
        return f"{len(value)} bytes"
    if isinstance(value, str | int | float | None):
        return value
    return str(value)
