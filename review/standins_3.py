"""Stand-ins for the platform, its servers, its clients and its operator.

They follow the users' pages and run on loopback addresses with the real clock. The
programs under review are started with the commands of the deploy file.
"""

import asyncio
import contextlib
import json
import os
import random
import re
import resource
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
FRONT_PORT = 8221
READY_PORT = 8224
CONTROL_PORT = 8229
LIST_PORT = 8225
SERVER_PORT = 8080
FIRST_PEER_PORT = 7600
METRICS_PORT = 9464
RESTART_S = 0.5
MAX_SCENARIO_S = 112
MEMORY_POLL_S = 0.1
KEEP_ALIVE_S = 5
SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
VALUE = re.compile(r"\{\{([\w.]+)\}\}")
started_processes = []
RESIDENT = re.compile(r"RssAnon:\s+(\d+) kB")


def free_network():
    """Return the first three parts of a loopback network with free ports."""
    numbers = random.SystemRandom().sample(range(20, 250), 200)
    for number in numbers:
        network = f"127.{number}.0"
        try:
            for port in (FRONT_PORT, CONTROL_PORT, LIST_PORT, SERVER_PORT, 7600, 9464):
                with socket.socket() as probe:
                    probe.bind((f"{network}.1", port))
        except OSError:
            continue
        return network
    raise SystemExit(2)


class Record:
    """Writer of what was sent, answered and run."""

    def __init__(self, path):
        self._path = Path(path)
        self._path.write_text("", encoding="utf-8")
        self._started_s = time.monotonic()

    def write(self, *words):
        """Write one line with the time since the start."""
        elapsed_s = time.monotonic() - self._started_s
        line = " ".join(str(word) for word in words)
        with self._path.open("a", encoding="utf-8") as file:
            file.write(f"{elapsed_s:8.3f} {line}\n")


