"""Steps for messages and data folders of older builds."""

import asyncio
import contextlib
import dataclasses
import io
import json
import shutil
import tempfile
from asyncio import InvalidStateError
from pathlib import Path

import grpc
from behave import given, then, when
from support import recordings
from support.brittle_world import BrittleWorld
from support.deployment import free_port

from peridotfront import logs, wire
from peridotfront.core.messages import (
    AppendRequest,
    Frame,
    Grant,
    JoinRequest,
    LogEntry,
    NoOp,
    StorageRecord,
)
from peridotfront.core.raft_types import AppendEntries
from peridotfront.core.releases import build_unsent_release
from peridotfront.exceptions import StorageDamaged
from peridotfront.log_settings import LogSection
from peridotfront.proto import peridotfront_pb2, peridotfront_pb2_grpc
from peridotfront.records import frame as frame_record
from peridotfront.records import read_frames
from peridotfront.storage import Storage
from peridotfront.transport import Transport

GAP_MS = 60
ARRIVAL_TIMEOUT_S = 2.0
LAST = 9
# Field 999, without content.
UNKNOWN_FIELD = b"\xba\x3e\x00"
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


def joined(names):
    """Return sorted names as a text, which is "none" without any."""
    return ", ".join(sorted(names)) or "none"


@then("of this build's messages it doesn't know \"{names}\"")
def check_unknown_messages(context, names):
    recorded = recordings.recorded_messages(context.recording)
    present = recordings.example_messages()
    unknown = {(m.group, m.kind) for m in present} - {
        (m.group, m.kind) for m in recorded
    }
    assert joined(kind for _, kind in unknown) == names, unknown


@then("of this build's values it doesn't know \"{names}\"")
def check_unknown_values(context, names):
    recorded = recordings.recorded_messages(context.recording)
    known = set(recordings.enum_values(recorded))
    present = set(recordings.enum_values(recordings.example_messages()))
    kinds = {message for message, _, _ in known}
    unknown = {v for v in present - known if v[0] in kinds}
    assert joined(value for _, _, value in unknown) == names, unknown


@when("a release that names no rejections is decoded as that build does")
def decode_release(context):
    release = build_unsent_release(Grant("r1", "models", "m1", 3000, 0))
    reader = recordings.OlderReader(context.recording)
    context.read = reader.read("Release", wire.encode(release))


@then("it reads {number:d} rejections a second")
def check_rejections(context, number):
    assert context.read["rejections_per_s"] == number, context.read


@given("a host that receives frames")
def receiving_host(context):
    context.port = free_port()


@when("a frame holds a message {newer} between two others")
def send_newer(context, newer):
    stream = io.StringIO()
    logs.configure(LogSection(), "a", stream)
    context.received = asyncio.run(exchange(context.port, NEWER_MESSAGES[newer]()))
    logs.configure(LogSection(), "")
    lines = stream.getvalue().splitlines()
    context.lines = [json.loads(line) for line in lines]


async def exchange(port, newer_message):
    """Return the messages that arrive of a frame and of the one after it."""
    received = []
    done = asyncio.Event()

    def on_frame(frame):
        received.extend(message.incarnation for message in frame.messages)
        if received[-1:] == [LAST]:
            done.set()

    receiver = Transport("a", 1, [], on_frame, allow_unlisted_peers=True)
    await receiver.start(f"127.0.0.1:{port}")
    async with grpc.aio.insecure_channel(f"127.0.0.1:{port}") as channel:
        call = peridotfront_pb2_grpc.PeerStub(channel).Exchange()
        mixed = wire.to_proto(Frame("b", 2, (JoinRequest(1), JoinRequest(2))))
        last = mixed.messages.pop()
        mixed.messages.extend([newer_message, last])
        with contextlib.suppress(grpc.RpcError, TimeoutError, InvalidStateError):
            await call.write(mixed)
            await call.write(wire.to_proto(Frame("b", 2, (JoinRequest(LAST),))))
            await asyncio.wait_for(done.wait(), ARRIVAL_TIMEOUT_S)
        call.cancel()
    await receiver.stop()
    return received


def unknown_kind():
    return peridotfront_pb2.Message.FromString(UNKNOWN_FIELD)


def unknown_value():
    release = build_unsent_release(Grant("r1", "models", "m1", 3000, 0))
    message = wire.to_proto(Frame("b", 2, (release,))).messages[0]
    message.release.cause = "cause of a newer build"
    return message


def unknown_command():
    entries = (LogEntry(1, 1, NoOp()),)
    request = AppendRequest(1, 1, 0, 0, entries, 0, 1)
    message = wire.to_proto(Frame("b", 2, (request,))).messages[0]
    message.append_request.entries[0].command.ParseFromString(UNKNOWN_FIELD)
    return message


NEWER_MESSAGES = {
    "of an unknown kind": unknown_kind,
    "with an unknown value": unknown_value,
    "with a command of unknown kind": unknown_command,
}


@then("both other messages arrive, and those of the next frame")
def others_arrive(context):
    assert context.received == [1, 2, LAST], context.received


@then("the log tells once that the peer's message was left out")
def log_tells(context):
    lines = [line for line in context.lines if line["name"] == "frame_invalid"]
    assert [line["peer"] for line in lines] == ["b"], context.lines


@when("a newer build adds a command of an unknown kind to it")
def add_unknown_command(context):
    path = max(context.folder.glob("segment-*"))
    last = list(read_frames(path.read_bytes()))[-1]
    entry = LogEntry(len(context.content["entries"]), 3, NoOp())
    record = wire.to_proto(StorageRecord(entry=entry))
    record.entry.command.ParseFromString(UNKNOWN_FIELD)
    body = record.SerializeToString()
    with path.open("ab") as segment:
        segment.write(frame_record(body, last.batch + 1, True))
    context.damaged_file = str(path)


@then("it can't be opened, and the error names the file and the command")
def not_opened(context):
    try:
        Storage.open(context.folder).close()
    except StorageDamaged as error:
        assert error.file == context.damaged_file, error
        assert "Command" in error.detail, error
        return
    raise AssertionError("the folder was opened")


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
