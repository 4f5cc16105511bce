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
TIME_LIMIT_MS = 60_000


def has_model(group, model):
    return all(model in engine.models for engine in group.engines.values())


@given("control hosts and an engine that {manner} fencing tokens")
def control_hosts(context, manner):
    context.engine = FakeEngine("engine-1", manner == "honours")
    context.group = OrderGroup([context.engine], seed=3)
    context.group.await_leader()


@given("control hosts and {count:d} engines that honour fencing tokens")
def start_group_with_engines(context, count):
    engines = [FakeEngine(f"engine-{number}") for number in range(count)]
    context.group = OrderGroup(engines, seed=3)
    context.group.await_leader()


@given("a leader whose order of m2 takes {link_delay_ms:d} ms to reach the engine")
def delay_order(context, link_delay_ms):
    group = context.group
    context.old_leader = group.leader()
    group.link_delay_ms[context.old_leader] = link_delay_ms
    group.configure("m2", group.rules("m1, m2"))
    group.run_until(lambda: group.orders, what="an order")


@when("that leader is isolated as soon as the order was sent")
def isolate_leader(context):
    context.group.isolate(context.old_leader)


@given("a leader that is frozen right before it sends its order of m2")
def freeze_leader(context):
    group = context.group
    context.old_leader = group.leader()
    group.configure("m1", group.rules("m1"))
    group.run_for(TIME_LIMIT_MS)
    # The order is committed, but the host is frozen before it sends it.
    group.held_outbox_host = context.old_leader
    group.configure("m2", group.rules("m1, m2"))
    group.run_until(lambda: group.outboxes[context.old_leader], what="an order to send")
    group.freeze(context.old_leader)
    group.held_outbox_host = ""


@when("it is thawed after another leader had the engine load m2")
def thaw_leader(context):
    check_new_leader(context, "m2")
    context.group.thaw(context.old_leader)
    context.group.run_for(TIME_LIMIT_MS)


@then("it has sent no order")
def check_nothing_sent(context):
    hosts = [sent.host for sent in context.group.orders]
    assert context.old_leader not in hosts, context.group.orders


@then("the order was abandoned")
def check_abandoned(context):
    assert [entry[0] for entry in context.group.not_sent] == [context.old_leader]


@when("an operator also configures m3 at the other hosts")
def configure_m3(context):
    context.group.configure("m3", context.group.rules("m1, m2, m3"))


@then("another leader has the engine load {model}")
def check_new_leader(context, model):
    group = context.group
    group.run_until(
        lambda: any(sent.host != context.old_leader for sent in group.orders),
        TIME_LIMIT_MS,
    )
    group.run_for(TIME_LIMIT_MS)
    assert has_model(group, model)


@then("the terms of the orders that the engine accepted never decrease")
def check_terms(context):
    terms = [order.term for order in context.engine.accepted_orders]
    assert terms and terms == sorted(terms), terms


@then("every order was committed before it was sent")
def check_all_committed(context):
    assert context.group.orders
    assert not context.group.uncommitted_orders, context.group.uncommitted_orders


@given("the engine takes {load_ms:d} ms to load and its first answer is lost")
def delay_load(context, load_ms):
    context.engine.load_ms = load_ms
    context.engine.answers_to_lose = 1


@when("the configuration asks for m1 and m2")
def configure_m2(context):
    context.group.configure("m2", context.group.rules("m1, m2"))
    context.group.run_for(TIME_LIMIT_MS)


@then("{count:d} orders with one id and growing tokens reach the engine")
def check_same_id(context, count):
    orders = context.engine.accepted_orders
    tokens = [(order.term, order.sequence) for order in orders]
    assert len(orders) == count, orders
    assert len({order.order_id for order in orders}) == 1, orders
    assert tokens == sorted(set(tokens)), tokens


