"""Stand-ins for the platform of a small deployment: hosts, list, servers, callers.

Only the standard library is used. All addresses are loopback addresses of a network
that no other run on this machine uses.
"""

import asyncio
import contextlib
import hashlib
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
from collections import Counter, deque
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PEER_PORT = 7600
OPERATORS_PORT = 8229
CALLERS_PORT = 8221
READY_PORT = 8224
LIST_PORT = 8225
SERVER_PORT = 8080
LOCK_PORT = 7598
CONFIG_PATH = "/peridotfront/config"
GRACE_S = 8
LAG_S = 0.8
LIST_STEP_S = 0.05
MAX_RUN_S = 115.0
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")
PLACEHOLDER = re.compile(r"\{\{([A-Za-z.0-9]+)\}\}")
REASONS = {200: "OK", 421: "Misdirected Request", 503: "Service Unavailable"}


def reserve_network():
    """Return a loopback network that no other run uses, and its lock."""
    for offset in range(200):
        number = 20 + (os.getpid() + offset) % 200
        lock = socket.socket()
        try:
            lock.bind((f"127.{number}.255.253", LOCK_PORT))
        except OSError:
            lock.close()
            continue
        return f"127.{number}", lock
    raise RuntimeError("all loopback networks are in use")


class Record:
    """File with what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._began_s = time.monotonic()

    def write(self, text):
        """Write one line with the time since the start."""
        self._file.write(f"{time.monotonic() - self._began_s:8.3f} {text}\n")
        self._file.flush()


class Message:
    """One HTTP message: first line, headers with lower-case names, and body."""

    def __init__(self, first_line, headers, body):
        self.first_line = first_line
        self.headers = headers
        self.body = body


async def read_message(reader, has_body=True):
    """Read one HTTP message; None if the connection ends before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if has_body and "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif has_body and headers.get("transfer-encoding", "").lower() == "chunked":
        body = await read_chunks(reader)
    return Message(lines[0], headers, body)


async def read_chunks(reader):
    """Read a chunked body."""
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += data[:-2]


