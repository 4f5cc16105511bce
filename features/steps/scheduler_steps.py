"""Steps for the queues, answers and leases of a cell's scheduler."""

from dataclasses import replace

from behave import given, then, when
from cell_fixtures import Cell, make_fleet

from peridotfront.core.messages import Grant, SlotRefusal
from peridotfront.core.queues import FairQueue, QueuedSlotRequest
from peridotfront.core.scheduler_events import FleetChanged, HostLost, StrikesChanged


@given("a cell with {engines:d} engines of {slots:d} slots")
def make_cell(context, engines, slots):
    context.cell = Cell(make_fleet(engines, slots))


@given("a scheduler that has not settled")
def make_unsettled(context):
    context.cell = Cell(context.cell.fleet, is_settled=False)


@given("urgent slot requests may use {ratio:g} times the slots")
def set_overfill(context, ratio):
    fleet = context.cell.fleet
    policy = replace(fleet.policy, overfill_ratio=ratio)
    context.cell = Cell(replace(fleet, policy=policy))


@given("all slots are held at tier {tier:d}")
def fill_cell(context, tier):
    specs = context.cell.fleet.upstreams
    for index in range(sum(spec.max_slots for spec in specs)):
        context.cell.request_slot(f"held{index}", tier)
        assert context.cell.answers(f"held{index}", Grant)


@when('host "{host}" requests a slot for "{request_id}" at tier {tier:d}')
def request_one(context, host, request_id, tier):
    context.cell.request_slot(request_id, tier, host)


@when('host "{host}" requests a slot for "{request_id}" of model "{model}"')
def request_model(context, host, request_id, model):
    context.cell.request_slot(request_id, host=host, model=model)


@when("{count:d} slot requests of tier {tier:d} arrive")
def request_many(context, count, tier):
    for index in range(count):
        context.cell.request_slot(f"t{tier}-{index}", tier)


@when('{count:d} slot requests of account "{account}" arrive')
@when('{count:d} slot request of account "{account}" arrives')
def request_for_account(context, count, account):
    for index in range(count):
        context.cell.request_slot(f"{account}-{index}", client_account=account)


@when("a slot is released")
def release_one(context):
    context.cell.release("held0")


@when("{count:d} slots are released")
def release_some(context, count):
    for index in range(count):
        context.cell.release(f"held{index}")


@when("{duration:d} ms pass in the cell")
def pass_time(context, duration):
    context.cell.pass_time(duration)


@when("the holders keep their slots for {duration:d} ms")
def keep_slots(context, duration):
    context.cell.pass_time(duration, renew_slots=True)


@when('host "{host}" holds "{request_id}" for {duration:d} ms')
def hold_for(context, host, request_id, duration):
    context.cell.pass_time(duration, renew_slots=True)


@when('host "{host}" reports that it holds "{request_id}" at "{upstream}"')
def report_held(context, host, request_id, upstream):
    other = Cell(context.cell.fleet)
    other.request_slot(request_id)
    context.cell.slot_requests.update(other.slot_requests)
    context.cell.hold(request_id, host, upstream, 5)


@when("two slot requests are queued")
def queue_two(context):
    context.cell.request_slot("back")
    context.cell.request_slot("other")
    context.queue = FairQueue(lambda account: 1)
    context.queue.add(make_queued(context.cell.slot_requests["back"], 400))
    context.queue.add(make_queued(context.cell.slot_requests["other"], 800))


@when("the first is cancelled and sent again with a later deadline")
def send_again(context):
    context.queue.discard("back")
    context.queue.add(make_queued(context.cell.slot_requests["back"], 20_000))


@then("the other slot request is the most urgent and is granted first")
def other_is_urgent(context):
    assert context.queue.most_urgent().slot_request.request_id == "other"
    assert context.queue.head().slot_request.request_id == "other"


def make_queued(slot_request, deadline_at_ms):
    return QueuedSlotRequest(slot_request, "h", 0, deadline_at_ms)


