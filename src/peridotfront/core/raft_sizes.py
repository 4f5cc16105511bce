"""Estimated sizes of log commands on the wire, in bytes."""

from functools import singledispatch

from .messages import ClaimBatch, Command, ConfigChange, OutcomeReport

RECORD_BYTES = 256


@singledispatch
def estimated_bytes(command: Command) -> int:
    """Return the estimated size of a command in bytes."""
    return RECORD_BYTES


@estimated_bytes.register
def _(command: ConfigChange) -> int:
    return RECORD_BYTES + len(command.proposal.content)


@estimated_bytes.register
def _(command: ClaimBatch) -> int:
    claims_bytes = RECORD_BYTES * len(command.claims)
    return RECORD_BYTES + claims_bytes + sum(map(_report_bytes, command.outcomes))


def _report_bytes(report: OutcomeReport) -> int:
    outcome = report.outcome
    headers_bytes = sum([len(h.name) + len(h.value) for h in outcome.headers])
    return RECORD_BYTES + headers_bytes + len(outcome.body)
