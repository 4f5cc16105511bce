"""Steps for the evidence on the links between entry hosts and upstreams."""

from behave import given, then, when
from hypothesis import given as given_random
from hypothesis import settings
from hypothesis import strategies as st
from support.reach_world import ReachWorld
from support.routed_group import names_of

from peridotfront.core.host_reach import HostReach
from peridotfront.core.messages import ReleaseCause


@given("{entries:d} entry hosts in virtual time before {upstreams:d} upstreams")
def make_world(context, entries, upstreams):
    context.world = ReachWorld(entries, upstreams)
    context.world.run(1000)


@given('only "{hosts}" get requests')
def keep_idle(context, hosts):
    context.world.idle = set(context.world.hosts) - set(names_of(hosts))


@when(
    'the links of "{hosts}" to all upstreams are lost, so that requests end as {cause}'
)
def lose_links(context, hosts, cause):
    context.world.cause = ReleaseCause(cause)
    context.world.lose_links(names_of(hosts))


@when('the links of "{hosts}" to "{upstreams}" are lost')
def lose_some_links(context, hosts, upstreams):
    context.world.lose_links(names_of(hosts), names_of(upstreams))


@when('the upstreams "{names}" accept no connections')
def stop_upstreams(context, names):
    context.world.down = set(names_of(names))


@when('"{upstream}" is silent for {duration:d} ms')
def be_silent(context, upstream, duration):
    context.world.cause = ReleaseCause.UPSTREAM_TIMEOUT
    context.world.down = {upstream}
    context.world.run(duration)
    context.world.down = set()


@when("all links and upstreams work again")
def repair(context):
    context.world.lost.clear()
    context.world.down.clear()


@when("{duration:d} ms of requests pass at all hosts")
def pass_time(context, duration):
    context.world.reset()
    context.world.run(duration)


@then('{share:d} in 100 requests at "{hosts}" were served')
def check_served(context, share, hosts):
    world = context.world
    found = world.share_served(names_of(hosts))
    assert found >= share / 100, (found, world.served, world.failed)


@then('requests at "{hosts}" are served two thirds as often as at "{others}"')
def check_part(context, hosts, others):
    world = context.world
    found = world.share_served(names_of(hosts))
    expected = world.share_served(names_of(others))
    assert found >= 2 / 3 * expected, (found, expected)


@given("{duration:d} ms of an overload, with one request each {gap:d} ms at each host")
def pass_overload(context, duration, gap):
    context.world.run(1000, gap)
    context.world.reset()
    context.world.run(duration, gap)
    context.served_before = context.world.served.total()
    assert context.world.failed.total() > 0, "there was no overload"


@then("9 in 10 times as many requests are served as in the overload before")
def check_served_before(context):
    served = context.world.served.total()
    assert served >= 0.9 * context.served_before, (served, context.served_before)


@then("no upstream was out of service for more than {limit:d} ms")
def check_outages(context, limit):
    outages_ms = context.world.out_of_service_ms
    assert max(outages_ms.values(), default=0) <= limit, outages_ms


@then('the leader takes "{hosts}" as cut off from upstreams')
def check_cut_off(context, hosts):
    reach = context.world.group.leader().role.service_schedulers.reach
    found = [host for host in context.world.hosts if reach.is_cut_off(host)]
    assert found == list(names_of(hosts)), found


@then("the leader takes no host as cut off from upstreams")
def check_none_cut_off(context):
    reach = context.world.group.leader().role.service_schedulers.reach
    assert not [host for host in context.world.hosts if reach.is_cut_off(host)]


HOSTS = ("e1", "e2", "e3", "e4")
UPSTREAMS = ("m1", "m2", "m3")
SEQUENCES = 500
REPORTS = ("answer", "unreachable", "broken", "silence")
EVENTS = st.lists(
    st.tuples(
        st.sampled_from((*REPORTS, "join", "leave", "leaving", "refused", "retain")),
        st.sampled_from(HOSTS),
        st.sampled_from(UPSTREAMS),
        st.integers(0, 2500),
    ),
    min_size=10,
    max_size=60,
)


@when("hosts join, leave and report in any order")
def fuzz_reports(context):
    context.sequences = 0

    @settings(max_examples=SEQUENCES)
    @given_random(EVENTS)
    def play(events):
        context.sequences += 1
        reach = HostReach()
        joined = set(HOSTS)
        for host in HOSTS:
            reach.join(host, "dc1")
        now_ms = 0
        for kind, host, upstream, elapsed_ms in events:
            now_ms += elapsed_ms
            play_event(reach, joined, kind, host, upstream, now_ms)
            list(reach.take_logs())
            reach.take_reinstated()
            check_relays(reach, joined, now_ms)

    play()


def play_event(reach, joined, kind, host, upstream, now_ms):
    if kind in REPORTS:
        getattr(reach, f"record_{kind}")(host, upstream, now_ms)
    elif kind == "join":
        joined.add(host)
        reach.join(host, "dc1")
    elif kind == "leave":
        joined.discard(host)
        reach.leave(host)
    elif kind == "leaving" and host in joined:
        reach.set_leaving(host, True)
    elif kind == "refused":
        reach.record_refused_relay(host, HOSTS[0], now_ms)
    elif kind == "retain":
        reach.retain({upstream})


def check_relays(reach, joined, now_ms):
    for host in HOSTS:
        for upstream in UPSTREAMS:
            relay = reach.relay_for(host, upstream, "dc1", now_ms)
            if relay:
                assert relay in joined and relay != host
                assert not reach.has_lost_link(relay, upstream, now_ms)
            if reach.may_test(host, upstream, now_ms):
                reach.record_test(upstream, now_ms)


@then("no report fails, and a relay always has the link that it is chosen for")
def fuzz_has_run(context):
    assert context.sequences > 0


@given('hosts "{first}" and "{second}" that reach all upstreams')
def make_reach(context, first, second):
    context.reach = HostReach()
    for host in (first, second):
        context.reach.join(host, "dc1")


@when(
    'connections of "{host}" to "{upstreams}" break, while "{other}" is answered by'
    ' "{answering}"'
)
def break_connections(context, host, upstreams, other, answering):
    now_ms = 0
    context.may_be_upstreams = []
    for upstream in names_of(upstreams):
        now_ms += 500
        may_be_upstream = context.reach.record_broken(host, upstream, now_ms)
        context.may_be_upstreams.append(may_be_upstream)
        for name in names_of(answering):
            context.reach.record_answer(other, name, now_ms + 200)


@then("each break may be the fault of its upstream")
def may_be_upstream(context):
    assert all(context.may_be_upstreams), context.may_be_upstreams


@then("no host is taken as cut off")
def none_cut_off(context):
    assert not [host for host in HOSTS if context.reach.is_cut_off(host)]


@then('"{host}" is taken as cut off')
def cut_off(context, host):
    assert context.reach.is_cut_off(host)
