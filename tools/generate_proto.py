"""Generates the .proto file from the core's message classes and compiles it.

Fields keep the numbers that they have in the committed .proto file.

Usage::

    python tools/generate_proto.py          # rewrite the generated files
    python tools/generate_proto.py --check  # fail if they are out of date
"""

import re
import sys
import tempfile
import typing
from collections.abc import Iterator
from dataclasses import fields, is_dataclass
from enum import Enum
from pathlib import Path

from grpc_tools import protoc

ROOT = Path(__file__).resolve().parent.parent
PROTO_DIR = ROOT / "src" / "peridotfront" / "proto"
PROTO_FILE = PROTO_DIR / "peridotfront.proto"
GENERATED = ("peridotfront.proto", "peridotfront_pb2.py", "peridotfront_pb2_grpc.py")
SCALARS = {int: "int64", float: "double", str: "string", bytes: "bytes", bool: "bool"}
HEADER = """\
// Made by tools/generate_proto.py from peridotfront.core.messages; do not edit.
syntax = "proto3";

package peridotfront;

// One stream a direction lies between any two hosts that talk to each other.
service Peer {
  rpc Exchange (stream Frame) returns (Received);
  rpc Relay (stream RelayedBytes) returns (stream RelayedBytes);
}

message Received {
}

// Bytes of one connection to an upstream that another host opens. The first message of
// the caller has only its address, and the first one of the host is empty. The last one
// says how many bytes the upstream has taken; 0 is unknown.
message RelayedBytes {
  string address = 1;
  bytes data = 2;
  bool is_end = 3;
  int64 taken_bytes = 4;
}
"""


def committed_numbers() -> dict[tuple[str, str], int]:
    """Return the field numbers of the committed file by message and field."""
    numbers: dict[tuple[str, str], int] = {}
    if not PROTO_FILE.exists():
        return numbers
    current = ""
    for line in PROTO_FILE.read_text().splitlines():
        if match := re.match(r"message (\w+) {", line):
            current = match[1]
        if match := re.search(r"(\w+) = (\d+);", line):
            numbers[current, match[1]] = int(match[2])
    return numbers


def proto_type(hint: object) -> str:
    """Return the protobuf type of a type hint."""
    from peridotfront import wire

    if name := wire.oneof_name(hint):
        return name
    if (element := wire.element_type(hint)) is not None:
        return f"repeated {proto_type(element)}"
    if (inner := wire.optional_type(hint)) is not None:
        prefix = "" if is_dataclass(inner) else "optional "
        return prefix + proto_type(inner)
    if is_dataclass(hint):
        return wire.proto_name_of(hint)
    if issubclass(hint, Enum):
        return "string"
    return SCALARS[hint]


def reachable_classes(kinds: tuple[type, ...]) -> Iterator[type]:
    """Yield the given data classes and all that they refer to, each once."""
    from peridotfront import wire

    seen: set[type] = set()
    pending = list(kinds)
    while pending:
        hint = pending.pop(0)
        if wire.oneof_name(hint):
            pending.extend(typing.get_args(hint))
            continue
        if (element := wire.element_type(hint)) is not None:
            pending.append(element)
            continue
        if (inner := wire.optional_type(hint)) is not None:
            pending.append(inner)
            continue
        if not is_dataclass(hint) or hint in seen:
            continue
        seen.add(hint)
        yield hint
        pending.extend(typing.get_type_hints(hint).values())


def assign_numbers(
    message: str, names: list[str], numbers: dict
) -> list[tuple[str, int]]:
    """Pair field names with their numbers; number new fields after the highest."""
    highest = max([n for (m, _), n in numbers.items() if m == message], default=0)
    pairs = []
    for name in names:
        number = numbers.get((message, name))
        if number is None:
            highest += 1
            number = highest
        pairs.append((name, number))
    return pairs


def render() -> str:
    """Render the .proto file."""
    from peridotfront import wire
    from peridotfront.core.messages import Frame, StorageRecord

    numbers = committed_numbers()
    parts = [HEADER]
    for name, union in wire.ONEOF_TYPES.items():
        kinds = {wire.oneof_field_name(kind): kind for kind in typing.get_args(union)}
        lines = [
            f"    {wire.proto_name_of(kinds[field])} {field} = {number};"
            for field, number in assign_numbers(name, list(kinds), numbers)
        ]
        body = "\n".join(lines)
        parts.append(f"message {name} {{\n  oneof kind {{\n{body}\n  }}\n}}\n")
    for kind in reachable_classes((Frame, StorageRecord)):
        hints = typing.get_type_hints(kind)
        types = {wire.proto_field_name(f): hints[f.name] for f in fields(kind)}
        proto_name = wire.proto_name_of(kind)
        lines = [
            f"  {proto_type(types[name])} {name} = {number};\n"
            for name, number in assign_numbers(proto_name, list(types), numbers)
        ]
        parts.append(f"message {proto_name} {{\n{''.join(lines)}}}\n")
    return "\n".join(parts)


def generate(target: Path) -> None:
    """Write the .proto file and the code compiled from it into a folder."""
    text = render()
    (target / "peridotfront.proto").write_text(text)
    arguments = ["protoc", f"-I{target}", f"--python_out={target}"]
    arguments += [f"--grpc_python_out={target}", str(target / "peridotfront.proto")]
    if protoc.main(arguments) != 0:
        raise SystemExit("protoc failed")
    grpc_file = target / "peridotfront_pb2_grpc.py"
    code = grpc_file.read_text()
    code = code.replace(
        "import peridotfront_pb2 as", "from . import peridotfront_pb2 as"
    )
    grpc_file.write_text(code)


def main() -> None:
    """Generate the files, or with ``--check`` compare them."""
    if "--check" not in sys.argv:
        generate(PROTO_DIR)
        return
    with tempfile.TemporaryDirectory() as folder:
        generate(Path(folder))
        outdated = [
            name
            for name in GENERATED
            if (Path(folder) / name).read_text() != (PROTO_DIR / name).read_text()
        ]
    if outdated:
        raise SystemExit(
            f"out of date, run tools/generate_proto.py: {', '.join(outdated)}"
        )


if __name__ == "__main__":
    main()
