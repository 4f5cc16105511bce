"""Steps for orders to engines."""

import asyncio

from behave import given, then, when
from support.deployment import wait_until
from support.order_group import FakeEngine, OrderGroup

from peridotfront import wire
from peridotfront.core.control_state import ControlState
from peridotfront.core.fleet import Fleet, Policy, UpstreamKind, UpstreamSpec
from peridotfront.core.messages import ControlSnapshot, OrderIssued
from peridotfront.core.orders import (
    EngineReported,
    LeadershipGained,
    OrderCommitted,
    OrderEnded,
    OrderOutcome,
    OrderPlanner,
    ProposeOrder,
    SendOrder,
)
from peridotfront.core.scheduler_events import FleetChanged
from peridotfront.core.snapshot_builder import slices
from peridotfront.engine_client import EngineClient
from peridotfront.order_sender import OrderSender

LOADS_PER_MIN = 12
LOAD_BURST = 2
LIMIT_MS = 60_000


def has_model(group, model):
    return all(model in one.models for one in group.engines.values())


@given("control hosts and an engine that {manner} fencing tokens")
def control_hosts(context, manner):
    context.engine = FakeEngine("engine-1", manner == "honours")
    context.group = OrderGroup([context.engine], seed=3)
    context.group.await_leader()


@given("control hosts and {count:d} engines that honour fencing tokens")
def control_hosts_engines(context, count):
    engines = [FakeEngine(f"engine-{number}") for number in range(count)]
    context.group = OrderGroup(engines, seed=3)
    context.group.await_leader()


@given("a leader whose order of m2 takes {link_ms:d} ms to reach the engine")
def slow_leader(context, link_ms):
    group = context.group
    context.old = group.leader()
    group.link_ms[context.old] = link_ms
    group.configure("m2", group.rules("m1, m2"))
    group.run_until(lambda: group.orders, what="an order")


@when("that leader is cut off as soon as the order left")
def cut_leader(context):
    context.group.isolate(context.old)


@given("a leader that is frozen right before it sends its order of m2")
def freeze_leader(context):
    group = context.group
    context.old = group.leader()
    group.configure("m1", group.rules("m1"))
    group.run_for(LIMIT_MS)
    # The order is committed while the host is already to be stopped.
    group.holds_outbox = context.old
    group.configure("m2", group.rules("m1, m2"))
    group.run_until(lambda: group.outboxes[context.old], what="an order in hand")
    group.freeze(context.old)
    group.holds_outbox = ""


@when("it is thawed after another leader brought the engine to have m2")
def thaw_leader(context):
    other_leads(context, "m2")
    context.group.thaw(context.old)
    context.group.run_for(LIMIT_MS)


@then("it has sent no order")
def sent_none(context):
    hosts = [one.host for one in context.group.orders]
    assert context.old not in hosts, context.group.orders


@then("the order in hand was given up")
def given_up(context):
    assert [one[0] for one in context.group.not_sent] == [context.old]


@when("an operator asks the others for m3 too")
def ask_m3(context):
    context.group.configure("m3", context.group.rules("m1, m2, m3"))


@then("another leader brings the engine to have {model}")
def other_leads(context, model):
    group = context.group
    group.run_until(
        lambda: any(one.host != context.old for one in group.orders), LIMIT_MS
    )
    group.run_for(LIMIT_MS)
    assert has_model(group, model)


@then("the terms of the orders that the engine obeyed never fall")
def terms_grow(context):
    terms = [one.term for one in context.engine.obeyed]
    assert terms and terms == sorted(terms), terms


@then("every order was in the log before it was sent")
def all_logged(context):
    assert context.group.orders
    assert not context.group.unlogged, context.group.unlogged


@given("the engine takes {load_ms:d} ms to load and its first answer is lost")
def slow_load(context, load_ms):
    context.engine.load_ms = load_ms
    context.engine.lost_answers = 1


@when("the configuration asks for m1 and m2")
def ask_m2(context):
    context.group.configure("m2", context.group.rules("m1, m2"))
    context.group.run_for(LIMIT_MS)


@then("{count:d} orders with one id and growing tokens reach the engine")
def same_id(context, count):
    orders = context.engine.obeyed
    tokens = [(one.term, one.sequence) for one in orders]
    assert len(orders) == count, orders
    assert len({one.order_id for one in orders}) == 1, orders
    assert tokens == sorted(set(tokens)), tokens


