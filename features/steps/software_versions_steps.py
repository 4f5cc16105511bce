"""Steps for streams that are resumed beside upstreams of several software versions."""

from behave import given, then, when
from support.routed_group import listed
from support.routed_upstreams import run_front as run
from support.scripted_upstreams import Upstream

from peridotfront.core.gateway_events import SlotProgress
from peridotfront.core.messages import ReleaseCause
from peridotfront.core.routing_events import UpstreamsListed
from peridotfront.core.verdicts import Reason
from peridotfront.slot_finder import SHORT_WAIT_MS

EVENT_TOKENS = 6
STEP_MS = 100
RESUME_MS = 3000


# Streams through a gateway.


@given('software version "{version}" at upstream "{name}" that will "{step}"')
def add_upstream_of_version(context, name, version, step):
    context.upstreams.append(Upstream(name, [step], software_version=version))


@given("a scheduler that knows no software versions")
def ignore_versions(context):
    context.slot_options = {"knows_versions": False}


@given("a scheduler that does not know how streams began")
def forget_origins(context):
    context.slot_options = {"origins_known_after_ms": 60_000}


@given("a scheduler that learns after {delay_ms:d} ms how streams began")
def learn_origins(context, delay_ms):
    context.slot_options = {"origins_known_after_ms": delay_ms}


@when('a caller resumes the stream "" after event "{event_id}"')
@when('a caller resumes the stream "{stream_id}" after event "{event_id}"')
def resume_through_gateway(context, event_id, stream_id=None):
    fields = {"Last_Event_Id": event_id, "Resumes": stream_id}
    context.answer = run(context, lambda front: front.call("/resumable/x", **fields))


@then('the slot request resumes the stream "{stream_id}"')
def slot_request_resumes(context, stream_id):
    slot_request = context.front.slot_server.slot_requests[0]
    assert (slot_request.stream_id, slot_request.is_resumed) == (stream_id, True)


# Streams in a routed group.


def list_versions(context, counts):
    """List upstreams; the counts are by version."""
    context.group.list_upstreams(
        *[
            listed(f"{version}-{number}", software_version=version)
            for version, count in counts.items()
            for number in range(count)
        ]
    )


@given('{count:d} upstreams of version "{one}" and {other_count:d} of version "{other}" are listed')  # fmt: skip # noqa: E501
def list_two_versions(context, count, one, other_count, other):
    list_versions(context, {one: count, other: other_count})
    context.group.run(500)


@when('{count:d} upstreams of version "{one}" and {other_count:d} of version "{other}" are listed in {delay_ms:d} ms')  # fmt: skip # noqa: E501
def list_two_versions_later(context, count, one, other_count, other, delay_ms):
    context.list_later = lambda: list_versions(
        context, {one: count, other: other_count}
    )
    context.list_later_ms = delay_ms


@when('{count:d} streams begin at "{name}" and break off')
def begin_streams(context, count, name):
    group = context.group
    host = group.hosts[name]
    context.streams = {}
    for number in range(count):
        stream_id = f"s{number}"
        request_id = f"{stream_id}.0.0"
        host.request_slot(request_id, stream_id=stream_id)
        group.run_until(lambda: request_id in host.granted)  # noqa: B023
        context.streams[stream_id] = host.granted[request_id].grant.software_version
        group.feed(name, SlotProgress(request_id, EVENT_TOKENS))
        group.run(20)
        host.release(request_id, ReleaseCause.CALLER_GONE)
    assert all(context.streams.values()), context.streams
    group.run(20)


@when("no host changes")
def no_host_changes(context):
    pass


@when('entry host "{name}" restarts and follows the leader')
def restart_entry_host(context, name):
    group = context.group
    group.restart(name)
    group.run_until(
        lambda: group.hosts[name].role.leader and group.hosts[name].versions
    )


@when("all entry hosts are killed at once and start again")
def restart_all_entry_hosts(context):
    _kill_entry_hosts(context.group)
    _start_entry_hosts(context.group)


@when(
    'all entry hosts are killed at once while version "{version}" replaces all others'
)
def restart_all_beside_release(context, version):
    _kill_entry_hosts(context.group)
    list_versions(context, {version: 12})
    context.group.run(500)
    _start_entry_hosts(context.group)


def _kill_entry_hosts(group):
    group.down.update(host.name for host in group.entries)
    group.run(500)


