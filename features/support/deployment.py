"""Complete deployment of real processes on this host, for tests and benchmarks."""

import contextlib
import hashlib
import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

ADMIN_TOKEN = "operators-only"
READY_TIMEOUT_S = 20
POLL_S = 0.02
PROGRAMS = {
    "entry": "peridotfront.entry",
    "control": "peridotfront.control",
    "standin": "peridotfront.standin",
}


RESERVED_PORTS = []


def free_port() -> int:
    """Return a port chosen by the kernel that no other socket gets.

    The socket stays bound, without listening, so that no outgoing connection gets
    the port; a server that reuses addresses can still listen on it.
    """
    probe = socket.socket()
    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    probe.bind(("127.0.0.1", 0))
    RESERVED_PORTS.append(probe)
    return probe.getsockname()[1]


def wait_until(condition, timeout_s=READY_TIMEOUT_S, what="condition"):
    """Wait until a condition holds and return its value."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError, http.client.HTTPException, ValueError):
            value = condition()
            if value:
                return value
        time.sleep(POLL_S)
    raise AssertionError(f"not reached in {timeout_s} s: {what}")


@dataclass
class HttpReply:
    """Complete HTTP answer with lower-case header names."""

    status: int
    headers: dict
    body: bytes

    def json(self):
        return json.loads(self.body)


def call(address, method, path, body=b"", headers=None, timeout_s=30):
    """Send one HTTP request and read the complete answer."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        reply = connection.getresponse()
        names = {name.lower(): value for name, value in reply.getheaders()}
        return HttpReply(reply.status, names, reply.read())
    finally:
        connection.close()


@dataclass
class Process:
    """Process of the deployment, with its settings file and addresses."""

    name: str
    program: str
    settings_file: Path
    addresses: dict = field(default_factory=dict)
    popen: subprocess.Popen | None = None

    def start(self, folder):
        log = open(folder / f"{self.name}.log", "ab")  # noqa: SIM115
        arguments = [sys.executable, "-m", PROGRAMS[self.program]]
        arguments += ["--settings", str(self.settings_file)]
        self.popen = subprocess.Popen(arguments, stdout=log, stderr=log)
        log.close()

    def send_signal(self, number):
        self.popen.send_signal(number)

    def kill(self):
        self.popen.kill()
        self.popen.wait()

    def stop(self, timeout_s=30):
        """Stop by SIGTERM, and kill after the timeout.

        :return: whether the process has ended without a kill.
        """
        if self.popen is None or self.popen.poll() is not None:
            return True
        self.popen.send_signal(signal.SIGCONT)
        self.popen.send_signal(signal.SIGTERM)
        try:
            self.popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return False
        return True

    @property
    def is_running(self):
        return self.popen is not None and self.popen.poll() is None


