"""Run of one entry host before upstreams that send bytes without end."""

import asyncio
import json
import os
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path

from .endless_host import TIMEOUT_MS
from .endless_upstreams import ALL_WAYS
from .platform_settings import platform_settings
from .scripted_upstreams import Upstream

SOUND = "sound"
SUPPORT = Path(__file__).parent
SOURCE = SUPPORT.parents[1] / "src"
READ_BYTES = 256 * 1024
PROBE_PAUSE_S = 0.025
LIMIT_S = 6
LARGE_ANSWER_BYTES = 1_000_000
LAST_CHUNK = b"\r\n0\r\n\r\n"
SETTINGS = {
    "host": {"name": "e1", "data_centre": "dc1"},
    "listen": {
        "callers": "127.0.0.1:0",
        "readiness": "127.0.0.1:0",
        "first_peer_port": 0,
    },
    "shutdown": {"grace_s": 4},
}


@dataclass
class EndSeen:
    """End of an answer as its caller saw it.

    :param is_complete: whether the answer is complete by its framing.
    :param duration_ms: time from the request to the end.
    """

    status: int
    is_complete: bool
    duration_ms: float


def _ready_port(fields):
    return fields["port"] if fields["name"] == "process_ready" else 0


async def read_end(reader):
    """Read an answer to its end, without keeping its body."""
    head_text = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
    status = int(head_text.split()[1])
    _, has_length, length = head_text.partition("content-length: ")
    if has_length:
        missing_bytes = int(length.split("\r\n")[0])
        while missing_bytes and (data := await reader.read(missing_bytes)):
            missing_bytes -= len(data)
        return status, missing_bytes == 0
    tail = b""
    while not tail.endswith(LAST_CHUNK) and (data := await reader.read(READ_BYTES)):
        tail = (tail + data)[-len(LAST_CHUNK) :]
    return status, tail == LAST_CHUNK


class SoundUpstream(Upstream):
    """Upstream that answers completely, with 1 MB if the path asks for it."""

    async def _answer(self, received, reader, writer):
        is_large = received.line.split()[1].endswith("/large")
        body = b"a" * (LARGE_ANSWER_BYTES if is_large else 10)
        fields = ("X-Response-Sig: sig", f"Content-Length: {len(body)}")
        writer.write(self._head(received, "200 OK", *fields) + body)
        await writer.drain()


class EndlessRun:
    """Asynchronous context manager of the processes, whose callers it plays.

    :param place: group of the ways to send bytes without end.
    :param folder: folder for the settings and the log of the host.
    """

    def __init__(self, place, folder):
        self.place = place
        self.folder = Path(folder)
        self.ends = {}
        self.sound_ends = []
        self.is_probing = True
        self.after_ends = {}
        self.peak_kb = 0
        self.start_kb = 0
        self.library_kb = 0
        self.processor_s = 0.0
        self.host = None
        self.upstreams = None
        self.sound = SoundUpstream(SOUND, ["answer"])

    async def __aenter__(self):
        await self.sound.start()
        self.upstreams = self._popen("endless_upstreams", self.place)
        addresses = await self._await_line("endless_upstreams", lambda fields: fields)
        self.services = [*addresses, SOUND]
        settings = self.folder / "e1.ini"
        settings.write_text(platform_settings(**SETTINGS))
        listed = self.folder / "upstreams.json"
        listed.write_text(json.dumps({**addresses, SOUND: self.sound.address}))
        self.host = self._popen("endless_host", str(settings), str(listed))
        self.port = await self._await_line("endless_host", _ready_port)
        self.start_kb = self._memory_kb("VmHWM")
        self.library_kb = self._memory_kb("RssFile")
        return self

    async def __aexit__(self, *error):
        for process in (self.host, self.upstreams):
            if process is not None:
                process.kill()
                process.wait()
        # The connections to the sound upstream end with the host.
        await asyncio.sleep(PROBE_PAUSE_S)
        self.sound.server.close()

    def _popen(self, module, *arguments):
        paths = os.pathsep.join([str(SOURCE), str(SUPPORT.parent)])
        with open(self.folder / module, "wb") as output:
            return subprocess.Popen(
                [sys.executable, "-m", f"support.{module}", *arguments],
                stdout=output,
                stderr=output,
                env={**os.environ, "PYTHONPATH": paths},
            )

    def _lines(self, module):
        """Return the whole lines that a program has printed."""
        text = (self.folder / module).read_text()
        return text.splitlines()[: text.count("\n")]

    async def _await_line(self, module, read):
        """Wait until a function finds something in a line of a program."""
        async with asyncio.timeout(LIMIT_S):
            while True:
                for line in self._lines(module):
                    if found := read(json.loads(line)):
                        return found
                await asyncio.sleep(PROBE_PAUSE_S)

    @property
    def closed(self):
        """Return the upstreams whose connection the host has closed."""
        lines = self._lines("endless_upstreams")[1:]
        return {json.loads(line)["closed"] for line in lines}

    def _memory_kb(self, name):
        text = Path(f"/proc/{self.host.pid}/status").read_text()
        return int(text.partition(f"{name}:")[2].split()[0])

    def _processor_s(self):
        fields = Path(f"/proc/{self.host.pid}/stat").read_text().rpartition(")")[2]
        user, system = fields.split()[11:13]
        return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")

    async def call(self, service, last="x"):
        """Send one request to a service and return the end of its answer."""
        way = ALL_WAYS.get(service)
        kind = "streaming" if way and way.is_stream else "non_idempotent"
        path = f"/{kind}/{self.services.index(service)}/{last}"
        started_s = time.monotonic()
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        fields = f"X-Attempt-Id: {service} {last}\r\nX-Deadline-Ms: {TIMEOUT_MS}\r\n"
        start = f"POST {path} HTTP/1.1\r\nHost: h.example\r\n"
        writer.write(f"{start}{fields}Content-Length: 0\r\n\r\n".encode())
        try:
            async with asyncio.timeout(LIMIT_S):
                status, is_complete = await read_end(reader)
        except (ConnectionError, asyncio.IncompleteReadError, TimeoutError):
            status, is_complete = 0, False
        writer.transport.abort()
        return EndSeen(status, is_complete, (time.monotonic() - started_s) * 1000)

    async def play(self):
        """Send each upstream a request, and meanwhile others to a sound one."""
        await self.call(SOUND)
        names = self.services[:-1]
        started_s = self._processor_s()
        probing = asyncio.ensure_future(self._probe())
        ends = await asyncio.gather(*[self.call(name) for name in names])
        self.is_probing = False
        await probing
        self.processor_s = self._processor_s() - started_s
        self.ends = dict(zip(names, ends, strict=True))
        self.peak_kb = self._memory_kb("VmHWM")
        await self._await_closed(names)
        for name in names:
            self.after_ends[name] = await self._call_until_answered(name)

    async def _probe(self):
        while self.is_probing:
            for size in ("small", "large"):
                self.sound_ends.append(await self.call(SOUND, size))
            await asyncio.sleep(PROBE_PAUSE_S)

    async def _await_closed(self, names):
        deadline_s = time.monotonic() + LIMIT_S
        while set(names) - self.closed and time.monotonic() < deadline_s:
            await asyncio.sleep(PROBE_PAUSE_S)

    async def _call_until_answered(self, name):
        """Repeat a request while the host avoids the upstream after its fault."""
        deadline_s = time.monotonic() + LIMIT_S
        while True:
            end = await self.call(name, "sound")
            if end.status == 200 or time.monotonic() > deadline_s:
                return end
            await asyncio.sleep(PROBE_PAUSE_S)
