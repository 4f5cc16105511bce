"""Steps for entries of another writer in the platform's list of upstreams."""

import asyncio
import io
import json
import socket
from dataclasses import replace

import hypothesis
from behave import given, then, when
from hypothesis import settings, strategies
from support.deployment import free_port
from support.routed_group import listed
from support.routed_upstreams import routing
from support.scripted_upstreams import Upstream

from peridotfront import logs, wire
from peridotfront.addresses import Peer
from peridotfront.core.messages import JoinRequest, ListedUpstream, UpstreamsUpdate
from peridotfront.core.routes import RouteTable
from peridotfront.http_client import HttpClient
from peridotfront.log_settings import LogSection
from peridotfront.platform.upstream_list import decode_page
from peridotfront.transport import Transport

ARRIVAL_TIMEOUT_S = 3.0
EXAMPLES = 300
GRANT_LIMIT_MS = 50
SOUND_ENTRY = {
    "Service": "ledger",
    "Addr": "10.0.0.1:8080",
    "Zone": "zone-a",
    "Version": "v1",
    "Slots": 4,
    "State": "ready",
    "ColdLeftMs": 0,
}
HALF_CHARACTER = "x\ud83d"
FOREIGN_FIELDS = {
    "half a character as zone": {"Zone": HALF_CHARACTER},
    "half a character as service": {"Service": HALF_CHARACTER},
    "half a character as version": {"Version": HALF_CHARACTER},
    "half a character as id": {"Id": HALF_CHARACTER},
    "a control character as version": {"Version": "v1\n"},
    "a zone of 10000 characters": {"Zone": "z" * 10_000},
    "slots beyond 63 bits": {"Slots": 2**64 - 1},
    "more slots than ports": {"Slots": 65_536},
    "an id that is no UTF-8": {"Id": "i-NO_UTF8"},
    "an id beyond ASCII": {"Id": "i-Σ"},
    "an id with a line break": {"Id": "i-3\n"},
    "an id that ends with a space": {"Id": "i-3 "},
    "an address with a number too large": {"Addr": "10.0.0.256:80"},
    "an address without a port": {"Addr": "10.0.0.1:"},
    "an address with the port 0": {"Addr": "10.0.0.1:0"},
    "an address with a port too large": {"Addr": "10.0.0.1:65536"},
    "an address of 5000 digits": {"Addr": f"10.0.0.1:{'8' * 5000}"},
    "the address of any host": {"Addr": "0.0.0.0:80"},
    "the address of all hosts": {"Addr": "255.255.255.255:80"},
}
NAMED_ENTRIES = [{**SOUND_ENTRY, "Id": "i-1"}, {**SOUND_ENTRY, "Id": "i-2"}]


def list_page(*entries):
    return json.dumps({"Instances": entries, "NextToken": None}).encode()


# Links between hosts.


@given("a link between two hosts")
def prepare_link(context):
    context.sent = []
    context.errors = []


@when("an upstream whose data centre is half a character is sent over the link")
def send_unwritable(context):
    upstream = ListedUpstream("i-1", "ledger", "10.0.0.1:80", HALF_CHARACTER, 4, False)
    context.sent.append(UpstreamsUpdate(1, 0, (upstream,)))


@when("the link meets an error that it does not expect")
def add_unexpected_error(context):
    context.errors.append(RuntimeError("an error of a test"))


@when("a join request is sent over the link")
def send_join_request(context):
    context.sent.append(JoinRequest(7))
    stream = io.StringIO()
    logs.configure(LogSection(), "b", stream)
    try:
        context.arrived = asyncio.run(exchange(context))
    finally:
        logs.configure(LogSection(level="error"), "")
    lines = [json.loads(line) for line in stream.getvalue().splitlines()]
    context.logged_names = [line["name"] for line in lines]


