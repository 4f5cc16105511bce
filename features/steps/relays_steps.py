"""Steps for connections to upstreams that another host relays."""

from behave import given, then


@given("another host relays the connections")
def relay(context):
    context.relayed = context.upstreams


@given("another host relays the connections, but knows no upstream")
def relay_nothing(context):
    context.relayed = []


@given('another host relays the connections, while "{name}" accepts none')
def relay_without(context, name):
    relay(context)
    for upstream in context.upstreams:
        upstream.accepts = upstream.name != name


@given("another host relays the connections, and ends after {delay:d} ms")
def end_relay(context, delay):
    relay(context)
    context.relay_ends_ms = delay


@then("the relay opened 1 connection")
def one_connection(context):
    assert context.front.relay.opened == 1, context.front.relay.opened