class Deployment:
    """Deployment that writes its settings, and starts and stops its processes.

    :param folder: folder for settings, logs and data.
    :param control_hosts: number of replicas of the control group.
    :param entry_hosts: number of entry hosts, spread over the data centres.
    """

    def __init__(
        self, folder, control_hosts=3, entry_hosts=2, data_centres=("dc1", "dc2")
    ):
        self.folder = Path(folder)
        self.data_centres = data_centres
        self.processes = {}
        self.upstreams = {}
        self.accounts = {"counter": 1, "bulk": 3}
        self.policy = ""
        self.timing = ""
        self.routes = {}
        self.platform_file = self.folder / "platform.json"
        self.platform_file.write_text("[]")
        self.relay = None
        self.relay_port = 0
        for number in range(control_hosts):
            self._add_host("control", number)
        for number in range(entry_hosts):
            self._add_host("entry", number)

    def _add_host(self, role, number):
        name = f"{role}-{number + 1}"
        data_centre = self.data_centres[number % len(self.data_centres)]
        process = Process(name, role, self.folder / f"{name}.ini")
        for kind in ("listen", "admin", "callers"):
            process.addresses[kind] = f"127.0.0.1:{free_port()}"
        process.addresses["data_centre"] = data_centre
        self.processes[name] = process

    def add_engine(self, name, data_centre, models="m1", **values):
        """Add a stand-in engine with values for its [engine] section."""
        shared_keys = (
            "prefill_tokens_per_s",
            "decode_tokens_per_s",
            "kv_capacity_tokens",
        )
        shared_values = {key: values[key] for key in shared_keys if key in values}
        max_slots = values.pop("max_slots", 16)
        lines = "".join(f"{key} = {value}\n" for key, value in values.items())
        text = f"[engine]\nmodels = {models}\n{lines}"
        self._add_standin(name, "engine", text)
        rule = f"kind = engine\nmodels = {models}\nmax_slots = {max_slots}\n"
        rule += "".join(f"{key} = {value}\n" for key, value in shared_values.items())
        self.upstreams[name] = (data_centre, rule)

    def add_service(self, name, data_centre, service, call_ms=5):
        """Add a stand-in of a plain service."""
        self._add_standin(name, "service", f"[service]\ncall_ms = {call_ms}\n")
        self.upstreams[name] = (data_centre, f"kind = service\nservice = {service}\n")

    def _add_standin(self, name, kind, text):
        process = Process(name, "standin", self.folder / f"{name}.ini")
        process.addresses["listen"] = f"127.0.0.1:{free_port()}"
        process.addresses["runs"] = str(self.folder / f"{name}.runs")
        self.processes[name] = process
        process.text = (
            f"[standin]\nkind = {kind}\nlisten = {process.addresses['listen']}\n"
            f"run_file = {process.addresses['runs']}\nleave_ms = 300\n{text}"
        )

    # -- files -------------------------------------------------------------

    def rules(self):
        """Return the replicated configuration as text."""
        parts = [f"[policy]\n{self.policy}"]
        for name, tier in self.accounts.items():
            digest = hashlib.sha256(f"key-{name}".encode()).hexdigest()
            parts.append(
                f"[client_account {name}]\nkey_sha256 = {digest}\n"
                f"highest_tier = {tier}\nrequests_per_s = 10000\n"
                "burst_requests = 10000\nmax_concurrent = 10000\n"
            )
        services = {rule.partition("service = ")[2] for _, rule in self._services()}
        parts += [f"[service {service.strip()}]\n" for service in sorted(services)]
        for name, (data_centre, rule) in self.upstreams.items():
            address = self.processes[name].addresses["listen"]
            parts.append(
                f"[upstream {name}]\ndata_centre = {data_centre}\n"
                f"address = {address}\n{rule}"
            )
        return "\n".join(parts)

    def _services(self):
        return [
            upstream
            for upstream in self.upstreams.values()
            if "kind = service" in upstream[1]
        ]

    def add_relays(self):
        """Add a relay to each link between two hosts, so that it can be cut."""
        links = []
        for source in self.hosts():
            for target in self.hosts():
                if source is target:
                    continue
                listen = f"127.0.0.1:{free_port()}"
                self.routes[source.name, target.name] = listen
                address = target.addresses["listen"]
                links.append(
                    {
                        "source": source.name,
                        "target": target.name,
                        "listen": listen,
                        "address": address,
                    }
                )
        self.relay_port = free_port()
        file = self.folder / "relay.json"
        file.write_text(json.dumps({"links": links, "port": self.relay_port}))
        script = Path(__file__).with_name("relay.py")
        self.relay = subprocess.Popen([sys.executable, str(script), str(file)])
        wait_until(lambda: self.command("heal"), what="relays ready")

    def command(self, line):
        """Send the relay a command and wait until it is done."""
        with socket.create_connection(("127.0.0.1", self.relay_port), 5) as peer:
            peer.sendall(f"{line}\n".encode())
            return peer.recv(16)

    def cut(self, isolated_hosts, other_hosts):
        """Cut all links between two groups of hosts in both directions."""
        for isolated_host in isolated_hosts:
            for other_host in other_hosts:
                self.command(f"cut {isolated_host} {other_host}")
                self.command(f"cut {other_host} {isolated_host}")

    def isolate(self, *names):
        """Cut some hosts off from all others."""
        others = [host.name for host in self.hosts() if host.name not in names]
        self.cut(names, others)

    def heal(self):
        """Restore all links."""
        self.command("heal")

    def peer_address(self, source, target):
        """Return the address at which a host reaches another: its relay, if any."""
        default = self.processes[target].addresses["listen"]
        return self.routes.get((source, target), default)

    def _settings(self, process):
        if process.program == "standin":
            return process.text
        addresses = process.addresses
        text = (
            f"[host]\nname = {process.name}\n"
            f"data_centre = {addresses['data_centre']}\n"
            f"listen_address = {addresses['listen']}\n"
            f"admin_address = {addresses['admin']}\nadmin_token = {ADMIN_TOKEN}\n"
            f"[tls]\nis_off = true\n[timing]\n{self.timing}\n"
        )
        if process.program == "entry":
            text += f"[callers]\nlisten_address = {addresses['callers']}\n"
            text += "drain_grace_ms = 500\n"
            text += f"[platform]\nlist_file = {self.platform_file}\n"
        else:
            text += f"[storage]\ndata_folder = {self.folder / process.name}\n"
        for peer in self.hosts():
            if peer.name != process.name:
                text += (
                    f"[peer {peer.name}]\nrole = {peer.program}\n"
                    f"data_centre = {peer.addresses['data_centre']}\n"
                    f"address = {self.peer_address(process.name, peer.name)}\n"
                )
        return text

    # -- life cycle --------------------------------------------------------

    def hosts(self, program=None):
        """Return the control and entry hosts, or those of one program."""
        programs = (program,) if program else ("control", "entry")
        return [
            process
            for process in self.processes.values()
            if process.program in programs
        ]

    def write_settings(self):
        """Write the settings files of all processes."""
        for process in self.processes.values():
            process.settings_file.write_text(self._settings(process))

    def start(self):
        """Start all processes and apply the configuration."""
        self.write_settings()
        for process in self.processes.values():
            process.start(self.folder)
        self.apply(self.rules())
        for host in self.hosts("entry"):
            wait_until(lambda host=host: self.is_ready(host), what=f"{host.name} ready")
        return self

    def start_one(self, name):
        """Start a process again with the settings that it had."""
        self.processes[name].start(self.folder)

    def stop(self):
        """Stop all processes."""
        for process in self.processes.values():
            if process.is_running:
                process.popen.send_signal(signal.SIGCONT)
                process.popen.send_signal(signal.SIGTERM)
        hung_processes = [
            process.name for process in self.processes.values() if not process.stop()
        ]
        if self.relay is not None:
            self.relay.kill()
            self.relay.wait()
        assert not hung_processes, (
            f"did not end after SIGTERM and were killed: {hung_processes}"
        )

    def __enter__(self):
        try:
            return self.start()
        except BaseException:
            self.stop()
            raise

    def __exit__(self, *details):
        self.stop()

    def is_ready(self, host):
        return call(host.addresses["admin"], "GET", "/readyz").status == 200

    # -- operators ---------------------------------------------------------

    def admin(self, host, method, path, body=b"", timeout_s=10):
        """Request a page of a host's admin address."""
        headers = {"authorization": f"Bearer {ADMIN_TOKEN}"}
        address = self.processes[host].addresses["admin"]
        return call(address, method, path, body, headers, timeout_s)

    def leader(self):
        """Wait for a leader and return its host name."""

        def find():
            for host in self.hosts("control"):
                if not host.is_running:
                    continue
                with contextlib.suppress(OSError):
                    reply = self.admin(host.name, "GET", "/status", timeout_s=2)
                    if reply.status == 200:
                        return host.name
            return None

        return wait_until(find, what="a leader")

    def apply(self, rules, change_id=None, base_version=None):
        """Propose a configuration and return the answer."""
        change_id = change_id or os.urandom(8).hex()

        def propose():
            leader = self.leader()
            version = base_version
            if version is None:
                version = self.admin(leader, "GET", "/config").json()["version"]
            body = {
                "change_id": change_id,
                "base_version": version,
                "author": "test",
                "content": rules,
            }
            reply = self.admin(leader, "POST", "/config", json.dumps(body).encode())
            return reply if reply.status in (200, 409, 422) else None

        return wait_until(propose, what="configuration accepted")

    # -- callers -----------------------------------------------------------

    def request(self, entry, path, body, account="counter", method="POST", **headers):
        """Send a caller's request to an entry host."""
        fields = {"authorization": f"Bearer key-{account}"}
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        address = self.processes[entry].addresses["callers"]
        return call(address, method, path, data, fields, timeout_s=60)

    def complete(self, entry, prompt, max_tokens=16, model="m1", **options):
        """Ask for a plain completion."""
        body = {"model": model, "prompt": prompt, "max_tokens": max_tokens}
        return self.request(entry, "/v1/completions", body, **options)

    def runs(self, name):
        """Return the records of the requests that a stand-in got."""
        path = Path(self.processes[name].addresses["runs"])
        if not path.exists():
            return []
        return [json.loads(line) for line in path.read_text().splitlines() if line]