async def exchange(context):
    """Send the messages one after the other, and return what has arrived."""
    arrived = []
    has_arrived = asyncio.Event()

    def on_frame(frame):
        arrived.extend(frame.messages)
        has_arrived.set()

    port = free_port()
    receiver = Transport("a", 1, [Peer("b", "", "", "127.0.0.1:9")], on_frame)
    sender = Transport("b", 2, [Peer("a", "", "", f"127.0.0.1:{port}")], print)
    await receiver.start(f"127.0.0.1:{port}")
    await sender.start("127.0.0.1:0")
    raise_once(sender.links["a"], context.errors)
    for message in context.sent:
        sender.send("a", message)
        await asyncio.sleep(0)
    try:
        await resend_until(has_arrived, sender, context.sent[-1])
    finally:
        await sender.stop()
        await receiver.stop()
    return arrived


def raise_once(link, errors):
    """Let the link's next frames end by the errors."""
    next_frame = link._next_frame

    def fail():
        if errors:
            raise errors.pop()
        return next_frame()

    link._next_frame = fail


async def resend_until(has_arrived, sender, message):
    """Send a message repeatedly, like a role that gets no reply."""
    async with asyncio.timeout(ARRIVAL_TIMEOUT_S):
        while not has_arrived.is_set():
            sender.send("a", message)
            await asyncio.sleep(0.1)


@then("only the join request arrives")
def check_arrived(context):
    assert set(context.arrived) == {JoinRequest(7)}, context.arrived


@then("the log names the message that was left out")
def check_logged(context):
    assert "message_unwritable" in context.logged_names, context.logged_names


# Entries of the list.


@given("a list of upstreams with 2 sound entries and one with {entry}")
def prepare_foreign_entry(context, entry):
    foreign = {**SOUND_ENTRY, "Id": "i-foreign", **FOREIGN_FIELDS[entry]}
    page = list_page(NAMED_ENTRIES[0], foreign, NAMED_ENTRIES[1])
    context.pages = {"": (200, page.replace(b"NO_UTF8", b"\xff\xfe\x80"))}


@given('a gateway with the account "{account}" before an upstream that answers')
def make_front_for_account(context, account):
    config = routing()
    accounts = (replace(config.accounts[0], name=account),)
    context.routes = RouteTable(replace(config, accounts=accounts))
    context.upstreams = [Upstream("u1", ["answer"])]


TEXTS = strategies.text(
    strategies.characters(exclude_categories=()), max_size=300
) | strategies.sampled_from(["", "ready", "i-3", "\ud83d", "é", "Σ", "a b", "\x7f"])
NUMBERS = strategies.integers() | strategies.sampled_from(
    [2**31, 2**63, 2**64 - 1, 10**400, -1]
)
VALUES = strategies.recursive(
    TEXTS
    | NUMBERS
    | strategies.none()
    | strategies.booleans()
    | strategies.floats()
    | strategies.sampled_from(["10.0.0.1:80", "0.0.0.0:0", "999.1.1.1:80"]),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(TEXTS, inner, max_size=3)
    ),
    max_leaves=5,
)
TEXT_FIELDS = dict.fromkeys(
    ("Id", "Service", "Addr", "Zone", "Version", "State"), TEXTS | VALUES
)
ENTRIES = VALUES | strategies.fixed_dictionaries(
    {}, optional={**TEXT_FIELDS, "Slots": NUMBERS | VALUES}
).map(lambda fields: {**SOUND_ENTRY, "Id": "i-foreign", **fields})


FOREIGN_BYTES = {
    "a control character": b'{"Zone":"z\x01"}',
    "a half character in an unknown field": b'{"Id":"i-3","Phase":"\\ud83d"}',
    "no UTF-8 in an unknown field": b'{"Id":"i-3","Phase":"\xff\xfe"}',
    "a number of 5000 digits": b'{"Slots":' + b"9" * 5000 + b"}",
    "5000 nested arrays": b"[" * 5000 + b"]" * 5000,
    "5000 nested objects with lists": b'{"a":[0,' * 5000 + b"0" + b"]}" * 5000,
    "no value": b"",
    "a word": b"server",
    "two values": b'{"Id":"i-3"} {"Id":"i-4"}',
    "a string without an end": b'{"Id":"i-3","Zone":"zone}',
    "a bracket without an end": b'{"Id":"i-3","Models":[',
    "two brackets without a begin": b'{"Id":"i-3"}]}',
    "a text of 2 MB": b'{"Id":"' + b"i" * 2_000_000 + b'"}',
}


