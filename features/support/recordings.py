"""Examples of what one build sends and stores, which other builds have to read.

A recording is a folder with these files:

- ``messages.jsonl.gz``: a line for each message, with its bytes and its field values;
- ``descriptor.bin``: the description of all messages, as protobuf encodes it;
- ``data``: the data folder of a control host, and ``data.json``: what it holds.

This module runs with the source of any build, so that each records itself. It refers to
messages by their outer names, which stay when a class is renamed.
"""

import gzip
import json
import shutil
import tempfile
import typing
from base64 import b64decode, b64encode
from dataclasses import MISSING, dataclass, fields, is_dataclass
from enum import Enum
from pathlib import Path

from google.protobuf import descriptor_pool, json_format, message_factory
from google.protobuf.descriptor_pb2 import FileDescriptorProto

from peridotfront import storage as storage_module
from peridotfront import wire
from peridotfront.core import messages
from peridotfront.core.control_state import ControlState
from peridotfront.core.messages import (
    ConfigChange,
    ConfigProposal,
    ControlSnapshot,
    Frame,
    HardState,
    LogEntry,
    MembershipChange,
    NoOp,
    Replica,
    Snapshot,
)
from peridotfront.core.raft_types import (
    AppendEntries,
    InstallSnapshot,
    SaveHardState,
    TruncateLog,
)
from peridotfront.proto import peridotfront_pb2
from peridotfront.storage import Storage

MESSAGES_FILE = "messages.jsonl.gz"
DESCRIPTOR_FILE = "descriptor.bin"
DATA_FOLDER = "data"
DATA_FILE = "data.json"
SEGMENT_SIZE_BYTES = 300
# Fields whose zero value older builds sent by leaving it out, as builds do that don't
# know the field. It is read as None.
UNMARKED_ZEROS = {("Release", "rejections_per_s")}
REPLICAS = (Replica("control-1", 7), Replica("control-2", 8))


@dataclass(frozen=True, slots=True)
class RecordedMessage:
    """Message as another build encoded it.

    :param group: ``Message`` for one between hosts, ``Command`` for one of the log.
    :param kind: outer name of its class.
    :param data: its encoding, in a frame if it is one between hosts.
    :param values: its field values by outer names.
    """

    group: str
    kind: str
    data: bytes
    values: dict


class Examples:
    """Source of example values, each unlike the ones before."""

    def __init__(self):
        self._count = 0

    def full(self, hint):
        """Return a value in which no field has its zero value."""
        if group := wire.oneof_name(hint):
            return self.full(typing.get_args(wire.ONEOF_TYPES[group])[1])
        if (element := wire.element_type(hint)) is not None:
            return (self.full(element), self.full(element))
        if (inner := wire.optional_type(hint)) is not None:
            return self.full(inner)
        if is_dataclass(hint):
            return hint(*[self.full(kind) for kind in field_types(hint).values()])
        self._count += 1
        if issubclass(hint, Enum):
            return list(hint)[self._count % len(hint)]
        if hint is bool:
            return True
        if hint is bytes:
            return b"bytes \xff %d" % self._count
        return hint(self._count)

    def least(self, hint):
        """Return a value in which each field has its zero value or none."""
        if group := wire.oneof_name(hint):
            return self.least(typing.get_args(wire.ONEOF_TYPES[group])[0])
        if wire.element_type(hint) is not None:
            return ()
        if wire.optional_type(hint) is not None:
            return None
        if is_dataclass(hint):
            return hint(*[self.least(kind) for kind in field_types(hint).values()])
        return next(iter(hint)) if issubclass(hint, Enum) else hint()

    def of_message(self, kind):
        """Yield examples of a message, among them one for each value of an enum."""
        yield self.least(kind)
        yield self.full(kind)
        for position, hint in enumerate(field_types(kind).values()):
            if isinstance(hint, type) and issubclass(hint, Enum):
                for value in hint:
                    values = [self.full(h) for h in field_types(kind).values()]
                    values[position] = value
                    yield kind(*values)


def field_types(kind):
    """Return the type hints of the fields of a data class by name, in order."""
    hints = typing.get_type_hints(kind)
    return {field.name: hints[field.name] for field in fields(kind)}


def values_of(value):
    """Return a value as JSON can hold it, with the outer names of all fields."""
    if is_dataclass(value):
        values = {
            wire.proto_field_name(field): values_of(getattr(value, field.name))
            for field in fields(value)
        }
        return {"kind": messages.proto_name_of(type(value)), **values}
    if isinstance(value, tuple):
        return [values_of(item) for item in value]
    if isinstance(value, bytes):
        return {"kind": "bytes", "hex": value.hex()}
    return value.value if isinstance(value, Enum) else value


def encode(group, message):
    """Return the bytes of a message between hosts, or of a command of the log."""
    if group == "Command":
        return wire.encode_command(message)
    return wire.encode(Frame("host-1", 5, (message,)))


