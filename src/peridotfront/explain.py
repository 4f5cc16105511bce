"""The lines about one request, from the logs of all processes, and a verdict."""

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
    """Is one line of a log that names a request.

    :param time: as written, in ISO form.
    :param text: the sentence of the event.
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
    """Is all that the logs say of a request.

    :param verdict: one sentence.
    """

    lines: tuple[RequestLine, ...]
    verdict: str


def explain(request_id: str, logs: Iterable[Iterable[str]]) -> Explanation:
    """Follow a request through the logs of all processes.

    :param logs: the lines of each log.
    :return: its lines by time, and a verdict.
    :rtype: Explanation

    Usage::

        found = explain("9c41d07be2a35f68", [Path("entry-1.log").open()])
    """
    found = [line for log in logs for line in _lines_of(request_id, log)]
    found.sort(key=lambda line: line.time)
    return Explanation(tuple(found), _verdict(found))


def _lines_of(request_id: str, log: Iterable[str]) -> Iterator[RequestLine]:
    for text in log:
        if request_id not in text:
            continue
        record = _record(text)
        if record is not None and record.get("request_id") == request_id:
            fields = {k: v for k, v in record.items() if k not in HIDDEN_FIELDS}
            yield RequestLine(
                time=str(record.get("timestamp", "")),
                host=str(record.get("host", "")),
                name=str(record.get("name", "")),
                text=str(record.get("event", "")),
                fields=fields,
            )


def _record(text: str) -> dict[str, Any] | None:
    """Decode a line; whatever stands before its JSON is skipped."""
    try:
        record = json.loads(text[text.index("{") :])
    except ValueError:
        return None
    return record if isinstance(record, dict) else None


def _verdict(lines: list[RequestLine]) -> str:
    if not lines:
        return "No log names this request: no process of these logs has read it."
    end = next((one for one in reversed(lines) if one.name in END_EVENTS), None)
    if end is None:
        last = lines[-1]
        return (
            f"The request has no end in these logs; its last line is {last.name} on"
            f" {last.host}: that host died, or its log is missing."
        )
    if end.name == "request_refused":
        reason = end.fields.get("reason")
        return f"It was refused on {end.host} before it was placed: {reason}."
    return _forwarded(end, lines)


def _forwarded(end: RequestLine, lines: list[RequestLine]) -> str:
    fields = end.fields
    outcome = fields.get("outcome", fields.get("verdict"))
    if fields.get("verdict") == Verdict.COMPLETED:
        return f"It was answered whole after {fields.get('duration_ms')} ms."
    failures = [one for one in lines if one.name == "send_failed"]
    if failures:
        last = failures[-1].fields
        return (
            f"It was {outcome} with status {fields.get('status')} after it was sent to"
            f" {last.get('upstream')}, which ended as {last.get('cause')}"
            f" ({last.get('detail')}); verdict {fields.get('verdict')}."
        )
    reason = fields.get("reason") or "no reason"
    return (
        f"It was {outcome} with status {fields.get('status')} after"
        f" {fields.get('waited_ms')} ms of waiting: {reason};"
        f" verdict {fields.get('verdict')}."
    )