@when(
    "{count:d} engines are to load m2 at {rate:d} loads a minute and {burst:d} at once"
)
def load_all(context, count, rate, burst):
    context.rate, context.burst = rate, burst
    policy = f"weight_loads_per_min = {rate}\nweight_load_burst = {burst}"
    # The bucket of the first leader is full when the change comes.
    context.group.configure("m1", context.group.rules("m1", policy))
    context.group.run_for(LIMIT_MS)
    context.group.configure("m2", context.group.rules("m1, m2", policy))


@when("the leader is killed after {count:d} loads were sent")
def kill_after(context, count):
    group = context.group
    group.run_until(lambda: len(group.orders) >= count, LIMIT_MS)
    group.kill(group.leader())


@then("all engines have m2 in the end")
def all_loaded(context):
    group = context.group
    group.run_until(lambda: has_model(group, "m2"), 2 * LIMIT_MS)
    assert len({one.order.term for one in group.orders}) == 2


@then("no stretch of time had more loads than the bucket allows")
def bucket_holds(context):
    times_ms = [one.at_ms for one in context.group.orders]
    for start, first_ms in enumerate(times_ms):
        for count, last_ms in enumerate(times_ms[start:], start=1):
            # An order leaves a few turns after its token was taken.
            stretch_ms = last_ms - first_ms + 1000
            allowed = context.burst + context.rate * stretch_ms / 60_000
            assert count <= allowed, f"{count} loads in {stretch_ms} ms"


@given("the engine knows a token of term {term:d}")
def know_token(context, term):
    context.engine.token = (term, 1)


@then("one order was refused and logged")
def refused_once(context):
    events = [action.event for _, action in context.group.logged]
    assert len(context.engine.refused) == 1, context.engine.refused
    assert events == ["order_refused"], events


@then("in {duration_ms:d} ms no more orders of that term are sent")
def no_more(context, duration_ms):
    group = context.group
    group.configure("m3", group.rules("m1, m3"))
    group.run_for(duration_ms)
    assert len(group.orders) == 1, group.orders


# The desk alone


def fleet(version, models, role=""):
    spec = UpstreamSpec(
        name="engine-1",
        kind=UpstreamKind.ENGINE,
        data_centre="dc",
        address="127.0.0.1:1",
        models=models,
        honours_fencing=True,
        role=role,
    )
    policy = Policy(weight_loads_per_min=600)
    return FleetChanged(Fleet(version=version, upstreams=(spec,), policy=policy))


def start_desk(context, event):
    context.desk = OrderPlanner(lease_ms=600)
    context.now_ms = 0
    assert not ask(context, LeadershipGained(1)) + ask(context, event)


def ask(context, event):
    return list(context.desk.handle(event, context.now_ms))


def report(context, models, role=""):
    return ask(context, EngineReported("engine-1", models, role, context.now_ms))


@given("an order desk that leads with configuration 1 for m1 and m2")
def desk_two_models(context):
    start_desk(context, fleet(1, ("m1", "m2")))


@given("an order desk that leads with configuration 1 for m1 as prefill")
def desk_role(context):
    start_desk(context, fleet(1, ("m1",), "prefill"))


@given("the desk has proposed to load m2")
def proposed(context):
    context.now_ms = 1000
    (action,) = report(context, ("m1",))
    assert isinstance(action, ProposeOrder), action
    context.order = action.order


@when("configuration 2 for m1 comes before the order is committed")
def replaced(context):
    ask(context, fleet(2, ("m1",)))
    context.actions = ask(context, OrderCommitted(context.order))


@then("the desk sends nothing")
def sends_nothing(context):
    assert not context.actions, context.actions


@then("the next report without m2 brings no order")
def no_order(context):
    context.now_ms += 1000
    assert not report(context, ("m1",))


@when("the engine reports m1 and m2 every 1000 ms and obeys")
def engine_obeys(context):
    models, role, context.issued = ("m1", "m2"), "", []
    for context.now_ms in range(1000, 20_000, 1000):
        for action in report(context, models, role):
            order = action.order
            context.issued.append((context.now_ms, order.kind, order.name))
            role = order.name if order.kind == "set_role" else role
            models = ("m1",) if order.kind == "unload_model" else models
            ask(context, OrderCommitted(order))
            ask(context, OrderEnded(order, OrderOutcome.ACCEPTED))


