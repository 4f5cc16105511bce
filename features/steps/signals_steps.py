"""Steps for signals that reach a program at any moment of its life."""

import asyncio
import contextlib
import json
import os
import re
import signal
import subprocess
import tempfile
import threading
import time
from pathlib import Path

from behave import given, then, when
from support.deployment import Deployment as OwnDeployment
from support.platform_settings import platform_settings

from peridotfront.routed_settings import load_settings
from peridotfront.runtime import StopSignal
from peridotfront.settings_watcher import SettingsWatcher
from peridotfront.signals import SIGNALS
from soak.deployment import Deployment as RoutedDeployment

SIGNAL_INTERVAL_S = 0.003
LIMIT_S = 30.0
HANDLER_S = 0.05
BLOCKED_MASK = re.compile(r"SigBlk:\s+([0-9a-f]+)")


class SignalledProgram:
    """Program that gets a signal every few ms from its first instruction of ours on.

    :param start: function that starts the process and returns it.
    :param log: path of its log file.
    """

    def __init__(self, start, log):
        self._start = start
        self._log = log
        self._is_over = threading.Event()
        self.popen = None

    def play(self, number):
        """Start the program and send it the signal until it has ended or is over."""
        self.popen = self._start()
        self._await(lambda: self.has_begun() or self.popen.poll() is not None)
        threading.Thread(target=self._send, args=(number,), daemon=True).start()

    def end(self):
        """Stop sending, and kill the process if it runs."""
        self._is_over.set()
        self.popen.kill()
        self.popen.wait()

    def has_begun(self):
        """Return whether the program holds signals or has written its first line."""
        with contextlib.suppress(OSError):
            status = Path(f"/proc/{self.popen.pid}/status").read_text()
            mask = int(BLOCKED_MASK.search(status)[1], 16)
            return bool(mask & 1 << (signal.SIGTERM - 1)) or self.logged(
                "process_started"
            )
        return False

    def await_logged(self, event):
        """Wait for a line of the log; fail if the process ends before it."""
        self._await(lambda: self.logged(event) or self.popen.poll() is not None)
        assert self.logged(event), f"ended with {self.popen.returncode}: {self.text()}"

    def await_end(self):
        """Wait for the end of the process and return its exit code."""
        self._await(lambda: self.popen.poll() is not None)
        self._is_over.set()
        return self.popen.returncode

    def text(self):
        return self._log.read_text()

    def logged(self, event):
        return f'"{event}"' in self.text()

    def _send(self, number):
        while not self._is_over.is_set() and self.popen.poll() is None:
            self.popen.send_signal(number)
            time.sleep(SIGNAL_INTERVAL_S)

    def _await(self, condition):
        end_s = time.monotonic() + LIMIT_S
        while not condition():
            assert time.monotonic() < end_s, f"not reached: {self.text()}"
            time.sleep(SIGNAL_INTERVAL_S)


def build_routed(folder, role):
    """Return a program on the platform."""
    deployment = RoutedDeployment(folder, 1, 1)
    host = (deployment.controls if role == "control" else deployment.entries)[0]
    log = folder / f"{host.name}.log"
    arguments, environment = host.prepare(is_first_start=True)

    def start():
        with log.open("ab") as output:
            return subprocess.Popen(
                arguments, env=environment, stdout=output, stderr=output
            )

    return SignalledProgram(start, log)


def build_own(folder, role):
    """Return a program with an interface of its own."""
    deployment = OwnDeployment(folder, control_hosts=1, entry_hosts=1)
    process = deployment.processes[f"{role}-1"]
    deployment.write_settings()

    def start():
        process.start(folder)
        return process.popen

    return SignalledProgram(start, folder / f"{process.name}.log")


@given("a program of a {role:w} host on the platform")
@given("a program of an {role:w} host on the platform")
def use_routed(context, role):
    context.program = build_routed(make_folder(context), role)
    context.add_cleanup(context.program.end)


@given("a program of a {role:w} host by itself")
@given("a program of an {role:w} host by itself")
def use_own(context, role):
    context.program = build_own(make_folder(context), role)
    context.add_cleanup(context.program.end)


def make_folder(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    return Path(folder.name)


@when("it starts and gets {name:w} all the while")
def start_signalled(context, name):
    context.program.play(signal.Signals[name])


@then("it becomes ready")
def becomes_ready(context):
    context.program.await_logged("process_ready")


@then("it ends by itself with code {code:d}")
def ends_by_itself(context, code):
    ended = context.program.await_end()
    assert ended == code, f"{ended}: {context.program.text()}"


@then("it wrote log lines only, and process_stopped as the last")
def wrote_log_lines(context):
    lines = [json.loads(line) for line in context.program.text().splitlines()]
    assert lines[-1]["name"] == "process_stopped", lines[-1]


@given("settings that were read and have changed since")
def change_settings(context):
    path = make_folder(context) / "settings.ini"
    path.write_text(platform_settings(group={"seeds": "10.0.0.1:80"}))
    context.settings = load_settings(path)
    context.path = path
    path.write_text(platform_settings(group={"seeds": "10.0.0.2:80"}))


@when("a watcher of the settings starts")
def start_watcher(context):
    context.seeds = []

    async def watch():
        watcher = SettingsWatcher(
            context.path,
            context.settings,
            lambda settings: context.seeds.extend(settings.group.seeds),
        )
        task = asyncio.create_task(watcher.run())
        await asyncio.sleep(0)
        task.cancel()

    asyncio.run(watch())


@then("the changed settings apply at once")
def applied(context):
    assert context.seeds == ["10.0.0.2:80"], context.seeds


@given("a program that was told to stop")
def told_to_stop(context):
    context.repeats = []
    handlers = {number: signal.getsignal(number) for number in SIGNALS}
    for number, handler in handlers.items():
        context.add_cleanup(signal.signal, number, handler)


@when("stop signals come just before and just after the end of its work")
def stop_again(context):
    asyncio.run(end_between_signals(context.repeats))


async def end_between_signals(repeats):
    stop = StopSignal(lambda: repeats.append(1))
    stop.install()
    os.kill(os.getpid(), signal.SIGTERM)
    await stop.wait()
    # The handler of the second signal has no turn before the work ends.
    os.kill(os.getpid(), signal.SIGTERM)
    stop.end()
    os.kill(os.getpid(), signal.SIGTERM)
    await asyncio.sleep(HANDLER_S)


@then("no repeated signal is reported")
def check_repeats(context):
    assert not context.repeats, context.repeats
