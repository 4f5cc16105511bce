"""Steps for messages and data folders of older builds."""

import dataclasses
import shutil
import tempfile
from pathlib import Path

from behave import given, then, when
from support import recordings
from support.brittle_world import BrittleWorld

from peridotfront import wire
from peridotfront.core.messages import Grant, LogEntry, NoOp
from peridotfront.core.raft_types import AppendEntries
from peridotfront.core.releases import build_unsent_release
from peridotfront.storage import Storage

GAP_MS = 60
RECORDED = Path(__file__).resolve().parent.parent / "recorded"


@given("the recording of the build {build}")
def recorded_build(context, build):
    context.recording = RECORDED / build


@when("all its messages are decoded")
def decode_all(context):
    context.messages = list(recordings.recorded_messages(context.recording))
    assert len(context.messages) > 100, len(context.messages)


@then("each field has the value that was sent")
def same_values(context):
    faults = [f for m in context.messages for f in recordings.misread_values(m)]
    assert faults == [], faults[:5]


@then("each field that it doesn't know has its default")
def defaults(context):
    faults = [f for m in context.messages for f in recordings.misread_gaps(m)]
    assert faults == [], faults[:5]


@when("its data folder is opened")
def open_folder(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.folder = Path(folder.name) / "data"
    shutil.copytree(context.recording / recordings.DATA_FOLDER, context.folder)
    context.content = recordings.read_data_folder(context.folder)


@then("configuration, term, vote, members and log are those that it wrote")
def same_content(context):
    expected = recordings.recorded_content(context.recording)
    assert expected["configuration"] and expected["hard_state"]["voted_for"]
    faults = list(recordings.differences(expected, context.content))
    assert faults == [], faults


@then("the data folder accepts and preserves new entries")
def continue_folder(context):
    storage = Storage.open(context.folder)
    last = storage.state.entries[-1]
    entry = LogEntry(last.index + 1, last.term, NoOp())
    storage.apply_changes([AppendEntries((entry,))])
    storage.close()
    content = recordings.read_data_folder(context.folder)
    assert content["entries"].pop() == recordings.values_of(entry)
    assert content == context.content


@then("no field number has another name or type than in that build")
def same_numbers(context):
    present = recordings.present_fields()
    recorded = recordings.recorded_fields(context.recording)
    changed = {
        place: (recorded[place], present[place])
        for place in recorded.keys() & present.keys()
        if recorded[place] != present[place]
    }
    assert changed == {}, changed


@then("this build has all messages and fields of that build")
def no_field_gone(context):
    recorded = recordings.recorded_fields(context.recording)
    assert len(recorded) > 100, len(recorded)
    gone = recorded.keys() - recordings.present_fields().keys()
    assert gone == set(), gone


@when("examples of all messages are decoded as that build does")
def decode_as_older(context):
    reader = recordings.OlderReader(context.recording)
    messages = list(recordings.example_messages())
    assert len(messages) > 100, len(messages)
    context.faults = [f for m in messages for f in reader.misread_values(m)]


@then("each field that it knows has the value that was sent")
def read_alike(context):
    assert context.faults == [], context.faults[:5]


@when("a release that names no rejections is decoded as that build does")
def decode_release(context):
    release = build_unsent_release(Grant("r1", "models", "m1", 3000, 0))
    reader = recordings.OlderReader(context.recording)
    context.read = reader.read("Release", wire.encode(release))


@then("it reads {number:d} rejections a second")
def check_rejections(context, number):
    assert context.read["rejections_per_s"] == number, context.read


def report_as_older(context, world):
    """Let every second release be read as one of the recorded build."""
    number = next(
        recordings.decode(message.group, message.data).rejections_per_s
        for message in recordings.recorded_messages(context.recording)
        if message.kind == "Release"
    )

    def read_release(release):
        return dataclasses.replace(release, rejections_per_s=number)

    world.told_by_older = read_release


@when("every second end of a request is reported by a host of that build")
def older_reports(context):
    report_as_older(context, context.world)


def count_served_after_rejections(world, duration_ms):
    world.run(3000, GAP_MS)
    world.room = 0
    world.run(duration_ms, GAP_MS)
    world.room = None
    world.reset()
    world.run(5000, GAP_MS)
    return world.served.total()


@when("upstreams without room reject requests for {duration:d} ms and have room again")
def reject_for_a_time(context, duration):
    context.duration = duration
    world = BrittleWorld(6, 4)
    context.served_alone = count_served_after_rejections(world, duration)


@when("the same happens while that build reports every second end of a request")
def reject_beside_older(context):
    world = BrittleWorld(6, 4)
    report_as_older(context, world)
    context.served = count_served_after_rejections(world, context.duration)


@then("as many requests are served as without these reports")
def as_many_served(context):
    counts = (context.served, context.served_alone)
    assert context.served == context.served_alone > 0, counts
