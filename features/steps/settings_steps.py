"""Steps for start-up settings."""

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
from support.platform_settings import platform_settings

from peridotfront.ctl_settings import load_ctl
from peridotfront.exceptions import SettingsInvalid
from peridotfront.routed_settings import load_settings
from peridotfront.settings import load_control, load_entry
from peridotfront.standin_settings import load_standin

EXIT_TIMEOUT_S = 20
LOADERS = {
    "entry": load_entry,
    "control": load_control,
    "ctl": load_ctl,
    "standin": load_standin,
}
HOST_SECTION = """[host]
name = host-1
data_centre = cardiff
listen_address = 127.0.0.1:7001
admin_address = [::1]:7002
admin_token = an-operators-token
"""
SHARED = """[tls]
is_off = true
[log]
[timing]
[peer control-1]
role = control
data_centre = swansea
address = 127.0.0.1:7003
"""
VALID_SETTINGS = {
    "entry": f"{HOST_SECTION}[callers]\nlisten_address = 127.0.0.1:7000\n{SHARED}",
    "control": f"{HOST_SECTION}[storage]\ndata_folder = data\n{SHARED}",
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


def collect_faults(text, load):
    try:
        load(text)
    except SettingsInvalid as error:
        return [str(fault) for fault in error.faults]
    return []


@given("valid settings of {role}")
def use_valid_settings(context, role):
    context.settings_text = VALID_SETTINGS[role]


@given('the settings line "{line}" under "{section}"')
def replace_setting(context, line, section):
    key = line.partition(" = ")[0]
    text_before, separator, text_after = context.settings_text.partition(f"{section}\n")
    assert separator, section
    body, next_bracket, remaining = text_after.partition("\n[")
    kept_lines = [
        kept_line
        for kept_line in body.splitlines()
        if kept_line.partition(" = ")[0] != key
    ]
    context.settings_text = (
        "\n".join([f"{text_before}{section}", line, *kept_lines])
        + next_bracket
        + remaining
    )


@given('the settings line "{line}" at the end')
def append_line(context, line):
    context.settings_text += f"{line}\n"


@when("the settings are checked as {role}")
def check_settings(context, role):
    context.setting_faults = collect_faults(context.settings_text, LOADERS[role])


@then("no fault of settings is reported")
def check_no_faults(context):
    assert context.setting_faults == [], context.setting_faults


@then('the fault "{start}" is reported')
def check_fault(context, start):
    matching = [f for f in context.setting_faults if f.startswith(start)]
    assert len(matching) == 1, context.setting_faults


@then("{count:d} faults are reported")
def check_fault_count(context, count):
    assert len(context.setting_faults) == count, context.setting_faults


@then('no fault contains "{secret}"')
def check_hidden(context, secret):
    assert secret not in "".join(context.setting_faults)


@when("any text is checked as settings of each program")
def check_any_text(context):
    context.texts_without_faults = []

    @settings(max_examples=150)
    @for_any(INI_TEXT, st.sampled_from(sorted(LOADERS)))
    def check(text, role):
        try:
            LOADERS[role](text)
        except SettingsInvalid as error:
            if not error.faults:
                context.texts_without_faults.append(text)

    check()


@then("each text gave settings or a list of faults")
def check_any_text_results(context):
    assert context.texts_without_faults == []


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
def check_exit(context, code, fault):
    assert context.process.returncode == code, context.process
    assert fault in context.process.stderr, context.process.stderr
    assert "Traceback" not in context.process.stderr


@then('it names "{fault}" as well')
def check_also_named(context, fault):
    assert fault in context.process.stderr, context.process.stderr


@when("the generated pages are checked")
def check_pages(context):
    tool = load_generator()
    undocumented = []
    tool.settings_page(undocumented)
    context.faults = undocumented
    if tool.main(["--check"]):
        context.faults.append("a page is not current")


@given("settings of a host on the platform with the slack {slack:f}")
def write_platform_settings(context, slack):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.settings_path = Path(folder.name) / "process.ini"
    text = platform_settings(retries={"slack": slack}, rollouts={"slack": slack})
    context.settings_path.write_text(text)


@when("a host on the platform reads them")
def read_platform_settings(context):
    context.shared_limits = load_settings(context.settings_path).shared_limits


@then("the slack of retries and rollouts is {slack:f}")
def check_slack(context, slack):
    limits = context.shared_limits
    assert (limits.retries.slack, limits.rollouts.slack) == (slack, slack), limits
