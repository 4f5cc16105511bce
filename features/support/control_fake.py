"""Fake control hosts with one real configuration and real admin addresses."""

import asyncio
import contextlib
import os
import sys
from dataclasses import dataclass, field

from peridotfront.admin import AdminPages
from peridotfront.core.configuration import Configuration
from peridotfront.core.control_types import ControlView, HostView
from peridotfront.core.messages import ConfigChange, Replica
from peridotfront.exceptions import NotLeader
from peridotfront.http_server import HttpServer
from peridotfront.metrics import Metrics
from peridotfront.operators import OperatorPages

TOKEN = "an-operators-token"
HOST_IP = "127.0.0.1"
TIMEOUT_S = 20
CONFIGURATION = """# tuned by hand
[policy]
max_queue_ms = 20000

[upstream engine-1]
kind = engine
data_centre = cardiff
address = 127.0.0.1:9001
models = small
# agreed with the vendor
max_slots = 4
"""


@dataclass
class FakeGroup:
    """State that the fake control hosts share."""

    configuration: Configuration = field(default_factory=Configuration)
    leader: str = "control-1"
    admin_token: str = TOKEN
    confirmed: dict = field(default_factory=dict)
    dead: set = field(default_factory=set)
    claims: dict = field(default_factory=dict)
    answers_to_lose: int = 0
    proposals: list = field(default_factory=list)

    def view(self, host):
        version = self.configuration.version
        hosts = [
            HostView(
                name,
                1,
                "entry",
                "cardiff",
                version if confirmed is None else confirmed,
                5,
                name not in self.dead,
                False,
            )
            for name, confirmed in self.confirmed.items()
        ]
        return ControlView(
            host=host,
            current=self.configuration.current,
            history=self.configuration.history,
            hosts=tuple(hosts),
            laggards=(),
            is_leader=True,
            leader=self.leader,
            term=3,
            commit_index=9,
            last_applied=9,
            voters=(Replica("control-1", 1),),
            learners=(),
            claims=len(self.claims),
            open_claims=0,
            claims_size_bytes=0,
            struck_requests=0,
        )

    def apply(self, proposal):
        return self.configuration.apply(ConfigChange(1000, proposal))


class FakeControl:
    """Fake control host; only the leader answers."""

    def __init__(self, name, group, ssl_context=None):
        self.name = name
        self.group = group
        self.is_ready = True
        metrics = Metrics(name, "cardiff")
        pages = AdminPages(TOKEN, lambda: group, metrics, lambda: self.is_ready)
        OperatorPages(self, "cardiff").add_to(pages)
        self.pages = pages
        self.server = HttpServer(self.handle, ssl_context=ssl_context)

    async def handle(self, exchange):
        is_change = exchange.request.method == "POST"
        if is_change and self.group.leader == self.name and self.group.answers_to_lose:
            self.group.answers_to_lose -= 1
            await self.pages.answer(exchange.request)
            exchange.abort()
            return
        await self.pages.handle(exchange)

    def check_leader(self):
        if self.group.leader != self.name:
            raise NotLeader(self.group.leader)

    async def read(self):
        self.check_leader()
        return self.group.view(self.name)

    async def claim(self, key):
        self.check_leader()
        return self.group.claims.get(key)

    async def propose(self, proposal):
        self.check_leader()
        self.group.proposals.append(proposal)
        return self.group.apply(proposal)


class OperatorTestbed:
    """Fake control hosts, and the real command line as a process."""

    def __init__(self, folder):
        self.folder = folder
        self.runner = asyncio.Runner()
        self.group = FakeGroup()
        self.controls = []
        self.code = None
        self.out = ""
        self.err = ""

    def run(self, coroutine):
        return self.runner.run(asyncio.wait_for(coroutine, TIMEOUT_S))

    def close(self):
        self.stop_controls()
        self.runner.close()

    def stop_controls(self):
        for control in self.controls:
            self.run(control.server.close())
        self.controls = []

    def start(self, count, ssl_context=None):
        for number in range(1, count + 1):
            control = FakeControl(f"control-{number}", self.group, ssl_context)
            self.run(control.server.start(HOST_IP))
            self.controls.append(control)
        self.write_settings()

    def address(self, number=1):
        return f"{HOST_IP}:{self.controls[number - 1].server.port}"

    def write_settings(
        self, token=TOKEN, leader_timeout_ms=3000, tls="is_off = true", extra=""
    ):
        lines = ["[operator]", "author = ann", f"token = {token}"]
        lines += ["[tls]", tls]
        lines += ["[timing]", f"leader_timeout_ms = {leader_timeout_ms}"]
        for number, control in enumerate(self.controls, start=1):
            lines += [f"[host {control.name}]", "role = control"]
            lines += [
                "data_centre = cardiff",
                f"admin_address = {self.address(number)}",
            ]
        self.write("ctl.ini", "\n".join(lines) + "\n" + extra)

    def write(self, name, text):
        path = self.folder / name
        path.write_text(text)
        return path

    def ctl(self, arguments):
        """Run one command to its end; arguments may contain {folder}."""
        words = [word.format(folder=self.folder) for word in arguments.split()]
        self.run(self._ctl(["--settings", str(self.folder / "ctl.ini"), *words]))

    async def _ctl(self, words):
        process = await self.start_ctl(words)
        out, err = await process.communicate()
        self.code, self.out, self.err = process.returncode, out.decode(), err.decode()

    async def start_ctl(self, words):
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "peridotfront.ctl",
            *words,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            env={**os.environ, "PAGER": "cat"},
        )


@contextlib.contextmanager
def closing_testbed(folder):
    testbed = OperatorTestbed(folder)
    try:
        yield testbed
    finally:
        testbed.close()
