"""Steps for the evidence on the links between entry hosts and upstreams."""

from behave import given, then, when
from support.reach_world import ReachWorld
from support.routed_group import names_of

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


@then('the requests at "{hosts}" failed at most {count:d} times')
def check_failed(context, hosts, count):
    failed = sum(context.world.failed[host] for host in names_of(hosts))
    assert failed <= count, context.world.failed


@then('the leader takes "{hosts}" as cut off from upstreams')
def check_cut_off(context, hosts):
    reach = context.world.group.leader().role.service_schedulers.reach
    found = [host for host in context.world.hosts if reach.is_cut_off(host)]
    assert found == list(names_of(hosts)), found


@then("the leader takes no host as cut off from upstreams")
def check_none_cut_off(context):
    reach = context.world.group.leader().role.service_schedulers.reach
    assert not [host for host in context.world.hosts if reach.is_cut_off(host)]
