"""Steps for the validation of the replicated configuration."""

import dataclasses

from behave import then, when
from hypothesis import given as for_any
from hypothesis import settings
from hypothesis import strategies as st

from peridotfront.core.fleet import Policy
from peridotfront.exceptions import SettingsInvalid
from peridotfront.fleet_config import PolicySection, parse_fleet

VERSION = 7
KEY_DIGEST = "0" * 64
VALID_CONFIGURATION = f"""[upstream engine-1]
kind = engine
data_centre = cardiff
address = 127.0.0.1:9001
models = small, large

[upstream payout-1]
kind = service
data_centre = cardiff
address = [::1]:9002
service = payout

[service payout]

[client_account counter]
key_sha256 = {KEY_DIGEST}
highest_tier = 1
"""
INVALID_CONFIGURATION = (
    VALID_CONFIGURATION.replace("127.0.0.1:9001", "engine-1:80\ncolour = blue")
    .replace("service = payout", "service = payouts")
    .replace("[service payout]", "[service transfer]")
)
CONFIGURATION_TEXT = st.lists(
    st.sampled_from(
        ["[policy]", "[upstream a]", "[service s]", "kind = engine", "tier = 9", "["]
    )
    | st.text(max_size=30),
    max_size=12,
).map("\n".join)


@when("a configuration with an engine, a service and an account is checked")
def parse_valid(context):
    context.fleet = parse_fleet(VALID_CONFIGURATION, VERSION)


@then(
    "the fleet has {upstreams:d} upstreams, {accounts:d} account and"
    " {services:d} service at version {version:d}"
)
def check_fleet(context, upstreams, accounts, services, version):
    fleet = context.fleet
    counts = (len(fleet.upstreams), len(fleet.accounts), len(fleet.services))
    assert counts == (upstreams, accounts, services), fleet
    assert fleet.version == version
    assert fleet.upstreams[0].models == ("small", "large")


@when(
    "a configuration with an invalid address, an unknown key and an unknown service"
    " is checked"
)
def parse_invalid(context):
    try:
        parse_fleet(INVALID_CONFIGURATION)
    except SettingsInvalid as error:
        context.configuration_faults = [str(fault) for fault in error.faults]


@then('the configuration fault "{start}" is named')
def check_fault_named(context, start):
    found = [f for f in context.configuration_faults if f.startswith(start)]
    assert len(found) == 1, context.configuration_faults


@when("the parameters of the policy are compared with the core's")
def read_policies(context):
    context.core_policy = dataclasses.asdict(Policy())
    context.policy = PolicySection().model_dump()


@then("they have the same names and defaults")
def check_same_parameters(context):
    assert context.policy == context.core_policy


@when("any text is checked as a configuration")
def parse_any_text(context):
    context.unexpected_texts = []

    @settings(max_examples=200)
    @for_any(CONFIGURATION_TEXT)
    def check(text):
        try:
            fleet = parse_fleet(text)
        except SettingsInvalid as error:
            if not error.faults:
                context.unexpected_texts.append(text)
        else:
            if fleet.version != 0:
                context.unexpected_texts.append(text)

    check()


@then("each text gave a fleet or a list of faults")
def check_no_unexpected(context):
    assert context.unexpected_texts == [], context.unexpected_texts
