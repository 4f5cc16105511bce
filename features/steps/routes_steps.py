"""Steps for routes and for the messages of the users' platform."""

import asyncio
import json
import re
from collections import Counter

from behave import given, then, when

from peridotfront.core.routes import RouteTable
from peridotfront.exceptions import SettingsInvalid, UpstreamError
from peridotfront.http_client import HttpClient
from peridotfront.http_server import HttpServer
from peridotfront.platform.configuration import parse_configuration
from peridotfront.platform.upstream_list import UpstreamListClient

BORN_MS = 1_790_000_000_000
VALID_ENTRY = {
    "Id": "i-1",
    "Service": "s",
    "Addr": "10.0.0.1:80",
    "Zone": "z",
    "Slots": 4,
    "State": "ready",
    "Version": "v1",
}
MALFORMED_ENTRIES = (
    {"Service": "s"},
    {**VALID_ENTRY, "Slots": "4"},
    {**VALID_ENTRY, "Version": None},
    {key: value for key, value in VALID_ENTRY.items() if key != "Version"},
    {**VALID_ENTRY, "State": "sleeping"},
    {**VALID_ENTRY, "Addr": 7},
    "not an entry \ufffd",
)


def route(host="a", prefix="/x/", **fields):
    return {
        "Name": f"{host} {prefix}",
        "Host": host,
        "Prefix": prefix,
        "Kind": "idempotent",
        "TimeoutMs": 1000,
        "Service": "s",
        **fields,
    }


def configuration(routes=None, **fields):
    return {
        "Version": 3,
        "Routes": [route()] if routes is None else routes,
        "Services": [{"Name": "s"}, {"Name": "t"}, {"Name": "u"}],
        "Tenants": [{"Name": "club", "ApiKeys": ["k"]}],
        **fields,
    }


FAULTY_CONFIGURATIONS = {
    "a route to an unknown service": configuration([route(Service="v")]),
    "two routes for one prefix": configuration([route(), route(host="A")]),
    "weights that add up to 0": configuration(
        [route(Backends=[{"Service": "s", "Weight": 0}])]
    ),
    "a time limit of 0": configuration([route(TimeoutMs=0)]),
    "a key that two accounts share": configuration(
        Tenants=[{"Name": n, "ApiKeys": ["k"]} for n in ("one", "other")]
    ),
    "a version as a string": configuration(Version="3"),
    "a prefix without a slash": configuration([route(prefix="/x")]),
    "an unknown field": configuration([route(Tomorrow=1)], Tomorrow={}),
}


@given('a configuration with the routes "{places}"')
def make_table(context, places):
    routes = [route(*place.split()) for place in places.split("; ")]
    routing = parse_configuration(json.dumps(configuration(routes)))
    context.routes = RouteTable(routing)


@when('"{path}" is asked of host "{host}"')
def find_route_of(context, path, host):
    context.found_route = context.routes.find_route(host, path)


@then('the route is "{name}"')
def check_route(context, name):
    found = context.found_route.name if context.found_route else "none"
    assert found == name, found


@given("a route split 3 to 1 to 0")
def make_split(context):
    weights = zip("stu", (3, 1, 0), strict=True)
    backends = [{"Service": s, "Weight": w} for s, w in weights]
    routing = parse_configuration(json.dumps(configuration([route(Backends=backends)])))
    context.route = routing.routes[0]


@when("{count:d} requests use it")
def choose_services(context, count):
    shares = [number / count for number in range(count)]
    context.service_counts = Counter(
        context.route.service_at(share) for share in shares
    )


@then("about {first:d}, {second:d} and {third:d} of them go to the services")
def check_split(context, first, second, third):
    for name, expected in zip("stu", (first, second, third), strict=True):
        assert abs(context.service_counts[name] - expected) <= 2, context.service_counts


@given("accounts of priority 0 and 1 and routes of priority 0 and 2")
def make_priorities(context):
    accounts = [
        {"Name": f"a{priority}", "ApiKeys": [f"k{priority}"], "Priority": priority}
        for priority in (0, 1)
    ]
    routes = [route(prefix=f"/{priority}/", Priority=priority) for priority in (0, 2)]
    content = configuration(routes, Tenants=accounts)
    context.routes = RouteTable(parse_configuration(json.dumps(content)))


