"""Control and entry host processes on loopback addresses."""

import asyncio
import contextlib
import os
import re
import signal
import sys
from pathlib import Path

from .world import LIST_ADDRESS, NETWORK, Proxy

PEER_PORT = 7600
REAL_PEER_PORT = 7700
OPERATORS_PORT = 8229
CALLERS_PORT = 8221
READY_PORT = 8224
METRICS_PORT = 9464
GRACE_S = 8
MEMORY_KB = re.compile(r"(VmHWM|RssFile):\s+(\d+) kB")
ROOT = Path(__file__).resolve().parent.parent
SETTINGS_TEMPLATE = """\
[host]
name = {name}
data_centre = z1
ip = {ip}
[listen]
callers = {callers}
readiness = {readiness}
operators = {operators}
first_peer_port = {peer_port}
peers = {ip}:{real_port}
metrics_port = {metrics_port}
[group]
seeds = {seeds}
is_first_start = {is_first_start}
[storage]
data_folder = {folder}
[upstream_list]
address = {list_address}
[retries]
ratio = 0.2
slack = 50
[shutdown]
grace_s = {grace_s}
"""


class Host:
    """Host process with its settings and the proxy for its peer address.

    ``module`` is the program, ``source`` the source folder of the build that runs it
    from the next start on, and ``variables`` are its environment variables beside the
    inherited ones. ``grace_s`` is the time to stop in its settings, and
    ``extra_settings`` are sections beside the usual ones.
    """

    def __init__(self, role, number, seeds, folder):
        self.role = role
        self.name = f"{role}-{number}"
        self.ip = f"{NETWORK}.{0 if role == 'control' else 1}.{number}"
        self.proxy = Proxy(self.ip, PEER_PORT, REAL_PEER_PORT)
        self.peak_kb = 0
        self.grace_s = GRACE_S
        self.extra_settings = ""
        self.module = f"peridotfront.platform.{role}"
        self.source = ROOT / "src"
        self.variables = {}
        self._seeds = seeds
        self._folder = folder
        self._process = None
        self._starting = asyncio.Lock()

    @property
    def pid(self):
        """Return the process id, or None if the process does not run."""
        process = self._process
        return process.pid if process and process.returncode is None else None

    @property
    def log_path(self):
        """Return the path of the file that has the output of the process."""
        return self._folder / f"{self.name}.log"

    async def start(self, is_first_start=False):
        """Start the process, unless it runs, with its output appended to a log file.

        Faults that overlap may both start a host that each of them has stopped.
        """
        async with self._starting:
            if self.pid is None:
                await self._start(is_first_start)

    async def _start(self, is_first_start):
        arguments, environment = self.prepare(is_first_start)
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *arguments, stdout=log, stderr=log, env=environment
            )

    def prepare(self, is_first_start):
        """Write the settings; return the arguments and variables of the process."""
        settings = self._folder / f"{self.name}.ini"
        settings.write_text(self._settings(is_first_start))
        environment = {
            **os.environ,
            **self.variables,
            "PYTHONPATH": os.pathsep.join([str(self.source), str(ROOT)]),
            "PERIDOTFRONT_SETTINGS": str(settings),
        }
        return (sys.executable, "-m", self.module), environment

    def send_signal(self, signal_number):
        """Send a signal to the process if it runs."""
        if self.pid is not None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(signal_number)

    def measure_memory(self):
        """Keep the peak memory of the process if it is the highest of the run.

        Pages of the libraries' files don't count: all processes share them.
        """
        with contextlib.suppress(OSError):
            status = Path(f"/proc/{self.pid}/status").read_text()
            sizes_kb = {name: int(size) for name, size in MEMORY_KB.findall(status)}
            if "VmHWM" not in sizes_kb:
                # A process that is ending has no memory any more.
                return
            peak_kb = sizes_kb["VmHWM"] - sizes_kb["RssFile"]
            self.peak_kb = max(self.peak_kb, peak_kb)

    async def stop(self, signal_number=signal.SIGTERM, timeout_s=GRACE_S):
        """Stop the process by a signal and kill it after the time limit."""
        if self._process is None:
            return
        self.measure_memory()
        self.send_signal(signal_number)
        try:
            await asyncio.wait_for(self._process.wait(), timeout_s)
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self._process.wait()

    def _settings(self, is_first_start):
        is_control = self.role == "control"
        settings = SETTINGS_TEMPLATE.format(
            name=self.name,
            ip=self.ip,
            callers="" if is_control else f"{self.ip}:{CALLERS_PORT}",
            readiness="" if is_control else f"{self.ip}:{READY_PORT}",
            operators=f"{self.ip}:{OPERATORS_PORT}" if is_control else "",
            peer_port=PEER_PORT,
            real_port=REAL_PEER_PORT,
            metrics_port=METRICS_PORT,
            seeds=",".join(f"{ip}:{OPERATORS_PORT}" for ip in self._seeds),
            is_first_start=str(is_first_start).lower(),
            folder=self._folder / self.name if is_control else "",
            list_address=":".join(str(part) for part in LIST_ADDRESS),
            grace_s=self.grace_s,
        )
        return settings + self.extra_settings


class Deployment:
    """All hosts of a run.

    :param folder: folder for settings, logs and data.
    :param controls: number of control hosts.
    :param entries: number of entry hosts.
    """

    def __init__(self, folder, controls, entries):
        seeds = [f"{NETWORK}.0.{number}" for number in (1, 2, 3)]
        self.controls = [
            Host("control", number + 1, seeds, folder) for number in range(controls)
        ]
        self.entries = [
            Host("entry", number + 1, seeds, folder) for number in range(entries)
        ]

    @property
    def hosts(self):
        """Return all hosts."""
        return [*self.controls, *self.entries]

    async def start(self):
        """Start all proxies and hosts for the first time."""
        for host in self.hosts:
            await host.proxy.start()
            await host.start(is_first_start=True)

    async def stop(self):
        """Kill all hosts and stop their proxies."""
        for host in self.hosts:
            host.send_signal(signal.SIGCONT)
        await asyncio.gather(*[host.stop(signal.SIGKILL) for host in self.hosts])
        for host in self.hosts:
            await host.proxy.stop()
