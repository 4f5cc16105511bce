"""Verdicts on requests: whether a request may have run, and why it ended."""

from dataclasses import dataclass
from enum import StrEnum


class Verdict(StrEnum):
    """States whether a request may have run at an upstream."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    COMPLETED = "completed"


class Reason(StrEnum):
    """Names why a request was refused or ended without a whole answer."""

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


@dataclass(frozen=True, slots=True)
class Refusal:
    """Describes a request that ended without a whole answer.

    :param verdict: whether the request may have run.
    :param reason: why it ended.
    :param retry_after_ms: when coming back makes sense; 0 means never.
    :param detail: a sentence for the caller.
    """

    verdict: Verdict
    reason: Reason
    retry_after_ms: int = 0
    detail: str = ""
