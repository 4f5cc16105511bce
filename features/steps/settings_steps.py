"""Steps on start-up settings."""

import os
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when
from hypothesis import given as for_any
from hypothesis import settings
from hypothesis import strategies as st
from support.generator import load_generator

from peridotfront.ctl_settings import load_ctl
from peridotfront.exceptions import SettingsInvalid
from peridotfront.settings import load_control, load_entry
from peridotfront.standin_settings import load_standin

EXIT_TIMEOUT_S = 20
LOADERS = {
    "entry": load_entry,
    "control": load_control,
    "ctl": load_ctl,
    "standin": load_standin,
}
HOST = """[host]
name = host-1
data_centre = cardiff
listen_address = 127.0.0.1:7001
admin_address = [::1]:7002
admin_token = an-operators-token
"""
REST = """[tls]
is_off = true
[log]
[timing]
[peer control-1]
role = control
data_centre = swansea
address = 127.0.0.1:7003
"""
GOOD = {
    "entry": f"{HOST}[callers]\nlisten_address = 127.0.0.1:7000\n{REST}",
    "control": f"{HOST}[storage]\ndata_folder = data\n{REST}",
    "ctl": "[operator]\nauthor = ann\ntoken = an-operators-token\n[tls]\nis_off = on\n"
    "[host control-1]\nrole = control\ndata_centre = cardiff\n"
    "admin_address = 127.0.0.1:7002\n",
    "standin": "[standin]\nkind = engine\n",
}
INI_TEXT = st.lists(
    st.sampled_from(
        ["[host]", "[peer a]", "[peer]", "[tls]", "[", "]", "=", "name = ", "[ ]"]
    )
    | st.text(max_size=30),
    max_size=12,
).map("\n".join)


def faults_of(text, load):
    try:
        load(text)
    except SettingsInvalid as error:
        return [str(fault) for fault in error.faults]
    return []


@given("good settings of {role}")
def good_settings(context, role):
    context.settings_text = GOOD[role]


@given('the settings line "{line}" under "{section}"')
def settings_line(context, line, section):
    key = line.partition(" = ")[0]
    head, found, tail = context.settings_text.partition(f"{section}\n")
    assert found, section
    body, bracket, rest = tail.partition("\n[")
    kept = [old for old in body.splitlines() if old.partition(" = ")[0] != key]
    context.settings_text = (
        "\n".join([f"{head}{section}", line, *kept]) + bracket + rest
    )


@given('the settings line "{line}" at the end')
def settings_end(context, line):
    context.settings_text += f"{line}\n"


@when("the settings are checked as {role}")
def check_settings(context, role):
    context.setting_faults = faults_of(context.settings_text, LOADERS[role])


@then("no fault of settings is reported")
def no_setting_faults(context):
    assert context.setting_faults == [], context.setting_faults


@then('the fault "{start}" is reported')
def fault_reported(context, start):
    found = [f for f in context.setting_faults if f.startswith(start)]
    assert len(found) == 1, context.setting_faults


@then("{count:d} faults are reported")
def count_faults(context, count):
    assert len(context.setting_faults) == count, context.setting_faults


@then('no fault shows "{secret}"')
def fault_hides(context, secret):
    assert secret not in "".join(context.setting_faults)


@when("any text is checked as settings of each program")
def check_any(context):
    context.odd_texts = []

    @settings(max_examples=150)
    @for_any(INI_TEXT, st.sampled_from(sorted(LOADERS)))
    def check(text, role):
        try:
            LOADERS[role](text)
        except SettingsInvalid as error:
            if not error.faults:
                context.odd_texts.append(text)

    check()


@then("each text gave settings or a list of faults")
def no_crash(context):
    assert context.odd_texts == []


@when("the program of {role} is started with them")
def start_program(context, role):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "settings.ini"
        path.write_text(context.settings_text)
        context.process = subprocess.run(
            [sys.executable, "-m", f"peridotfront.{role}", "--settings", str(path)],
            capture_output=True,
            text=True,
            timeout=EXIT_TIMEOUT_S,
            env=os.environ,
        )


@then('it exits with code {code:d} and names "{fault}"')
def exits_with(context, code, fault):
    assert context.process.returncode == code, context.process
    assert fault in context.process.stderr, context.process.stderr
    assert "Traceback" not in context.process.stderr


@then('it names "{fault}" as well')
def names_too(context, fault):
    assert fault in context.process.stderr, context.process.stderr


@when("the generated pages are checked")
def check_pages(context):
    tool = load_generator()
    gaps = []
    tool.settings_page(gaps)
    context.faults = gaps
    if tool.main(["--check"]):
        context.faults.append("a page is not current")