@then("the desk orders set_role {role}, and unload_model {model} after {delay_ms:d} ms")
def two_orders(context, role, model, delay_ms):
    expected = [(1000, "set_role", role), (delay_ms, "unload_model", model)]
    assert context.issued == expected, context.issued


# The replicated table


@given("a control state with {count:d} logged orders")
def logged_orders(context, count):
    context.state = ControlState()
    context.count = count
    for number in range(count):
        context.state.apply(an_order(number))


def an_order(number):
    kind, upstream = "load_model", f"engine-{number}"
    return OrderIssued(f"id-{number}", upstream, kind, "m2", 1, number, number)


@when("its snapshot is encoded in slices of {size:d} records and restored elsewhere")
def restore_elsewhere(context, size):
    parts = slices(context.state.snapshot(), size)
    data = b"".join([wire.encode(part) for part in parts])
    context.other = ControlState()
    context.other.restore(wire.decode(ControlSnapshot, data))


@then("the other state has the same orders")
def same_orders(context):
    expected = tuple([an_order(number) for number in range(context.count)])
    assert context.other.orders.orders == expected, context.other.orders.orders


@then("the table holds the newest {kept:d} orders")
def newest_orders(context, kept):
    first = context.count - kept
    expected = tuple([an_order(number) for number in range(first, context.count)])
    assert context.state.orders.orders == expected


# The sender


class OneOrderPlanner:
    """Sends one order when told of the leadership, and records its end."""

    def __init__(self, address):
        self.address = address
        self.ended = []

    def handle(self, event, now_ms):
        if isinstance(event, LeadershipGained):
            yield SendOrder(self.address, an_order(1))
        if isinstance(event, OrderEnded):
            self.ended.append(event)


@given("an engine that counts the bytes it gets")
def counting_engine(context):
    context.received = []


@when("an order is sent and the leader {leads} a quorum once connected")
def send_order(context, leads):
    async def serve(reader, writer):
        context.received.append(await reader.read(1000))
        writer.close()

    async def send():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        context.desk = OneOrderPlanner(f"{host}:{port}")
        sender = OrderSender(context.desk, EngineClient(), None, lambda: leads == "has")
        sender.set_leader(1)
        async with asyncio.timeout(10):
            while not (context.desk.ended and context.received):
                await asyncio.sleep(0.01)
        await sender.stop()
        server.close()

    asyncio.run(send())


@then("the engine got {amount} bytes")
def got_bytes(context, amount):
    assert any(context.received) == (amount == "some"), context.received


@then("the order in flight has ended")
def has_ended(context):
    assert [one.outcome for one in context.desk.ended] == [OrderOutcome.FAILED]


# Real processes


@when("an operator adds {model} to {engine}")
def add_model(context, model, engine):
    deployment = context.deployment
    deployment.policy = "weight_loads_per_min = 600\n"
    place, rule = deployment.upstreams[engine]
    rule = rule.replace("models = m1", f"models = m1, {model}")
    deployment.upstreams[engine] = (place, f"{rule}honours_fencing = true\n")
    reply = deployment.apply(deployment.rules())
    assert reply.status == 200, reply


@then("the run file of {engine} has one accepted order to load {model}")
def order_in_run_file(context, engine, model):
    def orders():
        lines = context.deployment.runs(engine)
        return [one for one in lines if one.get("kind") == "load_model"]

    wait_until(orders, what="an order")
    (context.order_line,) = orders()
    assert context.order_line["name"] == model, context.order_line
    assert context.order_line["is_accepted"], context.order_line


@then("the state page of the leader shows that order")
def order_on_page(context):
    leader = context.deployment.leader()
    state = context.deployment.admin(leader, "GET", "/state").json()
    ids = [one["order_id"] for one in state["orders"]]
    assert ids == [context.order_line["order_id"]], state["orders"]


@then("{entry} answers a completion with {model}")
def answers_model(context, entry, model):
    wait_until(
        lambda: context.deployment.complete(entry, "x", 1, model=model).status == 200,
        what="an answer",
    )
