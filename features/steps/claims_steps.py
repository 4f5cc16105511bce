"""Steps for the state machines of claims and strikes."""

from behave import given, then, when

from peridotfront.core.claims import Claims
from peridotfront.core.messages import (
    Claim,
    ClaimBatch,
    ClaimRequest,
    ClaimStatus,
    Outcome,
    OutcomeReport,
    Replica,
    StrikeBatch,
    StrikeReport,
)
from peridotfront.core.strikes import Strikes
from peridotfront.core.verdicts import Reason, Verdict


def claim_request(host, key, request_id, epoch=1, fingerprint=1, is_idempotent=False):
    claim = Claim(key, fingerprint, epoch, host, 1, "upstream", is_idempotent)
    return ClaimRequest(request_id, claim)


def report_of(host, key, epoch, verdict, body=""):
    outcome = Outcome(Verdict(verdict), Reason.NONE, 200, (), body.encode(), bool(body))
    return OutcomeReport(key, epoch, outcome, host, 1)


def apply(context, claims=(), outcomes=(), dead=()):
    batch = ClaimBatch(
        time_ms=context.time_ms,
        claims=claims,
        outcomes=outcomes,
        dead_holders=tuple([Replica(host, 1) for host in dead]),
        max_bytes=context.max_bytes,
    )
    result = context.claims.apply(batch)
    context.replies.update({r.request_id: r for r in result.replies})
    context.acks.extend(result.acks)


@given("no claims")
def no_claims(context, max_bytes=0):
    context.claims = Claims()
    context.time_ms = 0
    context.max_bytes = max_bytes
    context.replies = {}
    context.acks = []


@given("no claims and a limit of {max_bytes:d} bytes")
def bounded_claims(context, max_bytes):
    no_claims(context, max_bytes)


@when('host "{host}" claims "{key}" for request "{request_id}"')
def request_claim(context, host, key, request_id):
    apply(context, claims=(claim_request(host, key, request_id),))


@when(
    'host "{host}" claims "{key}" with a different fingerprint'
    ' for request "{request_id}"'
)
def request_with_other_fingerprint(context, host, key, request_id):
    apply(context, claims=(claim_request(host, key, request_id, fingerprint=2),))


@when(
    'host "{host}" takes over "{key}" with epoch {epoch:d}'
    ' while "{dead}" is considered dead'
)
def take_over(context, host, key, epoch, dead):
    request = claim_request(host, key, "take", epoch)
    apply(context, claims=(request,), dead=(dead,))


@when('host "{host}" reports {verdict} with body "" for epoch {epoch:d} of "{key}"')
def end_without_body(context, host, verdict, epoch, key):
    apply(context, outcomes=(report_of(host, key, epoch, verdict),))


@when(
    'host "{host}" reports {verdict} with body "{body}" for epoch {epoch:d} of "{key}"'
)
def end_with_body(context, host, verdict, body, epoch, key):
    apply(context, outcomes=(report_of(host, key, epoch, verdict, body),))


@when("{time_ms:d} ms pass for the claims")
def pass_time(context, time_ms):
    context.time_ms += time_ms


@when("{count:d} keys are claimed and end with a body of {size:d} bytes each")
def fill(context, count, size):
    for number in range(count):
        key = f"key-{number}"
        apply(context, claims=(claim_request("e1", key, key),))
        apply(context, outcomes=(report_of("e1", key, 1, "completed", "x" * size),))


@then('"{request_id}" is granted with epoch {epoch:d} to {purpose}')
def granted(context, request_id, epoch, purpose):
    reply = context.replies[request_id]
    assert reply.status is ClaimStatus.GRANTED, reply
    expected = (epoch, purpose == "resume only")
    assert (reply.claim.epoch, reply.claim.is_resume_only) == expected, reply


@then('"{request_id}" is held by "{host}"')
def held(context, request_id, host):
    reply = context.replies[request_id]
    assert (reply.status, reply.claim.holder_host) == (ClaimStatus.HELD, host), reply


@then('"{request_id}" is refused as key_reused')
def reused(context, request_id):
    assert context.replies[request_id].status is ClaimStatus.KEY_REUSED


@then('"{request_id}" is ended as {verdict} with body ""')
def ended_without_body(context, request_id, verdict):
    ended_with_body(context, request_id, verdict, "")


@then('"{request_id}" is ended as {verdict} with body "{body}"')
def ended_with_body(context, request_id, verdict, body):
    reply = context.replies[request_id]
    assert reply.status is ClaimStatus.ENDED, reply
    actual = (reply.outcome.verdict, reply.outcome.body)
    assert actual == (Verdict(verdict), body.encode()), reply


@then("the last report was superseded")
def superseded(context):
    assert context.acks[-1].is_superseded


@then("every key that was granted is recorded with its verdict")
def on_record(context):
    for reply in context.replies.values():
        record = context.claims.lookup(reply.key)
        if reply.status is ClaimStatus.GRANTED:
            assert record.outcome.verdict is Verdict.COMPLETED, record


@then("the size is at most {size:d} bytes and one record")
def size_bounded(context, size):
    assert 0 < context.claims.size_bytes <= size + 1500, context.claims.size_bytes


@then("some keys were refused as full")
def some_full(context):
    statuses = [r.status for r in context.replies.values()]
    assert ClaimStatus.FULL in statuses


@given("no strikes")
def no_strikes(context):
    context.strikes = Strikes()
    context.time_ms = 0


@when('report "{report_id}" strikes request {fingerprint:d}')
def strike(context, report_id, fingerprint):
    report = StrikeReport("engine", (fingerprint,), report_id)
    context.strikes.apply(StrikeBatch(context.time_ms, (report,)))


@when('{time_ms:d} ms pass before report "{report_id}" strikes request {fingerprint:d}')
def late_strike(context, time_ms, report_id, fingerprint):
    context.time_ms += time_ms
    strike(context, report_id, fingerprint)


@then("request {fingerprint:d} has {count:d} strikes")
def strikes(context, fingerprint, count):
    assert context.strikes.strikes(fingerprint) == count