@when('host "{host}" is lost')
def lose_host(context, host):
    context.cell.step(HostLost(host))


@then('"{request_id}" is granted')
def is_granted(context, request_id):
    assert len(context.cell.answers(request_id, Grant)) == 1


@then('"{request_id}" is granted {count:d} times at one upstream')
def is_granted_again(context, request_id, count):
    grants = context.cell.answers(request_id, Grant)
    assert len(grants) == count
    assert len({grant.message.upstream for grant in grants}) == 1


@then('"{request_id}" has no answer')
def has_no_answer(context, request_id):
    assert context.cell.answers(request_id) == []


@then('"{request_id}" is refused to host "{host}" as "{reason}"')
def is_refused(context, request_id, host, reason):
    refusals = context.cell.answers(request_id, SlotRefusal)
    assert [(r.to_host, r.message.reason.value) for r in refusals] == [(host, reason)]


@then("{count:d} slots are in use")
@then("{count:d} slot is in use")
def slots_in_use(context, count):
    assert context.cell.slots_in_use == count, context.cell.slots_in_use


@then('upstream "{name}" has {count:d} slots in use')
@then('upstream "{name}" has {count:d} slot in use')
def upstream_slots(context, name, count):
    assert context.cell.upstream(name).slots == count


@then("some slot requests of tier {tier:d} are refused")
def check_some_refused(context, tier):
    assert any(
        context.cell.slot_requests[send.message.request_id].tier == tier
        for send in context.cell.sent_with(SlotRefusal)
    )


@then("no slot request of tier {tier:d} is queued")
def none_queued(context, tier):
    assert all(queue.tier != tier for queue in context.cell.scheduler.dump().queues)


@then("there was no inversion")
def no_inversion(context):
    assert context.cell.scheduler.stats.inversions == 0


@then("no request is preempted")
def none_preempted(context):
    assert context.cell.preempted() == []


@then("{count:d} request is preempted")
def some_preempted(context, count):
    assert len(context.cell.preempted()) == count, context.cell.preempted()


@then("every refusal for overload carries a retry time")
def carries_retry(context):
    refusals = [send.message for send in context.cell.sent_with(SlotRefusal)]
    assert refusals
    assert all(refusal.retry_after_ms > 0 for refusal in refusals)


@then('account "{account}" was granted {count:d} slot')
def account_granted(context, account, count):
    granted = [
        send
        for send in context.cell.sent_with(Grant)
        if context.cell.slot_requests[send.message.request_id].client_account == account
    ]
    assert len(granted) == count


@when('a configuration with {engines:d} engines without "{name}" becomes active')
def change_fleet(context, engines, name):
    fleet = make_fleet(engines, 2)
    remaining = tuple(spec for spec in fleet.upstreams if spec.name != name)
    context.cell.step(FleetChanged(replace(fleet, version=2, upstreams=remaining)))


@when('the control group counts {strikes:d} strikes against "{request_id}"')
def count_strikes(context, strikes, request_id):
    fingerprint = context.cell.slot_requests[request_id].fingerprint
    context.cell.step(StrikesChanged(fingerprint, strikes))


@then('upstream "{name}" is removed')
def upstream_removed(context, name):
    names = [upstream.name for upstream in context.cell.scheduler.dump().upstreams]
    assert name not in names, names


@when(
    '{many:d} slot requests of account "{large}" and {few:d} of account "{small}"'
    " are queued"
)
def queue_accounts(context, many, large, few, small):
    context.queue = FairQueue(lambda account: 1)
    for account, count in ((large, many), (small, few)):
        for index in range(count):
            name = f"{account}{index}"
            context.cell.request_slot(name, client_account=account)
            context.queue.add(
                make_queued(context.cell.slot_requests[name], 10_000 + index)
            )


@then('both of account "{small}" are among the first {count:d} granted')
def small_account_granted(context, small, count):
    first = []
    for _ in range(count):
        head = context.queue.head()
        context.queue.take(head)
        first.append(head.slot_request.client_account)
    assert first.count(small) == 2, first
