"""Runs the soak test: ``python -m soak --seeds 1,2,3 --seconds 20``.

The logs of a failed seed stay in ``run/soak-SEED``; `soak/SEEDS.txt` lists each seed
that ever failed, with its cause in a line.
"""

import asyncio
import random
import shutil
import signal
import sys
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import fire

from .builds import Builds
from .burdens import LIMITS, Burdens
from .callers import VERSIONS, Callers, Operator, Record
from .deployment import Deployment
from .links import LinkFault, Links
from .rollouts import SoakRollout
from .untrue_answers import UNTRUE_ANSWERS, UntrueUpstream
from .world import NETWORK, UpstreamList

START_TIMEOUT_S = 15.0
RECOVERY_S = 8.0
MIN_PAUSE_S = 0.3
MAX_PAUSE_S = 2.0
MAX_UNTRUE_PAUSE_S = 0.8
SILENCE_S = (0.8, 2.2)
MIN_SERVED_SHARE = 0.25
MAX_ENTRY_KB = 64 * 1024
MAX_LIMITED = 2
LINKED_SHARE = 0.5

RUN_FOLDER = Path("run")


@dataclass
class Sizes:
    """Numbers of processes and the request rate of a run."""

    controls: int = 4
    entries: int = 3
    engines: int = 4
    services: int = 3
    requests_per_s: float = 40.0


