"""Steps for the data centres in which requests are served."""

from itertools import count

from behave import given, then, when
from support.routed_group import RoutedGroup, listed

SERVICES = ("models", "ledger")
SETTLE_MS = 1500
GRANT_MS = 200


@given(
    "two entry hosts with {upstreams:d} upstreams of {slots:d} slots in the data centre"
    " of each"
)
def make_group(context, upstreams, slots):
    context.group = group = RoutedGroup()
    context.places = {}
    for service in SERVICES:
        for number in range(upstreams):
            for data_centre in ("dc1", "dc2"):
                name = f"{service}-{data_centre}-{number}"
                context.places[name] = (service, data_centre)
    group.list_upstreams(
        *[
            listed(name, service, slots=slots, data_centre=data_centre)
            for name, (service, data_centre) in context.places.items()
        ]
    )
    leader = group.await_leader()
    operation_id = group.put(leader.name, 7)
    group.run_until(lambda: operation_id in group.answers)
    group.run(SETTLE_MS)
    context.numbers = count(1)


def ask(context, host, number, service):
    for _ in range(number):
        host.request_slot(f"r{next(context.numbers)}", cell=service)
    context.group.run(GRANT_MS)


def granted_places(context, host):
    """Return the data centre of each slot that a host was granted."""
    return [
        context.places[granted.grant.upstream][1] for granted in host.granted.values()
    ]


@when('each entry host asks for {number:d} slots at upstreams of "{service}"')
def ask_all(context, number, service):
    context.number = number
    for host in context.group.entries:
        ask(context, host, number, service)


@then("all are granted in the data centre of their host")
def all_local(context):
    for host in context.group.entries:
        places = granted_places(context, host)
        assert places == [host.data_centre] * context.number, places


@when('the entry host "{name}" asks for {number:d} slots at upstreams of "{service}"')
def ask_one(context, name, number, service):
    context.host = context.group.hosts[name]
    ask(context, context.host, number, service)


@then("all {number:d} are granted, {local:d} of them in its data centre")
def some_remote(context, number, local):
    places = granted_places(context, context.host)
    assert len(places) == number, places
    assert places.count(context.host.data_centre) == local, places