@when(
    "{count:d} engines are to load m2 at {rate:d} loads a minute and {burst:d} at once"
)
def load_all(context, count, rate, burst):
    context.rate, context.burst = rate, burst
    policy = f"weight_loads_per_min = {rate}\nweight_load_burst = {burst}"
    # The bucket of the first leader is full when the configuration changes.
    context.group.configure("m1", context.group.rules("m1", policy))
    context.group.run_for(TIME_LIMIT_MS)
    context.group.configure("m2", context.group.rules("m1, m2", policy))


@when("the leader is killed after {count:d} loads were sent")
def kill_after(context, count):
    group = context.group
    group.run_until(lambda: len(group.orders) >= count, TIME_LIMIT_MS)
    group.kill(group.leader())


@then("all engines have m2 in the end")
def check_all_loaded(context):
    group = context.group
    group.run_until(lambda: has_model(group, "m2"), 2 * TIME_LIMIT_MS)
    assert len({sent.order.term for sent in group.orders}) == 2


@then("no period had more loads than the bucket allows")
def check_bucket(context):
    times_ms = [sent.at_ms for sent in context.group.orders]
    for start, first_ms in enumerate(times_ms):
        for count, last_ms in enumerate(times_ms[start:], start=1):
            # An order is sent a few turns after its token was taken.
            period_ms = last_ms - first_ms + 1000
            allowed = context.burst + context.rate * period_ms / 60_000
            assert count <= allowed, f"{count} loads in {period_ms} ms"


@given("the engine knows a token of term {term:d}")
def set_token(context, term):
    context.engine.token = (term, 1)


@then("one order was refused and logged")
def check_refused_once(context):
    events = [action.event for _, action in context.group.log_actions]
    assert len(context.engine.refused) == 1, context.engine.refused
    assert events == ["order_refused"], events


@then("in {duration_ms:d} ms no more orders of that term are sent")
def check_no_more_orders(context, duration_ms):
    group = context.group
    group.configure("m3", group.rules("m1, m3"))
    group.run_for(duration_ms)
    assert len(group.orders) == 1, group.orders


# Order planner without a group


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


def start_planner(context, event):
    context.planner = OrderPlanner(lease_ms=600)
    context.now_ms = 0
    assert not handle_event(context, LeadershipGained(1)) + handle_event(context, event)


def handle_event(context, event):
    return list(context.planner.handle(event, context.now_ms))


def report(context, models, role=""):
    return handle_event(
        context, EngineReported("engine-1", models, role, context.now_ms)
    )


@given("an order planner that leads with configuration 1 for m1 and m2")
def planner_two_models(context):
    start_planner(context, fleet(1, ("m1", "m2")))


@given("an order planner that leads with configuration 1 for m1 as prefill")
def planner_role(context):
    start_planner(context, fleet(1, ("m1",), "prefill"))


@given("the planner has proposed to load m2")
def propose_load(context):
    context.now_ms = 1000
    (action,) = report(context, ("m1",))
    assert isinstance(action, ProposeOrder), action
    context.order = action.order


@when("configuration 2 for m1 becomes active before the order is committed")
def replace_configuration(context):
    handle_event(context, fleet(2, ("m1",)))
    context.actions = handle_event(context, OrderCommitted(context.order))


@then("the planner sends nothing")
def check_nothing_to_send(context):
    assert not context.actions, context.actions


@then("the next report without m2 causes no order")
def check_no_order(context):
    context.now_ms += 1000
    assert not report(context, ("m1",))


@when("the engine reports m1 and m2 every 1000 ms and executes orders")
def report_and_accept(context):
    models, role, context.issued = ("m1", "m2"), "", []
    for context.now_ms in range(1000, 20_000, 1000):
        for action in report(context, models, role):
            order = action.order
            context.issued.append((context.now_ms, order.kind, order.name))
            role = order.name if order.kind == "set_role" else role
            models = ("m1",) if order.kind == "unload_model" else models
            handle_event(context, OrderCommitted(order))
            handle_event(context, OrderEnded(order, OrderOutcome.ACCEPTED))


