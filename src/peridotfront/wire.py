"""Conversion between the core's data classes and their protobuf messages.

The converters are derived from the type hints of each data class and cached.
"""

import types
import typing
from collections.abc import Callable
from dataclasses import Field, fields, is_dataclass
from enum import Enum
from functools import cache
from typing import Any

from .core import messages
from .core.messages import proto_name_of
from .exceptions import MessageUnknown, MessageUnwritable
from .proto import peridotfront_pb2

ONEOF_TYPES = {"Message": messages.Message, "Command": messages.Command}


def encode(message: Any) -> bytes:
    """Encode a data class into bytes.

    :param message: an instance of a class in ``core.messages``.
    :return: the protobuf encoding.
    :rtype: bytes

    Usage::

        data = encode(Frame(sender="a", incarnation=1, messages=()))
    """
    return to_proto(message).SerializeToString()


def decode(kind: type, data: bytes) -> Any:
    """Decode bytes into a data class.

    :param kind: the data class to build.
    :param data: bytes made by :func:`encode`.
    :return: an instance of ``kind``.
    :raises google.protobuf.message.DecodeError: if the bytes are damaged.
    :raises MessageUnknown: if a newer build made them and they need it.
    """
    proto = getattr(peridotfront_pb2, proto_name_of(kind))()
    proto.ParseFromString(data)
    return from_proto(kind, proto)


def encode_command(command: Any) -> bytes:
    """Encode one command of the replicated log into bytes."""
    proto = peridotfront_pb2.Command()
    _oneof_writer("Command")(proto, command)
    return proto.SerializeToString()


def decode_command(data: bytes) -> Any:
    """Decode one command of the replicated log from bytes."""
    proto = peridotfront_pb2.Command()
    proto.ParseFromString(data)
    return _oneof_reader("Command")(proto)


def read_frame(proto: Any) -> tuple[messages.Frame, tuple[MessageUnknown, ...]]:
    """Convert a protobuf frame, without the messages that only a newer build knows.

    :return: the frame, and an error for each message that was left out.
    """
    read = _oneof_reader("Message")
    known: list[messages.Message] = []
    errors: list[MessageUnknown] = []
    for item in proto.messages:
        try:
            known.append(read(item))
        except MessageUnknown as error:
            errors.append(error)
    frame = messages.Frame(proto.sender, proto.incarnation, tuple(known))
    return frame, tuple(errors)


def write_frame(frame: messages.Frame) -> tuple[Any, tuple[MessageUnwritable, ...]]:
    """Convert a frame to protobuf, without the messages that can't be encoded.

    :return: the protobuf frame, and an error for each message that was left out.
    """
    write = _oneof_writer("Message")
    proto = peridotfront_pb2.Frame(sender=frame.sender, incarnation=frame.incarnation)
    errors: list[MessageUnwritable] = []
    for message in frame.messages:
        try:
            write(proto.messages.add(), message)
        except (TypeError, ValueError) as error:
            del proto.messages[-1]
            detail = f"{type(message).__name__}: {error}"
            errors.append(MessageUnwritable(detail))
    return proto, tuple(errors)


def to_proto(message: Any) -> Any:
    """Convert a data class instance to its protobuf message."""
    proto = getattr(peridotfront_pb2, proto_name_of(type(message)))()
    _writer(type(message))(proto, message)
    return proto


def from_proto(kind: type, proto: Any) -> Any:
    """Convert a protobuf message to an instance of a data class."""
    return _reader(kind)(proto)


def proto_field_name(field: Field) -> str:
    """Return the name of a data class field in its protobuf message."""
    return field.metadata.get("proto_name", field.name)


def oneof_field_name(kind: type) -> str:
    """Return the name of a class as a field of a oneof, in snake case."""
    letters = [f"_{c.lower()}" if c.isupper() else c for c in proto_name_of(kind)]
    return "".join(letters).lstrip("_")


def oneof_name(hint: Any) -> str | None:
    """Return the name of the oneof that a type hint stands for, or None."""
    for name, union in ONEOF_TYPES.items():
        if hint == union:
            return name
    return None


def optional_type(hint: Any) -> Any | None:
    """Return the type inside an optional hint, or None if the hint is not optional."""
    if typing.get_origin(hint) not in (typing.Union, types.UnionType):
        return None
    inner = [a for a in typing.get_args(hint) if a is not type(None)]
    return inner[0] if len(inner) == 1 else None


