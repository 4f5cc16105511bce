"""Small deployment of the real programs, and stand-ins for what surrounds it.

The programs are started with the commands and the settings template of the deploy
file. Each deployment uses a loopback network of its own and a temporary folder.
"""

import asyncio
import contextlib
import hashlib
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BROKEN, HELD, NOT_RUN = 1, 0, 2
FRONT_PORT, READY_PORT, CONTROL_PORT = 8221, 8224, 8229
PORT_RANGE = (7600, 7615)
PROXIED_PORT = 7601
SERVER_PORT, LIST_PORT = 8080, 8225
LAG_MS = 800
MAX_RUN_S = 112
LIST_STEP_S = 0.05
REQUEST_INTERVAL_S = 0.05
CONFIG_PATH = "/peridotfront/config"
READY_PATH = "/peridotfront/readyz"
# How a handler of a connection ends, also at the end of the run.
ENDED = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)
DEFAULT_BOUNDS = {
    "ContactMs": 3000,
    "AckMs": 4000,
    "ConfigMs": 2000,
    "GraceS": 8,
    "RetryRatio": 0.2,
    "RetryWindowS": 10,
    "RetrySlack": 52,
    "QuotaWindowS": 8,
    "QuotaOver": 0.1,
    "QuotaSlack": 190_000,
    "RecoverS": 12,
}


def is_troubled():
    """Return whether the run has its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def reserve_network():
    """Return the first two numbers of a loopback network that nobody else uses."""
    for _ in range(200):
        network = f"127.{random.randrange(20, 250)}"
        lock = socket.socket()
        try:
            lock.bind((f"{network}.255.1", 7999))
        except OSError:
            lock.close()
            continue
        return network, lock
    raise RuntimeError("no loopback network is free")


class Record:
    """Record of what was sent, answered and run, also printed."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w")
        self._began_s = time.monotonic()

    def write(self, text):
        """Write one line with the time since the start of the run."""
        line = f"{time.monotonic() - self._began_s:8.3f} {text}"
        print(line, flush=True)
        self._file.write(line + "\n")
        self._file.flush()


SECTION = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
VALUE = re.compile(r"\{\{([\w.]+)\}\}")


def look_up(values, name):
    """Return a value of nested tables and lists, or None."""
    for part in name.split("."):
        if isinstance(values, dict):
            values = values.get(part)
        elif isinstance(values, list | tuple) and int(part) < len(values):
            values = values[int(part)]
        else:
            return None
    return values


def fill_in(template, values):
    """Fill in a template as the platform's pages tell."""

    def section(match):
        kind, name, text = match.groups()
        value = look_up(values, name)
        if kind == "^":
            return "" if value else text
        if not value:
            return ""
        return text.replace("{{.}}", str(value))

    def value(match):
        found = look_up(values, match[1])
        if found is None:
            return ""
        if isinstance(found, list | tuple):
            return ",".join(str(item) for item in found)
        return json.dumps(found) if isinstance(found, bool) else str(found)

    return VALUE.sub(value, SECTION.sub(section, template))


class Machine:
    """Machine with one process of a role of the deploy file.

    :param deployment: the deployment that the machine belongs to.
    :param role: ``entry`` or ``control``.
    """

    def __init__(self, deployment, role, number, zone):
        self.deployment = deployment
        self.role = role
        self.name = f"{role}-{number}"
        self.zone = zone
        self.ip = f"{deployment.network}.{1 if role == 'entry' else 2}.{number}"
        self.folder = deployment.folder / self.name
        self.popen = None

    @property
    def is_running(self):
        """Return whether the process runs."""
        return self.popen is not None and self.popen.poll() is None

    def settings(self, is_first_start):
        """Return the fields of the settings file."""
        is_entry = self.role == "entry"
        listen = {"Control": f"{self.ip}:{CONTROL_PORT}"}
        if is_entry:
            listen = {
                "Front": f"{self.ip}:{FRONT_PORT}",
                "Ready": f"{self.ip}:{READY_PORT}",
            }
        return {
            "Node": self.name,
            "Role": self.role,
            "Class": "edge" if is_entry else "core",
            "Ip": self.ip,
            "Zone": self.zone,
            "Listen": listen,
            "PortRange": PORT_RANGE,
            "Seeds": self.deployment.seeds,
            "Bootstrap": is_first_start,
            "InTolerance": not is_entry,
            "DataDir": None if is_entry else str(self.folder),
            "Tolerate": self.deployment.tolerate,
            "Bounds": self.deployment.bounds,
            "Cloud": {
                "Addr": f"{self.deployment.network}.9.1:{LIST_PORT}",
                "RatePerS": 40.0,
                "LagMs": LAG_MS,
            },
        }

    def start(self, is_first_start=False):
        """Start the process with the command of the deploy file, unless it runs."""
        if self.is_running:
            return
        role = self.deployment.deploy["roles"][self.role]
        template = (ROOT / role["template"]).read_text()
        file = self.deployment.folder / f"{self.name}.settings"
        text = fill_in(template, self.settings(is_first_start))
        if self.deployment.has_links:
            # Connections of other machines come through a proxy.
            port = f"first_peer_port = {PORT_RANGE[0]}\n"
            text = text.replace(port, f"{port}peers = {self.ip}:{PROXIED_PORT}\n")
        file.write_text(text)
        variables = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        variables |= role.get("env", {})
        variables["PYTHONPATH"] = str(ROOT / "target" / "deps")
        variables["PERIDOTFRONT_SETTINGS"] = str(file)
        with (self.deployment.folder / f"{self.name}.log").open("ab") as log:
            self.popen = subprocess.Popen(
                role["run"].split(), cwd=ROOT, env=variables, stdout=log, stderr=log
            )

    def send_signal(self, number):
        """Send a signal to the process if it runs."""
        if self.is_running:
            self.popen.send_signal(number)

    def kill(self):
        """Kill the process and wait for its end."""
        if self.popen is not None:
            self.popen.kill()
            self.popen.wait()

    def wipe(self):
        """Lose the disk of a machine whose process does not run."""
        shutil.rmtree(self.folder, ignore_errors=True)

    def log(self):
        """Return what the process has logged."""
        return (self.deployment.folder / f"{self.name}.log").read_text(errors="replace")


