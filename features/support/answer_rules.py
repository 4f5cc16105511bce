"""Rules on answers, judged by what callers and upstreams have seen."""

from collections import Counter
from dataclasses import dataclass

from .answering_upstream import own_body
from .routed_upstreams import CallerAnswer

PROMISES = frozenset((408, 421, 429, 503))
KINDS_THAT_RUN_ONCE = frozenset(("transfer", "stream"))


@dataclass(frozen=True, slots=True)
class SentRequest:
    """Request of a caller, and the answer to it.

    :param play: what the first upstream was to do with it, in words.
    :param answer: the answer; None if the connection ended without one.
    """

    request_id: str
    kind: str
    body: bytes
    play: str
    answer: CallerAnswer | None

    @property
    def path(self):
        return f"/{self.kind}/x"

    def values(self, name):
        """Return the values of all fields with a name in lower case."""
        return [value for field, value in self.answer.fields if field == name]

    @property
    def summary(self):
        if self.answer is None:
            return f"{self.kind}, {self.play}: got no answer"
        return f"{self.kind}, {self.play}: got {self.answer.status}"


def count_runs(upstreams):
    """Return how often each request was run, by its id."""
    return Counter(request_id for item in upstreams for request_id in item.runs)


def find_violations(sent, upstreams):
    """Return a line for each rule that was broken.

    :param sent: all requests that callers sent.
    """
    runs = count_runs(upstreams)
    lines = []
    for request in sent:
        count = runs[request.request_id]
        broken = [
            *_broken_by_run(request, count),
            *_broken_by_answer(request, upstreams),
        ]
        lines += [f"{request.summary}, {count} runs: {text}" for text in broken]
    return lines + _broken_by_delivery(sent, upstreams)


def _broken_by_run(request, count):
    if request.kind in KINDS_THAT_RUN_ONCE and count > 1:
        yield "ran more than once"
    if request.answer is not None and request.answer.status in PROMISES and count:
        yield "ran, and was refused with a promise"


def _broken_by_answer(request, upstreams):
    answer = request.answer
    if answer is None:
        yield "no answer"
        return
    if any(value != request.request_id for value in request.values("x-attempt-id")):
        yield "an answer that names another request"
    digests = request.values("x-response-sig")
    if any(not _is_own_digest(request, digest, upstreams) for digest in digests):
        yield f"an answer with a digest of another answer: {digests}"
    if not 200 <= answer.status < 300:
        return
    if request.values("x-attempt-id") != [request.request_id]:
        yield f"a success with the ids {request.values('x-attempt-id')}"
    if len(digests) != 1:
        yield f"a success with the digests {digests}"
    body = own_body(request.path, request.request_id)
    is_own = answer.body == body if answer.is_complete else body.startswith(answer.body)
    if not is_own:
        yield f"a success with the body {answer.body!r}"


def _is_own_digest(request, digest, upstreams):
    """Return whether an upstream gave this digest with this status to this request."""
    request_id, name, status = digest.split("/")
    runners = [item.name for item in upstreams if request.request_id in item.runs]
    is_of_request = request_id == request.request_id and name in runners
    return is_of_request and int(status) == request.answer.status


def _broken_by_delivery(sent, upstreams):
    bodies = {request.request_id: request.body for request in sent}
    lines = []
    for upstream in upstreams:
        for request_id in sorted(set(upstream.runs) - set(bodies)):
            lines.append(f"{upstream.name} ran {request_id!r}, which nobody sent")
        for request_id, body in upstream.bodies:
            if bodies.get(request_id) != body:
                lines.append(f"{upstream.name} read another body of {request_id!r}")
    return lines