@then("the tiers are 1, 2, 3 and 4 in that order")
def check_tiers(context):
    table = context.routes
    tiers = [
        table.effective_tier(priority_route, account, "s")
        for account in table.routing.accounts
        for priority_route in table.routing.routes
    ]
    assert tiers == [1, 2, 3, 4], tiers


@when("the operator sends a configuration with {fault}")
def send_configuration(context, fault):
    if fault == "its last bytes missing":
        text = json.dumps(configuration())[:-9]
    else:
        text = json.dumps(FAULTY_CONFIGURATIONS[fault])
    context.error = None
    try:
        context.routing = parse_configuration(text)
    except SettingsInvalid as error:
        context.error = str(error)


@when("the operator sends a configuration whose {field} is {number}")
def send_number(context, field, number):
    account = {"Name": "club", "ApiKeys": ["k"], "RatePerS": 1}
    routes = [route(GoalMs=1, Priority=1)]
    text = json.dumps(configuration(routes, Tenants=[account]))
    changed = re.sub(f'("{field}"): [0-9]+', rf"\1: {number}", text, count=1)
    assert changed != text
    context.error = None
    try:
        parse_configuration(changed)
    except SettingsInvalid as error:
        context.error = str(error)


@then('it is refused and the reason names "{reason}"')
def check_refused(context, reason):
    assert context.error is not None and reason in context.error, context.error


@then("it is accepted")
def check_accepted(context):
    assert context.error is None, context.error


def entry(number):
    return {**VALID_ENTRY, "Id": f"i-{number}"}


@given("a list of upstreams of which 5 entries are malformed and 2 are valid")
def make_malformed(context):
    entries = [*MALFORMED_ENTRIES, entry(1), entry(2)]
    data = json.dumps({"Instances": entries, "NextToken": None}).encode()
    context.pages = {"": (200, data.replace(b"\\ufffd", b"\xff\xfe"))}


@given("a list of upstreams of which one names the time of its start")
def make_born(context):
    entries = [{**entry(1), "born": BORN_MS}, entry(2)]
    context.pages = {"": (200, json.dumps({"Instances": entries}).encode())}


@then("that upstream has the time of its start as its lifetime")
def check_lifetimes(context):
    lifetimes = [upstream.lifetime for upstream in context.listed]
    assert lifetimes == [BORN_MS, 0], lifetimes


@given("a list of upstreams in 3 pages")
def make_pages(context):
    context.pages = {}
    for number, (token, next_token) in enumerate(
        (("", "p 1"), ("p 1", "p2"), ("p2", ""))
    ):
        entries = [entry(2 * number), entry(2 * number + 1)]
        page = {"Instances": entries, "NextToken": next_token or None}
        context.pages[token] = (200, json.dumps(page).encode())


@given("a list of upstreams whose second page fails")
def make_failing_pages(context):
    page = {"Instances": [entry(1)], "NextToken": "p1"}
    context.pages = {"": (200, json.dumps(page).encode()), "p1": (429, b"")}


@when("the list is read")
def read_list(context):
    async def answer(exchange):
        token = exchange.request.query.removeprefix("PageToken=").replace("%20", " ")
        status, body = context.pages[token]
        await exchange.respond(status, (), body)

    async def read():
        server = HttpServer(answer)
        await server.start("127.0.0.1")
        client = HttpClient()
        try:
            address = f"127.0.0.1:{server.port}"
            return await UpstreamListClient(client, address).read()
        finally:
            await client.close()
            await server.close()

    context.listed = None
    try:
        context.listed = asyncio.run(read())
    except UpstreamError as error:
        context.error = error


@then("it names the 2 valid upstreams")
def check_valid_entries(context):
    assert [upstream.name for upstream in context.listed] == ["i-1", "i-2"], (
        context.listed
    )


@then("it names {count:d} upstreams")
def check_count(context, count):
    assert len(context.listed) == count


@then("the reading fails")
def check_read_failed(context):
    assert context.listed is None and context.error is not None