@then(
    "the planner orders set_role {role}, and unload_model {model} after {delay_ms:d} ms"
)
def check_two_orders(context, role, model, delay_ms):
    expected = [(1000, "set_role", role), (delay_ms, "unload_model", model)]
    assert context.issued == expected, context.issued


# Replicated order table


@given("a control state with {count:d} logged orders")
def apply_orders(context, count):
    context.state = ControlState()
    context.count = count
    for number in range(count):
        context.state.apply(build_order(number))


def build_order(number):
    kind, upstream = "load_model", f"engine-{number}"
    return OrderIssued(f"id-{number}", upstream, kind, "m2", 1, number, number)


@when("its snapshot is encoded in slices of {size:d} records and restored elsewhere")
def restore_elsewhere(context, size):
    parts = slices(context.state.snapshot(), size)
    data = b"".join([wire.encode(part) for part in parts])
    context.restored = ControlState()
    context.restored.restore(wire.decode(ControlSnapshot, data))


@then("the other state has the same orders")
def check_same_orders(context):
    expected = tuple([build_order(number) for number in range(context.count)])
    assert context.restored.orders.orders == expected, context.restored.orders.orders


@then("the table holds the newest {kept:d} orders")
def check_newest_orders(context, kept):
    first = context.count - kept
    expected = tuple([build_order(number) for number in range(first, context.count)])
    assert context.state.orders.orders == expected


# Order sender


class OneOrderPlanner:
    """Planner that sends one order at the start of a leadership and records its end."""

    def __init__(self, address):
        self.address = address
        self.ended = []

    def handle(self, event, now_ms):
        if isinstance(event, LeadershipGained):
            yield SendOrder(self.address, build_order(1))
        if isinstance(event, OrderEnded):
            self.ended.append(event)


@given("an engine that records the bytes it receives")
def make_counting_engine(context):
    context.received = []


@when("an order is sent and the leader {leads} a quorum once connected")
def send_order(context, leads):
    async def serve(reader, writer):
        context.received.append(await reader.read(1000))
        writer.close()

    async def send():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        context.planner = OneOrderPlanner(f"{host}:{port}")
        sender = OrderSender(
            context.planner, EngineClient(), None, lambda: leads == "has"
        )
        sender.set_leader(1)
        async with asyncio.timeout(10):
            while not (context.planner.ended and context.received):
                await asyncio.sleep(0.01)
        await sender.stop()
        server.close()

    asyncio.run(send())


@then("the engine received {amount} bytes")
def check_received_bytes(context, amount):
    assert any(context.received) == (amount == "some"), context.received


@then("the order in flight has failed")
def check_order_ended(context):
    assert [event.outcome for event in context.planner.ended] == [OrderOutcome.FAILED]


# Real processes


@when("an operator adds {model} to {engine}")
def add_model(context, model, engine):
    deployment = context.deployment
    deployment.policy = "weight_loads_per_min = 600\n"
    data_centre, rule = deployment.upstreams[engine]
    rule = rule.replace("models = m1", f"models = m1, {model}")
    deployment.upstreams[engine] = (data_centre, f"{rule}honours_fencing = true\n")
    reply = deployment.apply(deployment.rules())
    assert reply.status == 200, reply


@then("the run file of {engine} has one accepted order to load {model}")
def check_run_file(context, engine, model):
    def orders():
        lines = context.deployment.runs(engine)
        return [line for line in lines if line.get("kind") == "load_model"]

    wait_until(orders, what="an order")
    (context.order_line,) = orders()
    assert context.order_line["name"] == model, context.order_line
    assert context.order_line["is_accepted"], context.order_line


@then("the state page of the leader shows that order")
def check_state_page(context):
    leader = context.deployment.leader()
    state = context.deployment.admin(leader, "GET", "/state").json()
    ids = [order["order_id"] for order in state["orders"]]
    assert ids == [context.order_line["order_id"]], state["orders"]


@then("{entry} answers a completion with {model}")
def check_completion(context, entry, model):
    wait_until(
        lambda: context.deployment.complete(entry, "x", 1, model=model).status == 200,
        what="an answer",
    )
