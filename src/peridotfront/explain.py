"""Log lines of one request from all processes, with a one-sentence summary."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from .core.verdicts import Verdict

HIDDEN_FIELDS = frozenset(
    ("timestamp", "host", "name", "number", "event", "request_id")
)
END_EVENTS = ("forwarding_ended", "request_refused", "request_ended")


@dataclass(frozen=True, slots=True)
class RequestLine:
    """Log line of a request.

    :param time: timestamp as logged, in ISO 8601 format.
    :param text: text of the event.
    """

    time: str
    host: str
    name: str
    text: str
    fields: dict[str, Any]

    def __str__(self) -> str:
        values = " ".join([f"{key}={value}" for key, value in self.fields.items()])
        return f"{self.time} {self.host} {self.name}: {self.text} [{values}]"


@dataclass(frozen=True, slots=True)
class Explanation:
    """Log lines of a request, with a summary of its outcome.

    :param verdict: the summary, one sentence.
    """

    lines: tuple[RequestLine, ...]
    verdict: str


def explain(request_id: str, logs: Iterable[Iterable[str]]) -> Explanation:
    """Collect the lines of a request from the logs of all processes.

    :param logs: the lines of each log.
    :return: the request's lines, sorted by time, and a summary.
    :rtype: Explanation

    Usage::

        explanation = explain("9c41d07be2a35f68", [Path("entry-1.log").open()])
    """
    lines = [line for log in logs for line in _find_lines(request_id, log)]
    lines.sort(key=lambda line: line.time)
    return Explanation(tuple(lines), _summarize(lines))


def _find_lines(request_id: str, log: Iterable[str]) -> Iterator[RequestLine]:
    for text in log:
        if request_id not in text:
            continue
        record = _parse_record(text)
        if record is not None and record.get("request_id") == request_id:
            fields = {k: v for k, v in record.items() if k not in HIDDEN_FIELDS}
            yield RequestLine(
                time=str(record.get("timestamp", "")),
                host=str(record.get("host", "")),
                name=str(record.get("name", "")),
                text=str(record.get("event", "")),
                fields=fields,
            )


def _parse_record(text: str) -> dict[str, Any] | None:
    """Decode a line, skipping any prefix before its JSON object."""
    try:
        record = json.loads(text[text.index("{") :])
    except ValueError:
        return None
    return record if isinstance(record, dict) else None


def _summarize(lines: list[RequestLine]) -> str:
    if not lines:
        return "No log names this request: no process in these logs has received it."
    end = next((line for line in reversed(lines) if line.name in END_EVENTS), None)
    if end is None:
        last = lines[-1]
        return (
            f"The request has no end in these logs; its last line is {last.name} on"
            f" {last.host}: that host died, or the rest of its log is missing."
        )
    if end.name == "request_refused":
        reason = end.fields.get("reason")
        return f"It was refused on {end.host} before it was scheduled: {reason}."
    return _summarize_forwarding(end, lines)


def _summarize_forwarding(end: RequestLine, lines: list[RequestLine]) -> str:
    fields = end.fields
    outcome = fields.get("outcome", fields.get("verdict"))
    if fields.get("verdict") == Verdict.COMPLETED:
        return f"It was answered completely after {fields.get('duration_ms')} ms."
    failures = [line for line in lines if line.name == "send_failed"]
    if failures:
        last = failures[-1].fields
        return (
            f"It was {outcome} with status {fields.get('status')} after it was sent to"
            f" {last.get('upstream')}, an attempt that ended with {last.get('cause')}"
            f" ({last.get('detail')}); verdict {fields.get('verdict')}."
        )
    reason = fields.get("reason") or "no reason"
    return (
        f"It was {outcome} with status {fields.get('status')} after"
        f" {fields.get('waited_ms')} ms of waiting: {reason};"
        f" verdict {fields.get('verdict')}."
    )