class Deployment:
    """Machines of a small deployment.

    :param cores: zones of the machines that run control processes.
    :param edges: zones of the machines that run entry processes.
    :param tolerate: number of machines with a disk whose loss is to be borne.
    """

    def __init__(self, cores, edges=(), tolerate=1, bounds=None):
        self.network, self._lock = reserve_network()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.tolerate = {"Machines": tolerate, "Zones": 1, "Regions": 0}
        self.bounds = {**DEFAULT_BOUNDS, **(bounds or {})}
        self.has_links = False
        self.controls = [
            Machine(self, "control", n, zone) for n, zone in enumerate(cores, start=1)
        ]
        self.entries = [
            Machine(self, "entry", n, zone) for n, zone in enumerate(edges, start=1)
        ]
        self.seeds = [f"{m.ip}:{CONTROL_PORT}" for m in self.controls[:3]]

    @property
    def machines(self):
        """Return all machines."""
        return [*self.controls, *self.entries]

    def start(self):
        """Start all machines for the first time."""
        for machine in self.machines:
            machine.start(is_first_start=True)

    def stop(self):
        """End all processes and remove the folder."""
        for machine in self.machines:
            machine.kill()
        if "KEEP" in os.environ:
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self._lock.close()


class Links:
    """Proxies for the connections between machines, which can cut one off.

    ``cut`` is the machine that is cut off from all others, both ways; None for none.
    What is sent meanwhile is held up.
    """

    def __init__(self, deployment):
        deployment.has_links = True
        self.cut = None
        self._deployment = deployment

    async def start(self):
        """Listen for the connections to all machines."""
        for machine in self._deployment.machines:
            await asyncio.start_server(
                lambda reader, writer, to=machine: self._pass_on(reader, writer, to),
                machine.ip,
                PORT_RANGE[0],
            )

    def _sender(self, port):
        """Return the machine whose process has a connection with a local port."""
        inodes = {
            line.split()[9]
            for line in Path("/proc/net/tcp").read_text().splitlines()[1:]
            if int(line.split()[1].split(":")[1], 16) == port
        }
        for machine in self._deployment.machines:
            if not machine.is_running:
                continue
            for file in Path(f"/proc/{machine.popen.pid}/fd").glob("*"):
                with contextlib.suppress(OSError):
                    if os.readlink(file)[8:-1] in inodes:
                        return machine
        return None

    async def _pass_on(self, reader, writer, to):
        ends = (to, self._sender(writer.get_extra_info("peername")[1]))
        other = None
        try:
            await self._hold(ends)
            to_reader, other = await asyncio.open_connection(to.ip, PROXIED_PORT)
            pumps = [
                asyncio.create_task(self._pump(reader, other, ends)),
                asyncio.create_task(self._pump(to_reader, writer, ends)),
            ]
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            for pump in pumps:
                pump.cancel()
        except ENDED:
            pass
        finally:
            writer.transport.abort()
            if other is not None:
                other.transport.abort()

    async def _pump(self, reader, writer, ends):
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                await self._hold(ends)
                writer.write(data)
                await writer.drain()

    async def _hold(self, ends):
        while self.cut is not None and self.cut in ends:
            await asyncio.sleep(0.05)


class Answer:
    """HTTP answer as a client reads it.

    ``is_whole`` tells whether the end of the body was read as HTTP marks it.
    """

    def __init__(self, status=0, headers=None, body=b"", is_whole=False):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.is_whole = is_whole