def _start_entry_hosts(group):
    for host in group.entries:
        group.restart(host.name)
    group.run_until(
        lambda: all(host.role.leader and host.versions for host in group.entries)
    )


@when('entry host "{name}" is down')
def entry_host_down(context, name):
    context.group.down.add(name)


@when("the leader freezes and another one leads")
def replace_leader(context):
    group = context.group
    group.down.add(group.leader().name)
    group.run_until(group.leader, 10_000)
    group.run(1000)


@when('entry host "{name}" is down and then the leader is replaced')
def lose_host_and_leader(context, name):
    context.group.down.add(name)
    context.group.run(200)
    replace_leader(context)


@when("all control hosts are restarted")
def restart_controls(context):
    group = context.group
    group.down.update(host.name for host in group.controls)
    group.run(100)
    for host in group.controls:
        group.restart(host.name)
    group.run_until(group.leader, 10_000)
    group.run(1000)


@when('"{name}" can\'t reach the control hosts')
def cut_from_controls(context, name):
    for host in context.group.controls:
        context.group.cut(name, host.name)
    context.group.run(1000)
    # A host without a leader reads the list by itself.
    context.group.feed(name, UpstreamsListed(context.group.listed))


@when('the new upstreams of version "{version}" are three times as many')
def add_upstreams(context, version):
    list_versions(context, {"v1": 6, version: 18})
    context.group.run(500)


@when('all hosts start again with version "{version}" alone')
def restart_with_one_version(context, version):
    group = context.group
    group.down.update(group.hosts)
    group.run(500)
    list_versions(context, {version: 12})
    for name in group.hosts:
        group.restart(name)


@when('all upstreams are replaced by ones of version "{version}"')
def replace_upstreams(context, version):
    list_versions(context, {version: 12})
    context.group.run(500)


@when("the streams are of another service")
def use_other_service(context):
    context.group.list_upstreams(
        *context.group.listed,
        *[
            listed(f"ledger-{n}", "ledger", software_version=f"v{n % 2 + 1}")
            for n in range(4)
        ],
    )
    context.group.run(500)
    context.resumed_service = "ledger"


@when('"{name}" resumes the streams')
def resume_streams(context, name):
    group = context.group
    context.resuming_host = name
    service = getattr(context, "resumed_service", "models")
    host = group.hosts[name]

    def ask(stream_id):
        host.request_slot(
            f"{stream_id}.next", cell=service, stream_id=stream_id, is_resumed=True
        )

    for stream_id in context.streams:
        ask(stream_id)
    running = set(context.streams)
    for elapsed_ms in range(0, RESUME_MS, STEP_MS):
        if elapsed_ms == getattr(context, "list_later_ms", None):
            context.list_later()
        group.run(STEP_MS)
        for stream_id in tuple(running):
            request_id = f"{stream_id}.next"
            if request_id in host.granted:
                running.remove(stream_id)
                host.release(request_id)
            elif is_origin_unknown(host, request_id) and elapsed_ms < SHORT_WAIT_MS:
                del host.refused[request_id]
                ask(stream_id)


def is_origin_unknown(host, request_id):
    """Return whether a host refused a request since it doesn't know the beginning."""
    refused = host.refused.get(request_id)
    return refused is not None and refused.refusal.reason is Reason.UNKNOWN_ORIGIN


@then("every stream goes on at the version that began it")
def goes_on(context):
    check_versions(context)
    granted = context.group.hosts[context.resuming_host].granted
    missing = [s for s in context.streams if f"{s}.next" not in granted]
    assert not missing, missing


def check_versions(context):
    """Check that no stream goes on at a version that did not begin it."""
    granted = context.group.hosts[context.resuming_host].granted
    mixed = {
        stream_id: (version, granted[f"{stream_id}.next"].grant.upstream)
        for stream_id, version in context.streams.items()
        if f"{stream_id}.next" in granted
        and granted[f"{stream_id}.next"].grant.software_version != version
    }
    assert not mixed, mixed


@then('no stream is resumed, and each is refused as not run for "{reason}"')
def all_refused(context, reason):
    host = context.group.hosts[context.resuming_host]
    granted = [s for s in context.streams if f"{s}.next" in host.granted]
    assert not granted, granted
    for stream_id in context.streams:
        refusal = host.refused[f"{stream_id}.next"].refusal
        assert refusal.reason.value == reason, refusal