class Soak:
    """Run of a seed.

    :param old_source: source folder of an older build that runs a part of the hosts;
        empty for none.
    """

    def __init__(self, seed, seconds, sizes, old_source=""):
        self.seed = seed
        self.random = random.Random(seed)
        self.seconds = seconds
        self.sizes = sizes
        self.folder = RUN_FOLDER / f"soak-{seed}"
        shutil.rmtree(self.folder, ignore_errors=True)
        self.folder.mkdir(parents=True)
        self.runs = Counter()
        self.plays = {}
        self.burdens = Burdens()
        self.quiet_s = 0.0
        self.record = Record()
        self.deployment = Deployment(
            self.folder.resolve(), sizes.controls, sizes.entries
        )
        self.upstreams = [
            self._upstream(f"m{n}", "models", n, version=VERSIONS[n % len(VERSIONS)])
            for n in range(1, sizes.engines + 1)
        ] + [
            self._upstream(f"l{n}", "ledger", 100 + n)
            for n in range(1, sizes.services + 1)
        ]
        self.operator = Operator(self.deployment.controls, self.record, self.random)
        self.events = []
        self._untrue_answers = []
        self.faults = FAULTS
        self.links = None
        self.rollout = SoakRollout(
            seed,
            self.deployment,
            self.record.faults,
            self._log,
            is_allowed=not old_source,
        )
        self.rollout.build_upstreams(
            sizes.services, runs=self.runs, plays=self.plays, burdens=self.burdens
        )
        self.listed = list(self.upstreams)
        self.all_upstreams = [*self.upstreams, *self.rollout.upstreams]
        # Other draws of a seed don't depend on this one.
        if random.Random(f"links {seed}").random() < LINKED_SHARE:
            self.links = Links(self.deployment, [u.ip for u in self.all_upstreams])
            self.faults = (*FAULTS, Soak.lose_links, Soak.lose_links)
        self.builds = None
        if old_source:
            self.builds = Builds(self.deployment, old_source, seed, self._log)

    def _upstream(self, name, service, number, **options):
        draws = random.Random(self.random.random())
        ip = f"{NETWORK}.8.{number}"
        return UntrueUpstream(
            name,
            service,
            ip,
            self.runs,
            draws=draws,
            plays=self.plays,
            burdens=self.burdens,
            **options,
        )

    async def run(self):
        """Run the seed and return the violated guarantees."""
        upstream_list = UpstreamList(self.listed)
        await upstream_list.start()
        for upstream in self.all_upstreams:
            await upstream.start()
        if self.links is not None:
            await self.links.start()
        await self.deployment.start()
        try:
            await self.operator.change(START_TIMEOUT_S)
            await asyncio.sleep(2.0)
            await self._inject_faults()
        finally:
            await self.operator.close()
            await self.deployment.stop()
            if self.links is not None:
                await self.links.stop()
            await asyncio.gather(*self.burdens.tasks)
            for upstream in self.all_upstreams:
                await upstream.stop()
            await upstream_list.stop()
        self._check_runs()
        self._check_surroundings()
        self.record.faults.extend(self.burdens.faults(self.quiet_s))
        return self.record.faults

    async def _inject_faults(self):
        loop = asyncio.get_running_loop()
        callers = Callers(self.deployment.entries, self.record, self.random)
        traffic = asyncio.create_task(
            callers.run(self.seconds + RECOVERY_S, self.sizes.requests_per_s)
        )
        end_s = loop.time() + self.seconds
        rollout = asyncio.create_task(self.rollout.run(self.listed, end_s + RECOVERY_S))
        await asyncio.gather(
            self._inject(self.faults, MAX_PAUSE_S, end_s),
            self._inject((Soak.answer_untruly,), MAX_UNTRUE_PAUSE_S, end_s),
            self._fall_silent(end_s),
            self._replace_hosts(end_s),
        )
        self.quiet_s = loop.time()
        served = self.record.served
        await traffic
        await rollout
        if self.record.served == served:
            self.record.faults.append("no request was served after the last fault")
        await self._check_read()

    async def _fall_silent(self, end_s):
        """Let sound upstreams send nothing for a moment, one after the other."""
        # Other draws of a seed don't depend on these.
        draws = random.Random(f"silence {self.seed}")
        loop = asyncio.get_running_loop()
        while loop.time() < end_s:
            await asyncio.sleep(draws.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
            upstream = draws.choice(self.upstreams)
            self._log("silent", upstream.name)
            upstream.is_silent = True
            await asyncio.sleep(draws.uniform(*SILENCE_S))
            upstream.is_silent = False

    async def _inject(self, faults, max_pause_s, end_s):
        loop = asyncio.get_running_loop()
        fault_tasks = set()
        while loop.time() < end_s:
            fault = self.random.choice(faults)
            fault_tasks.add(asyncio.create_task(fault(self)))
            if self.random.random() < 0.5:
                await self.operator.read()
            await asyncio.sleep(self.random.uniform(MIN_PAUSE_S, max_pause_s))
        await asyncio.gather(*fault_tasks)

    async def _replace_hosts(self, end_s):
        if self.builds is not None:
            await self.builds.replace_hosts(end_s)

    async def _check_read(self):
        for _ in range(50):
            if await self.operator.read():
                return
            await asyncio.sleep(0.2)
        self.record.faults.append(
            "the configuration can't be read after the last fault"
        )

    def _check_runs(self):
        record = self.record
        for request_id in record.non_repeatable & self.runs.keys():
            count = self.runs[request_id]
            if count > 1:
                self._report("TWICE", request_id, f"was executed {count} times")
            if status := record.refused.get(request_id):
                text = f"was answered {status} and executed {count} times"
                self._report("REFUSED", request_id, text)
        for request_id in self.runs.keys() - record.ids:
            self._report("UNASKED", request_id, "was executed and never sent")

    def _report(self, rule, request_id, text):
        plays = "; ".join(self.plays.get(request_id, ["no untrue answer"]))
        self.record.faults.append(f"{rule} {request_id} {text} ({plays})")

    @property
    def refused_but_ran(self):
        """Return the numbers of refused requests that were executed, by kind."""
        ids = self.record.refused.keys() & self.runs.keys()
        return dict(Counter(request_id.rsplit("-", 2)[0] for request_id in ids))

    @property
    def played(self):
        """Return the numbers of untrue answers, by kind."""
        notes = [note for notes in self.plays.values() for note in notes]
        kinds = [note.partition(" ")[0] for note in notes]
        return {kind: kinds.count(kind) for kind in UNTRUE_ANSWERS}

    @property
    def replacements(self):
        """Return the numbers of restarts with another build, by direction."""
        return dict(self.builds.restarts) if self.builds is not None else {}

    @property
    def peak_kb(self):
        """Return the peak memory of each entry host."""
        return {host.name: host.peak_kb for host in self.deployment.entries}

    def _check_surroundings(self):
        record = self.record
        for name, peak_kb in self.peak_kb.items():
            if peak_kb > MAX_ENTRY_KB:
                text = f"{name} used {peak_kb} KB of memory, over {MAX_ENTRY_KB}"
                record.faults.append(text)
        for upstream in self.all_upstreams:
            for stray in upstream.strays:
                record.faults.append(f"{upstream.name} got no request: {stray[:80]!r}")
            if upstream.tenants - {("club", "")}:
                record.faults.append(
                    f"{upstream.name} got tenants and keys {upstream.tenants}"
                )
        if record.served < MIN_SERVED_SHARE * record.sent:
            record.faults.append(
                f"only {record.served} of {record.sent} requests were served"
            )

    def _log(self, *words):
        self.events.append(" ".join(str(word) for word in words))

    async def _pause(self, host, signal_number):
        self._log("pause", host.name)
        host.send_signal(signal_number)
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        host.send_signal(signal.SIGCONT)

    async def pause_host(self):
        """Pause a host by SIGSTOP for a short time."""
        await self._pause(self.random.choice(self.deployment.hosts), signal.SIGSTOP)

    async def kill_entry(self):
        """Kill an entry host and restart it."""
        host = self.random.choice(self.deployment.entries)
        self._log("kill", host.name)
        await host.stop(signal.SIGKILL)
        await host.start()

    async def kill_controls(self):
        """Kill one control host, or all, and restart them."""
        count = self.random.choice((1, 1, len(self.deployment.controls)))
        hosts = self.random.sample(self.deployment.controls, count)
        self._log("kill", *[host.name for host in hosts])
        await asyncio.gather(*[host.stop(signal.SIGKILL) for host in hosts])
        for host in hosts:
            await host.start()

    async def restart_entry(self):
        """Stop an entry host gracefully and restart it."""
        host = self.random.choice(self.deployment.entries)
        self._log("restart", host.name)
        await host.stop(signal.SIGTERM)
        await host.start()

    async def disturb_peer_traffic(self):
        """Block, slow or reset the incoming peer connections of a host."""
        host = self.random.choice(self.deployment.hosts)
        mode = self.random.choice(("silent", "slow", "reset"))
        self._log(mode, host.name)
        if mode == "reset":
            host.proxy.reset()
            return
        host.proxy.mode = mode
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        host.proxy.mode = ""

    async def disturb_upstream(self):
        """Make an upstream hang, reject, cut its answers, leave or restart."""
        upstream = self.random.choice(self.upstreams)
        faults = ("hang", "reject", "cut", "end", "leave", "restart")
        fault = self.random.choice(faults)
        self._log(fault, upstream.name)
        if fault == "leave":
            upstream.state = "draining"
            await asyncio.sleep(self.random.uniform(0.5, 2.0))
        if fault in ("leave", "restart"):
            await upstream.restart(self.random.uniform(0.1, 1.0))
            return
        upstream.fault = fault
        await asyncio.sleep(self.random.uniform(0.5, 2.0))
        upstream.fault = ""

    async def break_streams(self):
        """Make an engine break off its streams, visibly or inside an event."""
        engines = [u for u in self.upstreams if u.service == "models"]
        engine = self.random.choice(engines)
        engine.fault = self.random.choice(("cut", "end"))
        self._log(engine.fault, engine.name)
        await asyncio.sleep(self.random.uniform(1.0, 3.0))
        engine.fault = ""

    async def answer_untruly(self):
        """Make an upstream answer untruly, too much, too early or without end."""
        if not self._untrue_answers:
            self._untrue_answers = self.random.sample(
                UNTRUE_ANSWERS, len(UNTRUE_ANSWERS)
            )
        untrue = self._untrue_answers.pop()
        # Only requests to the ledger have long bodies.
        upstreams = [u for u in self.upstreams if u.service == "ledger"]
        if untrue != "early":
            upstreams = self.upstreams
        upstream = self.random.choice(upstreams)
        upstream.untrue = untrue
        self._log(untrue, upstream.name)
        await asyncio.sleep(self.random.uniform(1.0, 3.0))
        upstream.untrue = ""

    async def name_limit(self):
        """Let an upstream name a limit from now on; no more than two do so."""
        upstream = self.random.choice(self.upstreams)
        if len(self.burdens.limits) < MAX_LIMITED:
            limit = self.random.choice(LIMITS)
            self._log("limit", limit, upstream.name)
            self.burdens.name_limit(upstream.name, limit)

    async def lose_links(self):
        """Let the links of an entry host to some or all upstreams fail for a time."""
        host = self.random.choice(self.deployment.entries)
        fault = self.random.choice(list(LinkFault)[1:])
        count = self.random.choice((len(self.upstreams), len(self.upstreams) // 2))
        ips = [upstream.ip for upstream in self.random.sample(self.upstreams, count)]
        self._log("links", fault, host.name, count)
        await self.links.set_fault(host, ips, fault)
        await asyncio.sleep(self.random.uniform(1.0, 5.0))
        await self.links.set_fault(host, ips, LinkFault.NONE)

    async def change(self):
        """Change the configuration."""
        self._log("change")
        await self.operator.change()


FAULTS = (
    Soak.pause_host,
    Soak.kill_entry,
    Soak.kill_controls,
    Soak.restart_entry,
    Soak.disturb_peer_traffic,
    Soak.disturb_upstream,
    Soak.break_streams,
    Soak.break_streams,
    Soak.change,
    Soak.name_limit,
)


def play(
    seeds: str = "1",
    seconds: float = 15.0,
    first: int = 0,
    count: int = 0,
    old_source: str = "",
):
    """Run seeds one after the other; exit with 1 if a guarantee was violated.

    :param seeds: seeds, separated by commas.
    :param seconds: duration of the fault injection for each seed.
    :param first: first seed, with ``count``.
    :param count: number of consecutive seeds; 0 uses ``seeds``.
    :param old_source: source folder of an older build that runs a part of the hosts
        until they are replaced.
    """
    seed_numbers = seeds if isinstance(seeds, (tuple, list)) else str(seeds).split(",")
    if count:
        seed_numbers = range(first, first + count)
    failed = []
    for seed in seed_numbers:
        soak = Soak(int(seed), seconds, Sizes(), old_source)
        faults = asyncio.run(soak.run())
        record = soak.record
        print(
            f"seed {seed}: sent {record.sent}, served {record.served}, "
            f"refused {len(record.refused)}, faults {len(faults)}; untrue answers "
            f"{soak.played}, refused but executed {soak.refused_but_ran}, "
            f"peak memory in KB {soak.peak_kb}, crashes by a part "
            f"{len(soak.burdens.crashes_s)}, limits {soak.burdens.limits}, "
            f"replacements {soak.replacements}, rollout {soak.rollout}",
            flush=True,
        )
        if faults:
            failed.append(seed)
            print(*soak.events, sep="\n")
            print(*faults[:20], sep="\n", flush=True)
        else:
            shutil.rmtree(soak.folder)
    print(f"{len(failed)} of {len(seed_numbers)} seeds failed")
    if failed:
        sys.exit(1)


if __name__ == "__main__":
    fire.Fire(play)