async def read_answer(reader, on_data=None):
    """Read one answer; its ``status`` is 0 if the connection ended before its head."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (OSError, asyncio.IncompleteReadError):
        return Answer()
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    answer = Answer(int(lines[0].split()[1]), headers)
    body = bytearray()
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            size = 1
            while size:
                size = int(await reader.readline(), 16)
                data = (await reader.readexactly(size + 2))[:size]
                body += data
                if on_data and data:
                    on_data(data)
            answer.is_whole = True
        elif "content-length" in headers:
            body += await reader.readexactly(int(headers["content-length"]))
            answer.is_whole = True
        else:
            body += await reader.read()
            answer.is_whole = True
    except (OSError, ValueError, asyncio.IncompleteReadError) as error:
        body += getattr(error, "partial", b"")
    answer.body = bytes(body)
    return answer


def build_request(method, path, host, headers=(), body=b""):
    """Return the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(ip, port, method, path, headers=(), body=b"", timeout_s=1.0, host=None):
    """Send one request on a new connection; status 0 if there is no answer in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port)
            writer.write(build_request(method, path, host or ip, headers, body))
            await writer.drain()
            return await read_answer(reader)
    except (OSError, TimeoutError):
        return Answer()
    finally:
        if writer is not None:
            writer.transport.abort()


class Operator:
    """Operator that calls any control machine, and follows redirects twice."""

    def __init__(self, deployment):
        self._deployment = deployment

    async def call_once(self, machine, method, body=b""):
        """Call one machine."""
        ip, port, path = machine.ip, CONTROL_PORT, CONFIG_PATH
        headers = (("Content-Type", "application/json"),)
        for _ in range(3):
            answer = await call(ip, port, method, path, headers, body)
            if answer.status != 307:
                return answer
            place = answer.headers["location"].removeprefix("http://")
            address, _, rest = place.partition("/")
            ip, _, port = address.rpartition(":")
            port, path = int(port), f"/{rest}"
        return answer

    async def ask(self, method, body=b"", timeout_s=10.0):
        """Call one machine after the other until one answers with success."""
        end_s = time.monotonic() + timeout_s
        pause_s = 0.1
        answer = Answer()
        while time.monotonic() < end_s:
            for machine in random.sample(
                self._deployment.controls, len(self._deployment.controls)
            ):
                answer = await self.call_once(machine, method, body)
                if answer.status == 200:
                    return answer
            await asyncio.sleep(pause_s)
            pause_s = min(1.0, 2 * pause_s)
        return answer

    async def put(self, manifest, timeout_s=10.0):
        """Send a manifest until it is acknowledged; return whether it was."""
        body = json.dumps(manifest).encode()
        return (await self.ask("PUT", body, timeout_s)).status == 200

    async def get(self, timeout_s=10.0):
        """Return the manifest that is read back, or None."""
        answer = await self.ask("GET", b"", timeout_s)
        return json.loads(answer.body) if answer.status == 200 else None


def build_manifest(version, routes=(), services=()):
    """Return a manifest with one route at least."""
    services = list(services) or [
        {"Name": "s1", "HealthPath": "/healthz", "MaxConns": 96}
    ]
    routes = list(routes) or [
        {
            "Name": "r1",
            "Host": "h.example",
            "Prefix": "/p/",
            "Kind": "idempotent",
            "TimeoutMs": 3000,
            "GoalMs": 400,
            "Priority": 0,
            "Service": services[0]["Name"],
            "Attempts": 2,
        }
    ]
    return {
        "Version": version,
        "Routes": routes,
        "Services": services,
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
    }


class ListServer:
    """Server of the platform's list of servers, which lags.

    ``entries`` are the entries that it hands out, and ``build`` returns them.
    """

    def __init__(self, deployment):
        self.entries = []
        self.build = lambda: self.entries
        self._address = (f"{deployment.network}.9.1", LIST_PORT)
        self._server = None
        self._shown = []
        self._task = None

    async def start(self):
        """Start serving."""
        self._shown = self.build()
        self._task = asyncio.create_task(self._follow())
        self._server = await asyncio.start_server(self._serve, *self._address)

    async def _follow(self):
        """Show each state of the list after the lag."""
        states = []
        while True:
            now_s = time.monotonic()
            states.append((now_s + LAG_MS / 1000, self.build()))
            while states[0][0] <= now_s:
                self._shown = states.pop(0)[1]
            await asyncio.sleep(LIST_STEP_S)

    async def _serve(self, reader, writer):
        with contextlib.suppress(*ENDED):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                body = json.dumps({"Instances": self._shown, "NextToken": None})
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    + f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
                )
                await writer.drain()
        writer.close()


def build_entry(server_id, service, ip, zone, slots=6, state="ready"):
    """Return an entry of the list."""
    return {
        "Service": service,
        "Addr": f"{ip}:{SERVER_PORT}",
        "Zone": zone,
        "Version": "v1",
        "Slots": slots,
        "State": state,
        "ColdLeftMs": 0,
        "Id": server_id,
    }


def digest_of(data):
    """Return the digest with which a server signs its answer."""
    return hashlib.blake2b(data, digest_size=8).hexdigest()


async def wait_ready(deployment, timeout_s=20.0):
    """Wait until all entry machines say that they are ready."""
    end_s = time.monotonic() + timeout_s
    for machine in deployment.entries:
        while time.monotonic() < end_s:
            answer = await call(machine.ip, READY_PORT, "GET", READY_PATH)
            if answer.status == 200:
                break
            await asyncio.sleep(0.1)
        else:
            return False
    return True


def run_case(play, folder):
    """Run a case and exit with its result.

    :param play: coroutine function that gets the record and returns the result.
    """

    def end(number, frame):
        raise SystemExit(NOT_RUN)

    signal.signal(signal.SIGTERM, end)
    record = Record(folder)
    try:
        result = asyncio.run(asyncio.wait_for(play(record), MAX_RUN_S))
    except Exception as error:
        record.write(f"could not run: {type(error).__name__}: {error}")
        result = NOT_RUN
    record.write(f"result: {result}")
    sys.exit(result)


class Server:
    """Server of one service, as the platform's pages tell, which is always sound.

    :param runs: list that gets a pair of attempt id and server id for each run.
    :param work_s: time that a request takes.
    """

    def __init__(self, server_id, service, ip, zone, runs, slots=6, work_s=0.09):
        self.id = server_id
        self.service = service
        self.ip = ip
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.runs = runs
        self.heads = []
        self._server = None
        self._writers = set()
        self._free = asyncio.Semaphore(slots)

    def entry(self):
        """Return the entry of the list."""
        return build_entry(self.id, self.service, self.ip, self.zone, self.slots)

    async def start(self):
        """Start serving."""
        self._server = await asyncio.start_server(self._serve, self.ip, SERVER_PORT)

    async def stop(self):
        """Stop serving, and close all connections."""
        self._server.close()
        for writer in tuple(self._writers):
            writer.close()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                await self.handle(request, writer)
        except ENDED:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def handle(self, request, writer):
        """Answer one request."""
        _, path, headers, _ = request
        attempt_id = headers.get("x-attempt-id", "")
        if path == "/healthz":
            await write_answer(writer, 200, [("X-Instance-Id", self.id)])
            return
        fields = [("X-Attempt-Id", attempt_id)]
        if headers.get("x-expect-instance", self.id) != self.id:
            await write_answer(writer, 421, [*fields, ("X-Not-Executed", "1")])
            return
        async with self._free:
            self.runs.append((attempt_id, self.id))
            self.heads.append(request)
            await self.run(request, fields, writer)

    async def run(self, request, fields, writer):
        """Run a request and write its answer."""
        await asyncio.sleep(self.work_s)
        body = f"{fields[0][1]} ".encode() + request[3]
        digest = ("X-Response-Sig", digest_of(body))
        await write_answer(writer, 200, [*fields, digest], body)


async def read_request(reader):
    """Read one request; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, path, _ = lines[0].split(" ")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return method, path, headers, body