def join_page(*entries, token=b"null"):
    """Return a page with the bytes of entries, however they read."""
    return b'{"Instances":[' + b",".join(entries) + b'],"NextToken":' + token + b"}"


def sound_bytes():
    return [json.dumps(entry).encode() for entry in NAMED_ENTRIES]


@given("a list of upstreams with the bytes of {entry} between 2 sound entries")
def prepare_foreign_bytes(context, entry):
    first, second = sound_bytes()
    context.pages = {"": (200, join_page(first, FOREIGN_BYTES[entry], second))}


@given("a list of upstreams in 2 pages, the first with an entry that is no JSON")
def prepare_two_pages(context):
    first, second = sound_bytes()
    pages = [join_page(first, b'{"Id":"\x01"}', token=b'"p2"'), join_page(second)]
    context.pages = {"": (200, pages[0]), "p2": (200, pages[1])}


@given("a list of upstreams with 2 sound entries that ends {end}")
def prepare_cut_page(context, end):
    page = join_page(*sound_bytes())
    cut_bytes = {"within an entry": page.index(b"]") - 9, "before its token": -19}
    context.pages = {"": (200, page[: cut_bytes[end]])}


RAW_PIECES = [*[bytes([byte]) for byte in b'{}[]"\\,:\x01\xff'], b'"Id"']
RAW_ENTRIES = strategies.binary(max_size=30) | strategies.lists(
    strategies.sampled_from(RAW_PIECES), max_size=12
).map(b"".join)


@when("lists with random entries and bytes between 2 sound ones are read")
def read_random_lists(context):
    context.named = []

    @settings(max_examples=EXAMPLES, deadline=None, database=None, derandomize=True)
    @hypothesis.given(entry=ENTRIES)
    def read_page(entry):
        page = list_page(NAMED_ENTRIES[0], entry, NAMED_ENTRIES[1])
        context.named.append(decode_page(page, "list").upstreams)

    @settings(max_examples=EXAMPLES, deadline=None, database=None, derandomize=True)
    @hypothesis.given(entry=RAW_ENTRIES)
    def read_raw_page(entry):
        first, second = sound_bytes()
        page = join_page(first, entry, second)
        context.named.append(decode_page(page, "list").upstreams)

    logs.configure(LogSection(level="error"), "")
    read_page()
    read_raw_page()


@then("each named both sound upstreams")
def check_sound_named(context):
    for upstreams in context.named:
        names = [upstream.name for upstream in upstreams]
        assert {"i-1", "i-2"} <= set(names), names


@then("each upstream that they named can be sent in a message")
def check_writable(context):
    for upstreams in context.named:
        wire.encode(UpstreamsUpdate(1, 0, upstreams))


@then("a request can be written for each upstream that they named")
def check_sendable(context):
    client = HttpClient()
    for upstreams in context.named:
        for upstream in upstreams:
            fields = [("x-expect-instance", upstream.name)]
            client._build_request(upstream.address, "GET", "/", fields, b"")
            host, _, port = upstream.address.partition(":")
            assert socket.inet_aton(host) and 0 < int(port) < 65_536, upstream


@when('the list has {entry} for "{name}" too')
def add_entry(context, entry, name):
    (sound,) = context.group.listed
    foreign = {
        "a service without manifest": {"service": "legacy"},
        "another configured service": {"service": "ledger"},
        "another address": {"address": "10.9.9.9:80"},
        "a ready entry": {"is_leaving": False},
    }[entry]
    context.group.list_upstreams(sound, replace(sound, **foreign))


@then('"{request_id}" gets a slot at the address of "{name}"')
def gets_slot_at(context, request_id, name):
    granted = context.group.hosts["e1"].granted
    context.group.run_until(lambda: request_id in granted, GRANT_LIMIT_MS)
    assert granted[request_id].grant.address == listed(name).address


@given("a list of upstreams with two entries of one name")
def make_doubled(context):
    sound = {**SOUND_ENTRY, "Id": "i-1"}
    entries = [sound, {**sound, "Service": "legacy"}]
    context.pages = {"": (200, json.dumps({"Instances": entries}).encode())}


@then("it has both entries")
def has_both(context):
    services = [upstream.service for upstream in context.listed]
    assert len(services) == 2 and services[1] == "legacy", services
