"""Log lines of one request, complete if the request fails."""

from typing import Any

from . import logs


class RequestLog:
    """Log lines of one request that are within the rate limit, or are kept.

    The lines of a request that fails are all written, if necessary late.
    """

    def __init__(self):
        self._suppressed_lines: list[tuple[str, dict[str, Any]]] = []

    def write(self, event_name: str, **fields: Any) -> None:
        """Write a line; if it is suppressed, keep it in case the request fails."""
        if not logs.write_rate_limited(event_name, **fields):
            self._suppressed_lines.append((event_name, fields))

    def write_end(self, event_name: str, is_complete: bool, **fields: Any) -> None:
        """Write the last line; if the request failed, the kept lines before it.

        :param is_complete: whether the caller got a complete answer.
        """
        if is_complete:
            logs.write_rate_limited(event_name, **fields)
            return
        for suppressed_name, line_fields in self._suppressed_lines:
            logs.write(suppressed_name, is_late=True, **line_fields)
        logs.write(event_name, **fields)