def render(template, fields):
    """Fill in the placeholders of a settings template."""

    def find(path):
        value = fields
        for part in path.split("."):
            value = value[int(part)] if part.isdecimal() else (value or {}).get(part)
        return value

    def text_of(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(value)
        return str(value)

    def section(match):
        value = find(match[1])
        if not value:
            return ""
        return match[2].replace("{{.}}", text_of(value))

    return VALUE.sub(lambda m: text_of(find(m[1])), SECTION.sub(section, template))


class Process:
    """One process of the system, which the platform starts again when it ends."""

    def __init__(self, platform, role, number):
        self.platform = platform
        self.role = role
        self.name = f"{role}-{number}"
        part = 1 if role == "control" else 2
        self.ip = f"{platform.network[:-1]}{part}.{number}"
        self.zone = platform.zones[(number - 1) % len(platform.zones)]
        self.folder = platform.folder / self.name
        self.is_wanted = False
        self.starts = 0
        self.exit_codes = []
        self.peak_mb = 0
        self.over_limit = 0
        self._process = None
        self._task = None
        self._bootstrap = True

    @property
    def pid(self):
        """Return the process id; None if it does not run."""
        running = self._process is not None and self._process.returncode is None
        return self._process.pid if running else None

    def start(self):
        """Start it, and start it again whenever it ends."""
        self.is_wanted = True
        self._task = asyncio.ensure_future(self._run())

    async def stop(self):
        """Kill it for good."""
        self.is_wanted = False
        self.kill()
        if self._task is not None:
            await self._task

    def kill(self, number=signal.SIGKILL):
        """Send it a signal."""
        if self.pid is not None:
            os.kill(self.pid, number)

    def _write_settings(self):
        self.folder.mkdir(parents=True, exist_ok=True)
        data = self.folder / "data"
        path = self.folder / "settings"
        fields = self.platform.fields(self, str(data), self._bootstrap)
        template = (ROOT / self.platform.roles[self.role]["template"]).read_text()
        path.write_text(render(template, fields))
        return path

    async def _run(self):
        while self.is_wanted:
            spec = self.platform.roles[self.role]
            settings = self._write_settings()
            self._bootstrap = False
            environment = {
                name: os.environ[name]
                for name in ("PATH", "HOME", "LANG")
                if name in os.environ
            }
            environment.update(spec.get("env", {}))
            environment["PERIDOTFRONT_SETTINGS"] = str(settings)
            environment["PYTHONPATH"] = str(ROOT / "target/deps")
            self.starts += 1
            with (self.folder / "log").open("ab") as log:
                self._process = await asyncio.create_subprocess_exec(
                    *spec["run"].split(),
                    cwd=ROOT,
                    env=environment,
                    stdout=log,
                    stderr=log,
                )
                self.platform.record.write("start", self.name, self._process.pid)
                started_processes.append(self._process)
                if not self.is_wanted:
                    self.kill()
                watch = asyncio.ensure_future(self._watch_memory(self._process.pid))
                code = await self._process.wait()
                watch.cancel()
            self.exit_codes.append(code)
            self.platform.record.write("end", self.name, "code", code)
            if self.is_wanted:
                await asyncio.sleep(RESTART_S)

    async def _watch_memory(self, pid):
        """Kill the process once it uses more memory than its machine has."""
        while True:
            try:
                status = Path(f"/proc/{pid}/status").read_text()
            except OSError:
                return
            match = RESIDENT.search(status)
            size_mb = int(match[1]) / 1024 if match else 0
            self.peak_mb = max(self.peak_mb, size_mb)
            limit_mb = self.platform.ram_mb.get(self.role)
            if limit_mb and size_mb > limit_mb:
                self.over_limit += 1
                self.platform.record.write(
                    "memory",
                    self.name,
                    f"{size_mb:.0f} MB, limit {limit_mb} MB: killed",
                )
                os.kill(pid, signal.SIGKILL)
                return
            await asyncio.sleep(MEMORY_POLL_S)


class Platform:
    """The platform: machines, their processes, and the list of servers."""

    def __init__(self, record, controls=3, entries=2, ram_mb=None):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.roles = deploy["roles"]
        self.record = record
        self.ram_mb = ram_mb or {}
        self.network = free_network()
        self.zones = ["z1", "z2", "z3"]
        self._temporary = tempfile.TemporaryDirectory(prefix="peridotfront-review-")
        self.folder = Path(self._temporary.name)
        self.controls = [Process(self, "control", n + 1) for n in range(controls)]
        self.entries = [Process(self, "entry", n + 1) for n in range(entries)]
        self.bounds = {
            "RetryRatio": 0.2,
            "RetrySlack": 52,
            "RetryWindowS": 10,
            "QuotaOver": 0.1,
            "QuotaSlack": 190000,
            "QuotaWindowS": 8,
            "GraceS": 8,
        }
        self.servers = []
        self.list_ip = f"{self.network}.1"
        self.is_list_up = True
        self._list = None

    def fields(self, process, data, bootstrap):
        """Return the fields of the settings of a process."""
        is_entry = process.role == "entry"
        listen = {"Control": f"{process.ip}:{CONTROL_PORT}"}
        if is_entry:
            listen = {
                "Front": f"{process.ip}:{FRONT_PORT}",
                "Ready": f"{process.ip}:{READY_PORT}",
            }
        return {
            "Node": process.name,
            "Zone": process.zone,
            "Ip": process.ip,
            "Listen": listen,
            "PortRange": [FIRST_PEER_PORT, FIRST_PEER_PORT + 15],
            "Seeds": [f"{c.ip}:{CONTROL_PORT}" for c in self.controls[:3]],
            "Bootstrap": bootstrap,
            "Tolerate": {"Machines": 1},
            "DataDir": None if is_entry else data,
            "Cloud": {"Addr": f"{self.list_ip}:{LIST_PORT}", "RatePerS": 40.0},
            "Bounds": self.bounds,
        }

    async def start(self):
        """Start the list and all processes."""
        self._list = await asyncio.start_server(
            self._serve_list, self.list_ip, LIST_PORT
        )
        for process in (*self.controls, *self.entries):
            process.start()

    async def stop(self):
        """End all processes and servers."""
        for process in (*self.controls, *self.entries):
            await process.stop()
        for server in self.servers:
            await server.stop()
        self._list.close()

    def log_of(self, process):
        """Return the log of a process."""
        return (process.folder / "log").read_text(errors="replace")

    async def _serve_list(self, reader, writer):
        try:
            while await read_request(reader) is not None:
                instances = [s.listed() for s in self.servers if s.is_listed]
                body = json.dumps({"Instances": instances, "NextToken": None}).encode()
                status = "200 OK" if self.is_list_up else "503 Service Unavailable"
                writer.write(
                    f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def wait_ready(self, timeout_s=25):
        """Wait until all entry hosts say that they are ready."""
        end_s = time.monotonic() + timeout_s
        for entry in self.entries:
            while True:
                status = await fetch_status(
                    entry.ip, READY_PORT, "/peridotfront/readyz"
                )
                if status == 200:
                    break
                if time.monotonic() > end_s:
                    raise TimeoutError(f"{entry.name} is not ready")
                await asyncio.sleep(0.1)


class Request:
    """One request as it was read."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def get(self, name, default=""):
        """Return the value of a header field, by its name in lower case."""
        return self.headers.get(name, default)


async def read_head(reader):
    """Return the first line and the header fields of a message; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields, *, until_end):
    """Return the body of a message."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readline()
            if size == 0:
                return b"".join(parts)
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    return await reader.read() if until_end else b""


async def read_request(reader):
    """Read one request; return None at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    body = await read_body(reader, head[1], until_end=False)
    return Request(method, target, head[1], body)


async def fetch(ip, port, method, target, headers=(), body=b"", timeout_s=5.0):
    """Send one request on a new connection; return status, header fields and body.

    The status is 0 if the connection ended or the time passed without an answer.
    """
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, port, limit=2**20)
            fields = {"Host": f"{ip}:{port}", **dict(headers)}
            if body or method in ("POST", "PUT"):
                fields["Content-Length"] = str(len(body))
            lines = "".join(f"{k}: {v}\r\n" for k, v in fields.items())
            writer.write(f"{method} {target} HTTP/1.1\r\n{lines}\r\n".encode() + body)
            head = await read_head(reader)
            if head is None:
                return 0, {}, b""
            answer = await read_body(reader, head[1], until_end=True)
            return int(head[0].split()[1]), head[1], answer
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.transport.abort()