def build_message(first_line, headers, body=b""):
    """Return the bytes of an HTTP message with a body of known length."""
    fields = [*headers, ("Content-Length", str(len(body)))]
    lines = [first_line, *[f"{name}: {value}" for name, value in fields], "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class HttpStandin:
    """HTTP/1.1 server; subclasses answer with ``answer(message)``."""

    def __init__(self, ip, port):
        self.address = f"{ip}:{port}"
        self._ip = ip
        self._port = port
        self._server = None
        self._writers = set()

    async def start(self):
        """Listen."""
        self._server = await asyncio.start_server(
            self._serve, self._ip, self._port, backlog=512
        )

    async def stop(self):
        """Stop listening and reset all connections."""
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                status, headers, body = await self.answer(message)
                line = f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"
                writer.write(build_message(line, headers, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(self, message):
        """Return status, headers and body of the answer."""
        raise NotImplementedError


class Server(HttpStandin):
    """Sound server of a plain service."""

    def __init__(self, name, service, zone, ip, record, work_s=0.03, slots=6):
        super().__init__(ip, SERVER_PORT)
        self.name = name
        self.service = service
        self.zone = zone
        self.runs = {}
        self.is_listed = True
        self.is_leaving = False
        self._record = record
        self._work_s = work_s
        self._slots_count = slots
        self._slots = asyncio.Semaphore(slots)

    def entry(self):
        """Return the entry of this server in the list, as in the protocol's example."""
        return {
            "Service": self.service,
            "Addr": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self._slots_count,
            "State": "draining" if self.is_leaving else "ready",
            "ColdLeftMs": 0,
            "Id": self.name,
        }

    async def restart(self, drain_s, down_s, name=""):
        """Drain, stop, and start again, as after an upgrade.

        :param name: id from then on; empty for the same as before.
        """
        self._record.write(f"{self.name} is draining")
        self.is_leaving = True
        await asyncio.sleep(drain_s)
        self._record.write(f"{self.name} stops")
        self.is_listed = False
        await self.stop()
        await asyncio.sleep(down_s)
        self.is_leaving = False
        self.name = name or self.name
        await self.start()
        self.is_listed = True
        self._record.write(f"{self.name} has started again")

    async def answer(self, message):
        """Run the request, unless it is meant for another server."""
        target = message.first_line.split(" ")[1]
        identity = ("X-Instance-Id", self.name)
        leaving = [("Server-Leaving", "1")] if self.is_leaving else []
        if target == "/healthz":
            return 503 if self.is_leaving else 200, [identity, *leaving], b""
        request_id = message.headers.get("x-attempt-id", "")
        echo = ("X-Attempt-Id", request_id)
        if message.headers.get("x-expect-instance", self.name) != self.name:
            return 421, [echo, identity, *leaving], b""
        async with self._slots:
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
            self._record.write(f"run {request_id} at {self.name}")
            await asyncio.sleep(self._work_s)
        body = f"{request_id} {target}".encode().ljust(800, b".")
        signature = hashlib.blake2b(body, digest_size=8).hexdigest()
        return 200, [echo, ("X-Response-Sig", signature), *leaving], body


class ServerList(HttpStandin):
    """The platform's list of servers, on one page, which lags by ``LAG_S``.

    ``extra_entries`` are further entries, as raw bytes.
    """

    def __init__(self, ip, servers):
        super().__init__(ip, LIST_PORT)
        self._servers = servers
        self._history = deque()
        self.extra_entries = []

    async def run(self):
        """Follow the servers until cancelled."""
        while True:
            now_s = time.monotonic()
            entries = [server.entry() for server in self._servers if server.is_listed]
            encoded = [json.dumps(entry).encode() for entry in entries]
            self._history.append((now_s, [*encoded, *self.extra_entries]))
            while len(self._history) > 1 and self._history[1][0] <= now_s - LAG_S:
                self._history.popleft()
            await asyncio.sleep(LIST_STEP_S)

    async def answer(self, message):
        """Answer a call with all entries."""
        if not message.first_line.startswith("GET /instances"):
            return 404, [], b""
        entries = self._history[0][1] if self._history else []
        body = b'{"Instances":[' + b",".join(entries) + b'],"NextToken":null}'
        return 200, [("Content-Type", "application/json")], body


class Host:
    """Process of the system, started by its command in the deploy file."""

    def __init__(self, role, number, network, folder, seeds, list_address):
        self.role = role
        self.name = f"{role}-{number}"
        self.ip = f"{network}.{0 if role == 'control' else 1}.{number}"
        self._folder = folder
        self._seeds = seeds
        self._list_address = list_address
        self._zone = ZONES[(number - 1) % len(ZONES)]
        self._process = None

    def _settings(self, is_first_start):
        is_control = self.role == "control"
        values = {
            "Node": self.name,
            "Zone": self._zone,
            "Ip": self.ip,
            "Listen.Front": "" if is_control else f"{self.ip}:{CALLERS_PORT}",
            "Listen.Ready": "" if is_control else f"{self.ip}:{READY_PORT}",
            "Listen.Control": f"{self.ip}:{OPERATORS_PORT}" if is_control else "",
            "PortRange.0": str(PEER_PORT),
            "Seeds": ",".join(self._seeds),
            "Bootstrap": str(is_first_start).lower(),
            "DataDir": str(self._folder / self.name) if is_control else "",
            "Cloud.Addr": self._list_address,
            "Cloud.RatePerS": "40.0",
            "Bounds.RetryRatio": "0.2",
            "Bounds.RetrySlack": "52",
            "Bounds.RetryWindowS": "10",
            "Bounds.QuotaOver": "0.1",
            "Bounds.QuotaSlack": "190000",
            "Bounds.QuotaWindowS": "8",
            "Bounds.GraceS": str(GRACE_S),
        }
        template = (ROOT / "deploy/process.ini").read_text(encoding="utf-8")
        return PLACEHOLDER.sub(lambda match: values[match[1]], template)

    async def start(self, is_first_start=False):
        """Start the process with its output in a file of the temporary folder."""
        settings = self._folder / f"{self.name}.ini"
        settings.write_text(self._settings(is_first_start), encoding="utf-8")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "PERIDOTFRONT_SETTINGS": str(settings),
            "GRPC_EXPERIMENTS": "-event_engine_client,-event_engine_listener",
        }
        with open(self._folder / f"{self.name}.log", "ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                f"peridotfront.platform.{self.role}",
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env=environment,
            )

    @property
    def is_running(self):
        """Return whether the process runs."""
        return self._process is not None and self._process.returncode is None

    def send_signal(self, number):
        """Send a signal to the process if it runs."""
        if self.is_running:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)

    async def lose_disk(self, down_s):
        """Kill the process, and start it again with an empty data folder."""
        await self.kill()
        shutil.rmtree(self._folder / self.name)
        await asyncio.sleep(down_s)
        await self.start()

    async def kill(self):
        """Kill the process and wait for its end."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()


async def call(address, method, target, headers=(), body=b"", timeout_s=10.0):
    """Send one request on a new connection and return the answer.

    :raises OSError: if the connection ends before the answer, or at the time limit.
    """
    ip, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            fields = [("Host", "ledger.example"), *headers]
            writer.write(build_message(f"{method} {target} HTTP/1.1", fields, body))
            await writer.drain()
            answer = await read_message(reader)
        finally:
            writer.transport.abort()
    if answer is None:
        raise ConnectionResetError("no answer")
    return int(answer.first_line.split(" ")[1]), answer


class Operator:
    """Operator that sends manifests to any control host until one acknowledges."""

    def __init__(self, hosts, record):
        self._hosts = hosts
        self._record = record
        self._turn = 0

    async def put(self, manifest, timeout_s=20.0):
        """Send a manifest; return whether it was acknowledged in time."""
        body = json.dumps(manifest).encode()
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            host = self._hosts[self._turn % len(self._hosts)]
            self._turn += 1
            address = f"{host.ip}:{OPERATORS_PORT}"
            status = await self._put_at(address, body)
            if status == 200:
                self._record.write(f"acknowledged version {manifest['Version']}")
                return True
            await asyncio.sleep(0.1)
        return False

    async def _put_at(self, address, body):
        for _ in range(3):
            try:
                status, answer = await call(
                    address,
                    "PUT",
                    CONFIG_PATH,
                    [("Content-Type", "application/json")],
                    body,
                    timeout_s=3.0,
                )
            except (OSError, asyncio.IncompleteReadError):
                return 0
            if status != 307:
                return status
            address = answer.headers["location"].split("/")[2]
        return 0


class Deployment:
    """Small deployment: four control hosts, entry hosts, servers and their list."""

    def __init__(self, record, entries=3, work_s=0.03):
        self.record = record
        self.network, self._lock = reserve_network()
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        network = self.network
        self.servers = [
            Server(
                f"i-{number:08x}",
                "ledger",
                ZONES[number - 1],
                f"{network}.8.{number}",
                record,
                work_s,
            )
            for number in (1, 2, 3, 4)
        ]
        self.list = ServerList(f"{network}.9.1", self.servers)
        seeds = [f"{network}.0.{number}:{OPERATORS_PORT}" for number in (1, 2, 3)]
        self.controls = [
            Host("control", number, network, self.folder, seeds, self.list.address)
            for number in (1, 2, 3, 4)
        ]
        self.entries = [
            Host("entry", number + 1, network, self.folder, seeds, self.list.address)
            for number in range(entries)
        ]
        self.operator = Operator(self.controls, record)
        self._gone = []
        self._following = None

    async def start(self, manifest):
        """Start everything; return whether all entry hosts became ready."""
        for server in (*self.servers, self.list):
            await server.start()
        self._following = asyncio.create_task(self.list.run())
        for host in (*self.controls, *self.entries):
            await host.start(is_first_start=True)
        if not await self.operator.put(manifest, timeout_s=30.0):
            return False
        return await self._wait_ready()

    async def _wait_ready(self, timeout_s=20.0):
        deadline_s = time.monotonic() + timeout_s
        waiting = list(self.entries)
        while waiting and time.monotonic() < deadline_s:
            address = f"{waiting[0].ip}:{READY_PORT}"
            with contextlib.suppress(OSError):
                status, _ = await call(address, "GET", "/peridotfront/readyz")
                if status == 200:
                    waiting.pop(0)
                    continue
            await asyncio.sleep(0.1)
        return not waiting

    async def remove_control(self, host):
        """Remove a control host for good."""
        self.record.write(f"{host.name} is gone for good")
        self.controls.remove(host)
        self._gone.append(host)
        await host.kill()

    async def add_control(self, number, seeds):
        """Add an empty control host at a new address, and wait until it listens.

        :param seeds: hosts that its settings name.
        """
        addresses = [f"{host.ip}:{OPERATORS_PORT}" for host in seeds]
        host = Host(
            "control", number, self.network, self.folder, addresses, self.list.address
        )
        await host.start()
        self.controls.append(host)
        while True:
            with contextlib.suppress(OSError):
                await call(f"{host.ip}:{OPERATORS_PORT}", "GET", CONFIG_PATH)
                break
            await asyncio.sleep(0.05)
        names = ", ".join(seed.name for seed in seeds)
        self.record.write(f"{host.name} has started, with the seeds {names}")
        return host

    async def find_leader(self):
        """Return the control host that answers reads of the manifest itself."""
        for host in self.controls:
            address = f"{host.ip}:{OPERATORS_PORT}"
            status, _ = await call(address, "GET", CONFIG_PATH)
            if status == 200:
                return host
        raise RuntimeError("no control host leads")

    async def stop(self, keep_logs_as=None):
        """End all processes and stand-ins, and remove the temporary folder."""
        for host in (*self.entries, *self.controls, *self._gone):
            await host.kill()
        if self._following is not None:
            self._following.cancel()
        for server in (*self.servers, self.list):
            with contextlib.suppress(AttributeError):
                await server.stop()
        if keep_logs_as is not None:
            for log in self.folder.glob("*.log"):
                shutil.copy(log, keep_logs_as)
        shutil.rmtree(self.folder, ignore_errors=True)


KEY = "n2ctnfzs989anu6wsjnb"
DEADLINE_MS = 3000
KINDS = {"look-up": "idempotent", "transfer": "non_idempotent"}


def plain_manifest(version):
    """Return a manifest with one plain service, as in the protocol's example."""
    routes = [
        {
            "Name": f"r-{name}",
            "Host": "ledger.example",
            "Prefix": f"/{name}/",
            "Kind": kind,
            "TimeoutMs": DEADLINE_MS,
            "GoalMs": 400,
            "Priority": 0,
            "Service": "ledger",
            "Attempts": 2 if kind == "idempotent" else 1,
            "Public": False,
        }
        for name, kind in KINDS.items()
    ]
    return {
        "Version": version,
        "Routes": routes,
        "Services": [{"Name": "ledger", "HealthPath": "/healthz", "MaxConns": 96}],
        "Tenants": [{"Name": "hule930", "ApiKeys": [KEY], "RatePerS": 0}],
    }


class Callers:
    """Callers that send proper requests at a fixed rate, in turn to all entry hosts.

    ``statuses`` counts the answers by status, and by "none" those that did not come.
    """

    def __init__(self, deployment, requests_per_s):
        self.statuses = Counter()
        self._deployment = deployment
        self._requests_per_s = requests_per_s
        self._number = 0

    async def run(self, duration_s):
        """Send requests for a time and wait for all answers."""
        tasks = []
        for _ in range(int(duration_s * self._requests_per_s)):
            self._number += 1
            tasks.append(asyncio.create_task(self._send(self._number)))
            await asyncio.sleep(1 / self._requests_per_s)
        await asyncio.gather(*tasks)

    async def _send(self, number):
        kind = tuple(KINDS)[number % len(KINDS)]
        entries = self._deployment.entries
        entry = entries[number // len(KINDS) % len(entries)]
        request_id = f"{kind}-{number:06d}"
        record = self._deployment.record
        headers = [
            ("X-Attempt-Id", request_id),
            ("X-Deadline-Ms", str(DEADLINE_MS)),
            ("Api-Key", KEY),
        ]
        is_look_up = kind == "look-up"
        record.write(f"sent {request_id} to {entry.name}")
        try:
            status, answer = await call(
                f"{entry.ip}:{CALLERS_PORT}",
                "GET" if is_look_up else "POST",
                f"/{kind}/1",
                headers,
                b"" if is_look_up else b"pay",
            )
        except (OSError, asyncio.IncompleteReadError) as error:
            self.statuses["none"] += 1
            record.write(f"no answer {request_id}: {type(error).__name__}")
            return
        self.statuses[status] += 1
        detail = "" if status == 200 else answer.body.decode(errors="replace")
        record.write(f"answered {request_id} {status} {detail}")


async def read_back(deployment, duration_s):
    """Return the manifest that any control host answers in time, else None."""
    end_s = time.monotonic() + duration_s
    turn = 0
    while time.monotonic() < end_s:
        host = deployment.controls[turn % len(deployment.controls)]
        turn += 1
        address = f"{host.ip}:{OPERATORS_PORT}"
        for _ in range(3):
            try:
                status, answer = await call(address, "GET", CONFIG_PATH, timeout_s=1.0)
            except (OSError, asyncio.IncompleteReadError) as error:
                deployment.record.write(f"read at {address}: {type(error).__name__}")
                break
            deployment.record.write(f"read at {address}: {status}")
            if status == 200:
                return answer.body
            if status != 307:
                break
            address = answer.headers["location"].split("/")[2]
        await asyncio.sleep(0.2)
    return None


def is_troubled():
    """Return whether the run has the disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def finish(coroutine):
    """Run a case and exit with its status; 2 if it could not run.

    A SIGTERM and the time limit cancel the case, so that it ends its processes first.
    """
    try:
        status = asyncio.run(_until_terminated(coroutine))
    except (OSError, RuntimeError, asyncio.IncompleteReadError) as error:
        print(f"could not run: {type(error).__name__}: {error}")
        status = 2
    sys.exit(status)


async def _until_terminated(coroutine):
    task = asyncio.ensure_future(coroutine)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    loop.call_later(MAX_RUN_S, task.cancel)
    try:
        return await task
    except asyncio.CancelledError:
        print("could not run: ended before its time")
        return 2
