"""Steps for a plain service under overload."""

from behave import given, then, when
from support.service_load import ServiceLoad


@given("a service of {count:d} upstreams at {load:g} times its capacity")
def make_service(context, count, load):
    context.load = ServiceLoad(count)
    context.rate_per_s = load * context.load.capacity_per_s
    context.possible_per_s = min(context.rate_per_s, context.load.capacity_per_s)


@when("the load continues for {duration:d} ms")
def run_load(context, duration):
    context.load.run(duration, context.rate_per_s)


@when("all its upstreams are unreachable for {duration:d} ms")
def run_unreachable(context, duration):
    load = context.load
    load.down.update(load.upstreams)
    load.run(duration, context.rate_per_s)
    load.down.clear()


@then("in the last {duration:d} ms it served at least {share:g} of what it can")
def served_share(context, duration, share):
    load = context.load
    served = load.rate_served(load.now_ms - duration) / context.possible_per_s
    assert served >= share, served
