"""Steps for the encoding and decoding of messages."""

import typing

from behave import then, when
from hypothesis import given, settings
from hypothesis import strategies as st

from peridotfront import wire
from peridotfront.core.messages import MESSAGE_TYPES, Command, Frame

INT64 = st.integers(min_value=-(2**63), max_value=2**63 - 1)
EXAMPLES_PER_TYPE = 10


def instances(kind):
    for hint, strategy in ((int, INT64),):
        st.register_type_strategy(hint, strategy)
    return st.from_type(kind)


def check(kind, round_trip, failures):
    @settings(max_examples=EXAMPLES_PER_TYPE)
    @given(instances(kind))
    def compare(message):
        # By its text, since a number that is NaN equals nothing, itself included.
        if repr(round_trip(message)) != repr(message):
            failures.append(message)

    compare()


@when("any message of any type is encoded and decoded")
def encode_messages(context):
    context.failures = []

    def round_trip(message):
        frame = Frame(sender="host", incarnation=1, messages=(message,))
        return wire.decode(Frame, wire.encode(frame)).messages[0]

    for kind in MESSAGE_TYPES:
        check(kind, round_trip, context.failures)


@when("any command of the replicated log is encoded and decoded")
def encode_commands(context):
    context.failures = []

    def round_trip(command):
        return wire.decode_command(wire.encode_command(command))

    for kind in typing.get_args(Command):
        check(kind, round_trip, context.failures)


@then("the result equals the original")
def nothing_changed(context):
    assert context.failures == [], context.failures[:3]
