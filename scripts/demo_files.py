"""Writes the settings files of a small local deployment into a folder."""

import contextlib
import hashlib
import itertools
import random
import socket
import sys
from pathlib import Path

HOST_IP = "127.0.0.1"
PORTS = range(20_000, 32_000)
ADMIN_TOKEN = "demo-operators-token"
CALLER_KEYS = {"counter": "demo-counter-key", "drafting": "demo-drafting-key"}
CONTROL_HOSTS = {"control-1": "cardiff", "control-2": "swansea", "control-3": "newport"}
ENTRY_HOSTS = {"entry-1": "cardiff", "entry-2": "swansea"}
ENGINES = {
    "engine-fast": ("cardiff", 8000, 80),
    "engine-slow": ("swansea", 2000, 20),
}


def free_addresses(count: int) -> list[str]:
    """Return free addresses on this machine.

    The ports are below the kernel's ephemeral range, so that no outgoing connection
    takes one before its program listens.
    """
    first = random.choice(PORTS)
    addresses = []
    for port in itertools.chain(range(first, PORTS.stop), PORTS):
        if len(addresses) == count:
            break
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST_IP, port))
            addresses.append(f"{HOST_IP}:{port}")
    return addresses


class DemoFiles:
    """Settings files of the demonstration and the addresses of its processes.

    :param folder: folder to write the files to.
    """

    def __init__(self, folder: Path):
        self.folder = folder
        self.hosts = CONTROL_HOSTS | ENTRY_HOSTS
        names = [f"{kind} {host}" for host in self.hosts for kind in ("peer", "admin")]
        names += [f"callers {host}" for host in ENTRY_HOSTS]
        names += [*ENGINES, "payout-1"]
        self.addresses = dict(zip(names, free_addresses(len(names)), strict=True))

    def write_all(self) -> None:
        """Write every file."""
        for host in self.hosts:
            self._write(f"{host}.ini", self._host(host))
        for name, (_, prefill, decode) in ENGINES.items():
            engine = f"[engine]\nmodels = small\nprefill_tokens_per_s = {prefill}\n"
            engine += f"decode_tokens_per_s = {decode}\n"
            self._write(f"{name}.ini", self._standin(name, "engine") + engine)
        self._write("payout-1.ini", self._standin("payout-1", "service"))
        self._write("rules.ini", self._rules())
        self._write("ctl.ini", self._ctl())
        callers = [self.addresses[f"callers {host}"] for host in ENTRY_HOSTS]
        self._write("callers.txt", "\n".join(callers) + "\n")

    def _write(self, name: str, text: str) -> None:
        (self.folder / name).write_text(text, encoding="utf-8")

    def _host(self, host: str) -> str:
        lines = ["[host]", f"name = {host}", f"data_centre = {self.hosts[host]}"]
        lines += [f"listen_address = {self.addresses[f'peer {host}']}"]
        lines += [f"admin_address = {self.addresses[f'admin {host}']}"]
        lines += [f"admin_token = {ADMIN_TOKEN}", "[tls]", "is_off = true"]
        if host in ENTRY_HOSTS:
            lines += ["[callers]"]
            lines += [f"listen_address = {self.addresses[f'callers {host}']}"]
            lines += ["drain_grace_ms = 500"]
        else:
            lines += ["[storage]", f"data_folder = {self.folder / host}"]
        for peer in self.hosts:
            if peer != host:
                lines += self._peer(peer)
        return "\n".join(lines) + "\n"

    def _peer(self, peer: str) -> list[str]:
        role = "entry" if peer in ENTRY_HOSTS else "control"
        return [
            f"[peer {peer}]",
            f"role = {role}",
            f"data_centre = {self.hosts[peer]}",
            f"address = {self.addresses[f'peer {peer}']}",
        ]

    def _standin(self, name: str, kind: str) -> str:
        runs = self.folder / f"{name}.runs"
        return (
            f"[standin]\nkind = {kind}\nlisten = {self.addresses[name]}\n"
            f"run_file = {runs}\n"
        )

    def _rules(self) -> str:
        lines = ["# The configuration of the demonstration.", "[policy]"]
        for tier, (name, key) in enumerate(CALLER_KEYS.items(), start=1):
            digest = hashlib.sha256(key.encode()).hexdigest()
            lines += ["", f"[client_account {name}]", f"key_sha256 = {digest}"]
            lines += [f"highest_tier = {tier}"]
        for name, (data_centre, prefill, decode) in ENGINES.items():
            lines += ["", f"[upstream {name}]", "kind = engine", "models = small"]
            lines += [f"data_centre = {data_centre}"]
            lines += [f"address = {self.addresses[name]}"]
            lines += [f"prefill_tokens_per_s = {prefill}"]
            lines += [f"decode_tokens_per_s = {decode}"]
        lines += ["", "[service payout]", "non_idempotent_methods = POST"]
        lines += ["", "[upstream payout-1]", "kind = service", "service = payout"]
        lines += ["data_centre = cardiff", f"address = {self.addresses['payout-1']}"]
        return "\n".join(lines) + "\n"

    def _ctl(self) -> str:
        lines = ["[operator]", "author = demo", f"token = {ADMIN_TOKEN}"]
        lines += ["[tls]", "is_off = true"]
        for host, data_centre in self.hosts.items():
            role = "entry" if host in ENTRY_HOSTS else "control"
            lines += [f"[host {host}]", f"role = {role}"]
            lines += [f"data_centre = {data_centre}"]
            lines += [f"admin_address = {self.addresses[f'admin {host}']}"]
        return "\n".join(lines) + "\n"


if __name__ == "__main__":
    DemoFiles(Path(sys.argv[1])).write_all()
