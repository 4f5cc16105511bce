"""Steps for the import of upstreams from an asset register."""

import configparser
import json

from behave import given, then, when
from hypothesis import given as for_any
from hypothesis import settings
from hypothesis import strategies as st

from peridotfront.exceptions import EditFailed, SettingsInvalid
from peridotfront.fleet_config import parse_fleet
from peridotfront.ini_editor import add_section, remove_section, set_value
from peridotfront.inventory import (
    DEFAULT_COLUMNS,
    Column,
    plan_import,
    read_register,
)

CONTENT = """# tuned by hand
[policy]
max_queue_ms = 20000

# the old one
[upstream engine-1]
kind = engine
data_centre = cardiff
address = 127.0.0.1:9001
models = small,
  large
# agreed with the vendor
max_slots = 4

# on loan
[upstream  engine-2]
kind = engine
data_centre = cardiff
address = 127.0.0.1:9002
"""
ENGINE_1 = {
    "name": "engine-1",
    "kind": "engine",
    "data_centre": "swansea",
    "address": "127.0.0.1:9001",
    "models": "small, large",
    "rack": "7",
}
ENGINE_3 = {
    "name": "engine-3",
    "kind": "engine",
    "data_centre": "cardiff",
    "address": "127.0.0.1:9003",
    "models": "small",
    "rack": "9",
}
RENAMED = {"name": "hostname", "data_centre": "site"}


def format_csv(rows, delimiter=","):
    lines = [delimiter.join(rows[0])]
    lines += [delimiter.join([f'"{v}"' for v in row.values()]) for row in rows]
    return "\n".join(lines) + "\n"


def rename_columns(row):
    return {RENAMED.get(key, key): value for key, value in row.items()}


def build_register(form, rows):
    if form == "json":
        return read_register(json.dumps({"upstreams": rows}), "assets.json")
    if form == "renamed":
        columns = [Column(RENAMED.get(c.key, c.key), c.key) for c in DEFAULT_COLUMNS]
        text = format_csv([rename_columns(row) for row in rows])
        return read_register(text, "assets.csv", tuple(columns))
    delimiter = ";" if form == "semicolons" else ","
    return read_register(format_csv(rows, delimiter), "assets.csv")


@given("a configuration tuned by hand with upstreams engine-1 and engine-2")
def use_hand_tuned(context):
    context.content = CONTENT
    parse_fleet(CONTENT)


@when("the register in {form} moves engine-1, omits engine-2 and adds engine-3")
def import_register(context, form):
    context.register = build_register(form, [ENGINE_1, ENGINE_3])
    context.plan = plan_import(context.content, context.register)


@then("the import adds engine-3, moves engine-1 to swansea and removes engine-2")
def check_plan(context):
    plan = context.plan
    assert [entry.name for entry in plan.additions] == ["engine-3"], plan
    changes = [(c.upstream, c.key, c.old, c.new) for c in plan.changes]
    assert changes == [("engine-1", "data_centre", "cardiff", "swansea")], changes
    assert plan.removals == ("engine-2",), plan


@then("the limits and comments of engine-1 are unchanged")
def check_engine_unchanged(context):
    before = CONTENT.partition("# on loan")[0]
    expected = before.replace("data_centre = cardiff", "data_centre = swansea")
    assert context.plan.content.startswith(expected), context.plan.content


@then('the column "{column}" is ignored')
def check_ignored_column(context, column):
    assert context.register.ignored_columns == (column,), context.register


@then("the new configuration is read without a fault")
def check_new_content(context):
    fleet = parse_fleet(context.plan.content)
    assert [upstream.name for upstream in fleet.upstreams] == ["engine-1", "engine-3"]
    assert fleet.upstreams[0].max_slots == 4


@when('the register gives engine-1 the one model "{model}"')
def import_models(context, model):
    row = ENGINE_1 | {"data_centre": "cardiff", "models": model}
    context.plan = plan_import(CONTENT, build_register("csv", [row]))


@then('engine-1 has the one model "{model}" and its limits and comments')
def check_one_model(context, model):
    before = CONTENT.partition("# on loan")[0]
    expected = before.replace("models = small,\n  large\n", f"models = {model}\n")
    assert context.plan.content.startswith(expected), context.plan.content