def element_type(hint: Any) -> Any | None:
    """Return the element type of a ``tuple[X, ...]`` hint, or None for another."""
    if typing.get_origin(hint) is tuple:
        return typing.get_args(hint)[0]
    return None


Writer = Callable[[Any, Any], None]
Reader = Callable[[Any], Any]


@cache
def _writer(kind: type) -> Writer:
    hints = typing.get_type_hints(kind)
    writers = [
        _field_writer(f.name, proto_field_name(f), hints[f.name]) for f in fields(kind)
    ]

    def write(proto: Any, value: Any) -> None:
        for write_field in writers:
            write_field(proto, value)

    return write


def _field_writer(name: str, proto_name: str, hint: Any) -> Writer:
    if (element := element_type(hint)) is not None:
        return _repeated_writer(name, proto_name, element)
    inner = optional_type(hint)
    if inner is not None:
        return _optional_writer(name, proto_name, inner)
    if oneof_name(hint) or is_dataclass(hint):
        write_into = _value_writer(hint)

        def write_message(proto: Any, value: Any) -> None:
            child = getattr(proto, proto_name)
            child.SetInParent()
            write_into(child, getattr(value, name))

        return write_message

    def write_scalar(proto: Any, value: Any) -> None:
        setattr(proto, proto_name, getattr(value, name))

    return write_scalar


def _value_writer(hint: Any) -> Writer:
    name = oneof_name(hint)
    return _oneof_writer(name) if name else _writer(hint)


def _repeated_writer(name: str, proto_name: str, element: Any) -> Writer:
    if not (oneof_name(element) or is_dataclass(element)):
        return lambda proto, value: getattr(proto, proto_name).extend(
            getattr(value, name)
        )
    write_into = _value_writer(element)

    def write(proto: Any, value: Any) -> None:
        items = getattr(proto, proto_name)
        for item in getattr(value, name):
            write_into(items.add(), item)

    return write


def _optional_writer(name: str, proto_name: str, inner: Any) -> Writer:
    write_present = _field_writer(name, proto_name, inner)

    def write(proto: Any, value: Any) -> None:
        if getattr(value, name) is not None:
            write_present(proto, value)

    return write


@cache
def _oneof_writer(name: str) -> Writer:
    names = {
        kind: oneof_field_name(kind) for kind in typing.get_args(ONEOF_TYPES[name])
    }

    def write(proto: Any, value: Any) -> None:
        child = getattr(proto, names[type(value)])
        child.SetInParent()
        _writer(type(value))(child, value)

    return write


@cache
def _oneof_reader(name: str) -> Reader:
    kinds = {
        oneof_field_name(kind): kind for kind in typing.get_args(ONEOF_TYPES[name])
    }

    def read(proto: Any) -> Any:
        chosen = proto.WhichOneof("kind")
        if chosen is None:
            raise MessageUnknown(f"a {name} of a kind that this build doesn't know")
        return _reader(kinds[chosen])(getattr(proto, chosen))

    return read


@cache
def _reader(kind: type) -> Reader:
    hints = typing.get_type_hints(kind)
    readers = [_field_reader(proto_field_name(f), hints[f.name]) for f in fields(kind)]

    def read(proto: Any) -> Any:
        return kind(*[read_field(proto) for read_field in readers])

    return read


def _field_reader(name: str, hint: Any) -> Reader:
    if (element := element_type(hint)) is not None:
        read_item = _value_reader(element)
        return lambda proto: tuple([read_item(i) for i in getattr(proto, name)])
    if (inner := optional_type(hint)) is not None:
        read_value = _value_reader(inner)
        return lambda proto: (
            read_value(getattr(proto, name)) if proto.HasField(name) else None
        )
    read_value = _value_reader(hint)
    return lambda proto: read_value(getattr(proto, name))


def _value_reader(hint: Any) -> Reader:
    name = oneof_name(hint)
    if name:
        return _oneof_reader(name)
    if is_dataclass(hint):
        return _reader(hint)
    if isinstance(hint, type) and issubclass(hint, Enum):
        return _enum_reader(hint)
    return lambda value: value


def _enum_reader(kind: type[Enum]) -> Reader:
    def read(value: str) -> Enum:
        try:
            return kind(value)
        except ValueError as error:
            raise MessageUnknown(str(error)) from error

    return read