def decode(group, data):
    """Return what :func:`encode` has encoded, here or in another build."""
    if group == "Command":
        return wire.decode_command(data)
    frame = wire.decode(Frame, data)
    assert (frame.sender, frame.incarnation) == ("host-1", 5), frame
    return frame.messages[0]


def example_messages():
    """Yield a recorded message for each example of this build."""
    examples = Examples()
    for group, union in wire.ONEOF_TYPES.items():
        for kind in typing.get_args(union):
            for message in examples.of_message(kind):
                yield RecordedMessage(
                    group,
                    messages.proto_name_of(kind),
                    encode(group, message),
                    values_of(message),
                )


def build_data_folder(folder):
    """Write a data folder that has segments, a snapshot, a vote and truncated entries.

    :return: what it holds, as :func:`read_data_folder` returns it.
    """
    storage_module.SEGMENT_SIZE_BYTES = SEGMENT_SIZE_BYTES
    storage = Storage.open(folder, is_first_start=True)
    commands = [NoOp(), MembershipChange(REPLICAS[:1], REPLICAS[1:])]
    commands += [config_change(version) for version in range(1, 9)]
    examples = Examples()
    kinds = typing.get_args(messages.Command)
    commands += [examples.full(kind) for kind in kinds]
    entries = tuple([LogEntry(i, 2, c) for i, c in enumerate(commands, start=1)])
    for term, voted_for in ((1, REPLICAS[1]), (2, None)):
        hard_state = HardState(term, voted_for, True)
        storage.apply_changes([SaveHardState(hard_state)])
    for entry in entries:
        storage.apply_changes([AppendEntries((entry,))])
    state = ControlState()
    for entry in entries[2:6]:
        state.apply(entry.command)
    data = wire.encode(state.snapshot())
    snapshot = Snapshot(6, 2, REPLICAS[:1], REPLICAS[1:], data)
    storage.apply_changes([InstallSnapshot(snapshot, entries[6:])])
    replaced = LogEntry(len(entries), 3, config_change(9))
    later = tuple([LogEntry(replaced.index + n, 3, NoOp()) for n in range(1, 6)])
    storage.apply_changes([TruncateLog(replaced.index), AppendEntries((replaced,))])
    storage.apply_changes([SaveHardState(HardState(3, REPLICAS[0], True))])
    for entry in later:
        storage.apply_changes([AppendEntries((entry,))])
    storage.close()
    return read_data_folder(folder)


def config_change(version):
    """Return the command that sets a version of the configuration."""
    proposal = ConfigProposal(
        f"change-{version}", 0, "operator", f"content {version}", version
    )
    return ConfigChange(version, proposal)


def read_data_folder(folder):
    """Return what a data folder holds, as JSON can hold it."""
    storage = Storage.open(folder)
    storage.close()
    state = storage.state
    control = ControlState()
    control.restore(wire.decode(ControlSnapshot, state.snapshot.data))
    for entry in state.entries:
        if isinstance(entry.command, ConfigChange):
            control.apply(entry.command)
    return {
        "incarnation": storage.incarnation,
        "may_bootstrap": storage.may_bootstrap,
        "hard_state": values_of(state.hard_state),
        "voters": values_of(state.snapshot.voters),
        "learners": values_of(state.snapshot.learners),
        "snapshot": [state.snapshot.last_index, state.snapshot.last_term],
        "entries": values_of(state.entries),
        "configuration": values_of(control.configuration.history),
    }


def write(folder):
    """Record the build at hand in a folder, which is replaced."""
    folder = Path(folder)
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    lines = [
        json.dumps([m.group, m.kind, b64encode(m.data).decode(), m.values])
        for m in example_messages()
    ]
    data = gzip.compress("\n".join(lines).encode(), mtime=0)
    (folder / MESSAGES_FILE).write_bytes(data)
    descriptor = peridotfront_pb2.DESCRIPTOR.serialized_pb
    (folder / DESCRIPTOR_FILE).write_bytes(descriptor)
    content = build_data_folder(folder / DATA_FOLDER)
    (folder / DATA_FILE).write_text(json.dumps(content, indent=1) + "\n")


def recorded_messages(folder):
    """Yield the messages of a recording."""
    text = gzip.decompress((Path(folder) / MESSAGES_FILE).read_bytes()).decode()
    for line in text.splitlines():
        group, kind, data, values = json.loads(line)
        yield RecordedMessage(group, kind, b64decode(data), values)


def enum_values(recorded_messages):
    """Yield message, field and value of each enumeration in a field of a message."""
    kinds = {
        (group, messages.proto_name_of(kind)): kind
        for group, union in wire.ONEOF_TYPES.items()
        for kind in typing.get_args(union)
    }
    for recorded in recorded_messages:
        kind = kinds[recorded.group, recorded.kind]
        hints = field_types(kind)
        for field in fields(kind):
            hint = hints[field.name]
            name = wire.proto_field_name(field)
            is_enum = isinstance(hint, type) and issubclass(hint, Enum)
            if is_enum and name in recorded.values:
                yield recorded.kind, name, recorded.values[name]


