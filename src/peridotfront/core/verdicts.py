"""Verdicts on requests: whether they may have been executed, and why they ended."""

from dataclasses import dataclass
from enum import StrEnum


class Verdict(StrEnum):
    """Whether a request was, or may have been, executed at an upstream."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    COMPLETED = "completed"


class Reason(StrEnum):
    """Reason why a request was refused or ended without a complete answer."""

    NONE = ""
    INVALID_REQUEST = "invalid_request"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    KEY_REQUIRED = "idempotency_key_required"
    KEY_REUSED = "idempotency_key_reused"
    TOO_LARGE = "too_large"
    RATE_LIMITED = "rate_limited"
    OVERLOADED = "overloaded"
    EVICTED = "evicted"
    RETRY_BUDGET = "retry_budget_spent"
    DEADLINE = "deadline_exceeded"
    NO_UPSTREAM = "no_upstream"
    NO_QUORUM = "no_quorum"
    POISON = "poison"
    UPSTREAM_DIED = "upstream_died"
    UPSTREAM_ERROR = "upstream_error"
    UPSTREAM_TIMEOUT = "upstream_timeout"
    PREEMPTED = "preempted"
    CALLER_GONE = "caller_gone"
    HOLDER_LOST = "holder_lost"
    LEAVING = "leaving"
    IN_PROGRESS = "in_progress"
    UNKNOWN_ORIGIN = "unknown_origin"


@dataclass(frozen=True, slots=True)
class Refusal:
    """Final answer to a request that ended without a complete answer.

    :param verdict: whether the request may have been executed.
    :param reason: reason why it ended.
    :param retry_after_ms: time after which the caller may retry; 0 if a retry is
        useless.
    :param detail: explanation for the caller, in one sentence.
    """

    verdict: Verdict
    reason: Reason
    retry_after_ms: int = 0
    detail: str = ""