@when("the register agrees with the configuration")
def import_same(context):
    engine_1 = ENGINE_1 | {"data_centre": "cardiff", "models": "small,large"}
    engine_2 = ENGINE_3 | {"name": "engine-2", "address": "127.0.0.1:9002"}
    engine_2["models"] = ""
    context.plan = plan_import(CONTENT, build_register("csv", [engine_1, engine_2]))


@then("the import is empty and the text is the same")
def check_empty_plan(context):
    assert context.plan.is_empty, context.plan
    assert context.plan.content == CONTENT


def build_invalid_register(fault):
    if fault == "a nested value":
        return json.dumps([ENGINE_1 | {"models": {"small": 1}}]), "a.json"
    if fault == "broken json":
        return "[{", "a.json"
    rows = {
        "a row without a name": [ENGINE_1, ENGINE_3 | {"name": ""}],
        "the same name twice": [ENGINE_1, ENGINE_1],
        "too many cells": [ENGINE_1, ENGINE_3],
        "no rows": [ENGINE_1],
    }[fault]
    text = format_csv(rows)
    if fault == "too many cells":
        text = text.replace('"7"', '"7","8"')
    if fault == "no rows":
        text = text.partition("\n")[0] + "\n"
    return text, "a.csv"


@when("a register has {fault}")
def read_invalid_register(context, fault):
    context.refusal = None
    try:
        if fault == "a value with a line break and a section":
            row = ENGINE_1 | {"address": "127.0.0.1:1\n[policy]\nmax_queue_ms = 1"}
            plan_import(CONTENT, read_register(json.dumps([row]), "a.json"))
        else:
            read_register(*build_invalid_register(fault))
    except (SettingsInvalid, EditFailed) as error:
        context.refusal = error


@then('the register is refused and "{place}" is named')
def check_refused_place(context, place):
    assert isinstance(context.refusal, SettingsInvalid), context.refusal
    assert place in str(context.refusal), context.refusal


@then('the register is refused and "" is named')
def check_refused(context):
    assert isinstance(context.refusal, SettingsInvalid), context.refusal


@then("the import is refused")
def check_import_refused(context):
    assert isinstance(context.refusal, EditFailed), context.refusal


def parse_sections(text):
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(text)
    return {name: dict(parser.items(name)) for name in parser.sections()}


def list_comments(text):
    return [line for line in text.splitlines() if line.startswith("#")]


WORD = st.sampled_from(["a", "b", "c", "key", "other"])
VALUE = st.text(st.characters(codec="utf-8"), max_size=20)
BLOCK = st.tuples(
    WORD, st.dictionaries(WORD, st.from_regex("[a-z0-9 ,=]{0,9}", fullmatch=True))
)


def make_content(blocks):
    lines = []
    for name, values in dict(blocks).items():
        lines += [f"# about {name}", f"[{name}]"]
        for key, value in values.items():
            lines += [f"# on {key}", f"{key} = {value.strip()}", ""]
    return "\n".join(lines) + "\n"


def list_edits(text, section, key, value):
    yield lambda: set_value(text, section, key, value)
    yield lambda: add_section(text, section, {key: value})
    yield lambda: remove_section(text, section)


@when("any values are set, added and removed in any configuration")
def edit_any(context):
    context.wrong_edits = []

    @settings(max_examples=150)
    @for_any(st.lists(BLOCK, max_size=4), WORD, WORD, VALUE, st.integers(0, 2))
    def check(blocks, section, key, value, kind):
        text = make_content(blocks)
        before = parse_sections(text)
        try:
            after = list(list_edits(text, section, key, value))[kind]()
        except EditFailed:
            return
        expected = {name: dict(values) for name, values in before.items()}
        if kind == 2:
            del expected[section]
        else:
            expected.setdefault(section, {})[key] = value
        lost = set(list_comments(text)) - set(list_comments(after))
        section_comments = {f"# on {name}" for name in before.get(section, {})}
        if parse_sections(after) != expected or (
            lost - section_comments if kind == 2 else lost
        ):
            context.wrong_edits.append((text, after))

    check()


@then("each edit changed only its own value and kept every comment")
def check_edits(context):
    assert context.wrong_edits == [], context.wrong_edits[:2]