async def write_answer(writer, status, fields, body=b""):
    """Write one answer with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in fields]
    lines.append(f"Content-Length: {len(body)}")
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
    await writer.drain()


class Callers:
    """Clients that send requests to all entry machines in turn.

    ``statuses`` are pairs of the time of sending and the status of the answer.
    """

    def __init__(self, deployment):
        self.statuses = []
        self._entries = deployment.entries
        self._number = 0

    async def send_for(self, duration_s):
        """Send requests for a time, and wait for their answers."""
        end_s = time.monotonic() + duration_s
        tasks = []
        while time.monotonic() < end_s:
            tasks.append(asyncio.create_task(self._send()))
            await asyncio.sleep(REQUEST_INTERVAL_S)
        await asyncio.gather(*tasks)

    async def _send(self):
        self._number += 1
        entry = self._entries[self._number % len(self._entries)]
        headers = (("X-Attempt-Id", f"a{self._number}"), ("X-Deadline-Ms", "3000"))
        sent_s = time.monotonic()
        answer = await call(
            entry.ip,
            FRONT_PORT,
            "POST",
            "/p/x",
            headers,
            b"body",
            timeout_s=3.5,
            host="h.example",
        )
        self.statuses.append((sent_s, answer.status))

    def served_share(self, since_s, until_s):
        """Return the number of requests sent in a time, and the share served."""
        found = [s for sent_s, s in self.statuses if since_s <= sent_s < until_s]
        return len(found), found.count(200) / max(1, len(found))