def differences(recorded, present, where=""):
    """Yield where a value that another build recorded is read as another one.

    Fields that only one of both builds knows are left out.
    """
    if isinstance(recorded, dict) and isinstance(present, dict):
        for name in recorded.keys() & present.keys():
            if is_unmarked_zero(recorded, present, name):
                continue
            yield from differences(recorded[name], present[name], f"{where}.{name}")
    elif isinstance(recorded, list) and isinstance(present, list):
        if len(recorded) != len(present):
            yield f"{where}: {len(present)} items instead of {len(recorded)}"
        for position, pair in enumerate(zip(recorded, present, strict=False)):
            yield from differences(*pair, f"{where}[{position}]")
    elif recorded != present:
        yield f"{where}: {present!r} instead of {recorded!r}"


def is_unmarked_zero(recorded, present, name):
    """Return whether a build sent a zero that can't be told from an unknown field."""
    is_unmarked = (recorded.get("kind"), name) in UNMARKED_ZEROS
    return is_unmarked and recorded[name] == 0 and present[name] is None


def faulty_defaults(recorded, message, where=""):
    """Yield fields unknown to the recorded build with neither default nor None.

    :param recorded: field values of the message as the other build recorded them.
    :param message: the message as this build decoded it.
    """
    if isinstance(message, tuple):
        for position, pair in enumerate(zip(recorded, message, strict=False)):
            yield from faulty_defaults(*pair, f"{where}[{position}]")
    if not is_dataclass(message) or recorded is None:
        return
    for field in fields(message):
        name = wire.proto_field_name(field)
        value = getattr(message, field.name)
        if name in recorded:
            yield from faulty_defaults(recorded[name], value, f"{where}.{name}")
        elif value is not None and value != default_of(field):
            yield f"{where}.{name}: {value!r} instead of {default_of(field)!r}"


def default_of(field):
    """Return the default of a field of a data class, or a text if it has none."""
    if field.default is not MISSING:
        return field.default
    if field.default_factory is not MISSING:
        return field.default_factory()
    return "a default"


def misread_values(recorded):
    """Yield the fields of another build's message that are read with other values."""
    where = f"{recorded.group} {recorded.kind}"
    try:
        present = values_of(decode(recorded.group, recorded.data))
    except Exception as error:
        yield f"{where}: {type(error).__name__} {error}: {recorded.values}"
        return
    yield from differences(recorded.values, present, where)


def misread_gaps(recorded):
    """Yield the fields that another build doesn't know and that lack their default."""
    message = decode(recorded.group, recorded.data)
    where = f"{recorded.group} {recorded.kind}"
    yield from faulty_defaults(recorded.values, message, where)


def recorded_content(folder):
    """Return what the data folder of another build holds, as it read it itself."""
    return json.loads((Path(folder) / DATA_FILE).read_text())


def misread_content(folder):
    """Yield what is misread in the data folder of another build."""
    with tempfile.TemporaryDirectory() as copy:
        shutil.copytree(Path(folder) / DATA_FOLDER, copy, dirs_exist_ok=True)
        yield from differences(recorded_content(folder), read_data_folder(copy))


class OlderReader:
    """Reader of messages by the description that another build has recorded."""

    def __init__(self, folder):
        pool = descriptor_pool.DescriptorPool()
        pool.AddSerializedFile((Path(folder) / DESCRIPTOR_FILE).read_bytes())
        self._pool = pool

    def read(self, name, data):
        """Return the field values of an encoded message, also of those left out.

        :param name: outer name of its class, or ``Frame`` or ``Command``.
        """
        descriptor = self._pool.FindMessageTypeByName(f"peridotfront.{name}")
        proto = message_factory.GetMessageClass(descriptor).FromString(data)
        return dict_of(proto)

    def misread_values(self, message):
        """Yield the fields of a message of this build that are read otherwise."""
        name = "Frame" if message.group == "Message" else message.group
        present = getattr(peridotfront_pb2, name).FromString(message.data)
        older = self.read(name, message.data)
        yield from differences(dict_of(present), older, message.kind)


def dict_of(proto):
    """Return the field values of a protobuf message, also of those left out."""
    return json_format.MessageToDict(
        proto,
        preserving_proto_field_name=True,
        always_print_fields_with_no_presence=True,
    )


def recorded_fields(folder):
    """Return name, type and label of each field of a recorded build.

    :return: by message and field number.
    """
    data = (Path(folder) / DESCRIPTOR_FILE).read_bytes()
    return fields_of(FileDescriptorProto.FromString(data))


def present_fields():
    """Return the fields of this build, as :func:`recorded_fields` does."""
    data = peridotfront_pb2.DESCRIPTOR.serialized_pb
    return fields_of(FileDescriptorProto.FromString(data))


def fields_of(file):
    """Return name, type and repetition of all fields by message and number."""
    return {
        (message.name, field.number): (
            field.name,
            field.type,
            field.type_name,
            field.label == field.LABEL_REPEATED,
        )
        for message in file.message_type
        for field in message.field
    }