async def fetch_status(ip, port, target):
    """Return the status of a GET; 0 if there was no answer."""
    status, _, _ = await fetch(ip, port, "GET", target, timeout_s=2)
    return status


class Server:
    """One server of a service: it runs each request once, in a limited number."""

    def __init__(self, platform, service, number, slots=6, work_s=0.03):
        self.platform = platform
        self.service = service
        self.instance = f"i-{service}-{number}"
        self.ip = f"{platform.network[:-1]}{3 + len(platform.servers) // 200}.{number}"
        self.slots = slots
        self.work_s = work_s
        self.is_listed = True
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.runs = []
        self.running = 0
        self._listener = None
        self._writers = set()
        platform.servers.append(self)

    def listed(self):
        """Return the entry of the list."""
        index = self.platform.servers.index(self) % len(self.platform.zones)
        return {
            "Id": self.instance,
            "Service": self.service,
            "Addr": f"{self.ip}:{SERVER_PORT}",
            "Zone": self.platform.zones[index],
            "Version": "v1",
            "Slots": self.slots,
            "State": self.state,
            "ColdLeftMs": 0,
            "born": self.born,
        }

    async def start(self):
        """Listen for requests."""
        self._listener = await asyncio.start_server(
            self._serve, self.ip, SERVER_PORT, limit=2**20
        )

    async def stop(self):
        """Close all connections and stop listening."""
        if self._listener is not None:
            self._listener.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                await self.answer(request, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(self, request, writer):
        """Answer one request."""
        if request.target == "/healthz":
            send(writer, "200 OK", [("X-Instance-Id", self.instance)], b"ok")
            return
        identity = [("X-Attempt-Id", request.get("x-attempt-id"))]
        if request.get("x-expect-instance", self.instance) != self.instance:
            send(writer, "421 Misdirected Request", identity, b"")
            return
        if self.running >= self.slots:
            fields = [*identity, ("X-Not-Executed", "1")]
            send(writer, "503 Service Unavailable", fields, b"")
            return
        self.running += 1
        try:
            self.record_run(request)
            await self.work(request, writer, identity)
        finally:
            self.running -= 1

    def record_run(self, request):
        """Record that a request runs."""
        self.runs.append((request.get("x-attempt-id"), request))
        self.platform.record.write("run", self.instance, request.get("x-attempt-id"))

    async def work(self, request, writer, identity):
        """Run a request and send its answer."""
        await asyncio.sleep(self.work_s)
        body = f"{self.instance} {request.get('x-attempt-id')}".encode()
        send(writer, "200 OK", [*identity, ("X-Response-Sig", "1b.07")], body)


def send(writer, status, fields, body):
    """Write one answer with its length."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields)
    keep = f"Keep-Alive: timeout={KEEP_ALIVE_S}\r\n"
    head = f"HTTP/1.1 {status}\r\n{lines}{keep}Content-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode() + body)


class Operator:
    """The operator, who sends manifests to any control machine."""

    def __init__(self, platform):
        self.platform = platform

    async def call(self, method, body=b"", timeout_s=3.0, first=None):
        """Call one machine, and follow redirects twice."""
        ip = first or random.choice(self.platform.controls).ip
        for _ in range(3):
            status, fields, answer = await fetch(
                ip,
                CONTROL_PORT,
                method,
                "/peridotfront/config",
                [("Content-Type", "application/json")],
                body,
                timeout_s,
            )
            if status != 307:
                break
            ip = fields["location"].split("//")[1].split(":")[0]
        return status, answer

    async def put(self, manifest, timeout_s=20):
        """Send a manifest until it is acknowledged; return the time that it took."""
        body = json.dumps(manifest).encode()
        began_s = time.monotonic()
        while time.monotonic() - began_s < timeout_s:
            status, _ = await self.call("PUT", body)
            if status == 200:
                self.platform.record.write("acknowledged", manifest["Version"])
                return time.monotonic() - began_s
            if status in (400, 409, 412, 413, 422):
                raise ValueError(f"the manifest was refused with {status}")
            await asyncio.sleep(0.2)
        raise TimeoutError("the manifest was not acknowledged")


class Engine(Server):
    """Model server whose answers are streams of events, and which may crash."""

    def __init__(self, platform, service, number, slots=4, events=13):
        super().__init__(platform, service, number, slots)
        self.events = events
        self.crashes = 0

    async def work(self, request, writer, identity):
        """Answer with a stream of events."""
        await asyncio.sleep(0.15)
        fields = [
            *identity,
            ("X-Response-Sig", "1b.07"),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields)
        writer.write(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode())
        for number in range(1, self.events + 1):
            event = f"id: {number}\ndata: x\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(0.05)
        writer.write(b"0\r\n\r\n")

    async def crash(self, down_s):
        """Reset all connections and listen again after some time."""
        self.crashes += 1
        self.platform.record.write("crash", self.instance)
        await self.stop()
        await asyncio.sleep(down_s)
        await self.start()


HOST = "a.example"
KEYS = ("key-of-t1", "key-of-t2")


def build_manifest(version):
    """Return a manifest with an engine service, a plain service and two tenants."""
    engine = {
        "Slots": 4,
        "KvCapacity": 492195,
        "KvTokenBytes": 18432,
        "LinkMbps": 180000.0,
        "Moves": True,
        "Backups": True,
        "Stride": 4,
        "most": 12,
        "PinMs": 4000.0,
        "HoldMs": 2000.0,
        "HandleS": 5.0,
        "Models": [{"Name": "m"}],
    }
    generation = {
        "Name": "r-gen",
        "Host": HOST,
        "Prefix": "/gen/",
        "Kind": "streaming",
        "TimeoutMs": 12000,
        "GoalMs": 1200,
        "Priority": 0,
        "Service": "llm",
        "Attempts": 1,
        "Public": False,
        "Sticky": True,
        "Resumable": False,
        "GapTargetMs": 800,
    }
    payment = {
        "Name": "r-pay",
        "Host": HOST,
        "Prefix": "/pay/",
        "Kind": "non_idempotent",
        "TimeoutMs": 1500,
        "GoalMs": 300,
        "Priority": 2,
        "Service": "app",
        "Attempts": 1,
        "Public": False,
        "Sticky": False,
        "Resumable": False,
        "GapTargetMs": 0,
    }
    common = {"HealthPath": "/healthz", "Protocol": "h1", "Tls": False}
    return {
        "Version": version,
        "Routes": [generation, payment],
        "Services": [
            {"Name": "llm", "MaxConns": 360, "Engine": engine, **common},
            {"Name": "app", "MaxConns": 96, **common},
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        # Without a rate a tenant has no limit.
        "Tenants": [
            {"Name": f"t{number}", "ApiKeys": [key], "Priority": 1, "Unit": "tokens"}
            for number, key in enumerate(KEYS, start=1)
        ],
    }


def caller_fields(attempt_id, key, deadline_ms):
    """Return the header fields of a request."""
    return [
        ("Host", HOST),
        ("X-Attempt-Id", attempt_id),
        ("X-Deadline-Ms", str(deadline_ms)),
        ("Api-Key", key),
    ]


def end_all_processes():
    """Kill what is left of the processes that were started, after a stop."""
    for process in started_processes:
        if process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGKILL)


async def run_in_time(scenario):
    """Run a scenario; raise TimeoutError if it takes too long."""
    async with asyncio.timeout(MAX_SCENARIO_S):
        return await scenario


def run_scenario(scenario):
    """Run a scenario, which returns whether the rule held, and exit by its result."""
    # A machine of the class edge has 4,100 descriptors for a process.
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(most, 8192), most))
    folder = Path(sys.argv[1])
    record = Record(folder / "record.txt")
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    record.write("trouble", int(is_troubled))
    # A stop of the script also ends what it has started.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        has_held = asyncio.run(run_in_time(scenario(record, is_troubled)))
    except (Exception, KeyboardInterrupt) as error:
        record.write("could not run:", repr(error))
        raise SystemExit(2) from error
    finally:
        end_all_processes()
    record.write("the rule", "held" if has_held else "was broken")
    raise SystemExit(0 if has_held else 1)
