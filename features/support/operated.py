"""Deployment of real processes that is operated by the real command line."""

import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

from support.authority import Authority
from support.deployment import ADMIN_TOKEN, Deployment

CTL_TIMEOUT_S = 60
HOST_IP = "127.0.0.1"


@dataclass
class CtlRun:
    """Result of one run of the command line."""

    code: int
    out: str
    err: str


class OperatedDeployment(Deployment):
    """Deployment that is configured and queried by ``peridotfrontctl``.

    :param uses_tls: whether hosts, operators and callers use TLS.
    """

    def __init__(self, folder, uses_tls=False, **options):
        super().__init__(folder, **options)
        self.authority = Authority(self.folder) if uses_tls else None

    def _settings(self, process):
        text = super()._settings(process)
        if self.authority is None or process.program == "standin":
            return text
        certificate_file, key_file = self.authority.issue(process.name, HOST_IP)
        tls = f"ca_file = {self.authority.file}\n"
        tls += f"certificate_file = {certificate_file}\nkey_file = {key_file}\n"
        tls += f"caller_certificate_file = {certificate_file}\n"
        tls += f"caller_key_file = {key_file}\n"
        return text.replace("[tls]\nis_off = true\n", f"[tls]\n{tls}")

    def start(self):
        for process in self.processes.values():
            process.settings_file.write_text(self._settings(process))
            process.start(self.folder)
        self._write_ctl_settings()
        rules = self.folder / "rules.ini"
        rules.write_text(self.rules())
        run = self.ctl("config", "apply", str(rules), "--base_version=0")
        assert run.code == 0, run
        return self

    def _write_ctl_settings(self):
        lines = ["[operator]", "author = ann", f"token = {ADMIN_TOKEN}", "[tls]"]
        tls = "is_off = true"
        if self.authority is not None:
            tls = f"ca_file = {self.authority.file}"
        lines += [tls, "[timing]", "leader_timeout_ms = 20000"]
        for host in self.hosts():
            lines += [f"[host {host.name}]", f"role = {host.program}"]
            lines += [f"data_centre = {host.addresses['data_centre']}"]
            lines += [f"admin_address = {host.addresses['admin']}"]
        (self.folder / "ctl.ini").write_text("\n".join(lines) + "\n")

    def ctl(self, *words):
        """Run one command of the command line."""
        settings_file = Path(self.folder) / "ctl.ini"
        command = [sys.executable, "-m", "peridotfront.ctl"]
        command += ["--settings", str(settings_file), *words]
        done = subprocess.run(
            command, capture_output=True, text=True, timeout=CTL_TIMEOUT_S
        )
        return CtlRun(done.returncode, done.stdout, done.stderr)
