"""Steps for callers that keep to no limits."""

import asyncio

from behave import given, then, when
from support.uncontrolled_callers import CROWDS, UncontrolledCallers

# A process takes about 62 MB by itself, and the smallest machine has 200 MB.
MEMORY_KB = 104 * 1024
# Descriptors of the process itself and of its links, beside its limited connections.
OWN_DESCRIPTORS = 64
MAX_CONNECTIONS = 200


@given('programs with lowered limits before uncontrolled callers "{crowd}"')
def name_crowd(context, crowd):
    context.programs = UncontrolledCallers(crowd=CROWDS[crowd])


@when("these callers have sent their bytes, or can send no more")
def send(context):
    programs = context.programs
    asyncio.run(programs.play(0))
    print(
        f"memory {programs.start_kb} kB at the start, {programs.peak_kb} kB at most;"
        f" descriptors {programs.peak_descriptors}; sent {programs.sent_bytes} B;"
        f" connections {programs.opened}, ended {programs.ended}"
    )


@then("the host still runs, and one ordinary request is answered")
def answered(context):
    assert context.programs.is_alive, "the process has ended"
    assert context.programs.status == 200, context.programs.status


@then("its memory and its open descriptors stayed within their bounds")
def bounded(context):
    programs = context.programs
    assert 0 < programs.peak_kb <= MEMORY_KB, programs.peak_kb
    limit = MAX_CONNECTIONS + OWN_DESCRIPTORS
    assert programs.peak_descriptors <= limit, programs.peak_descriptors
