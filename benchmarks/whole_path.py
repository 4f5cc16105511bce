"""Cost of the whole path: entry host, placement and claim against a direct call.

Runs real processes on this machine: three control hosts, entry hosts, fast stand-ins.

Usage::

    PYTHONPATH=src python -m benchmarks.whole_path
"""

import json
import statistics
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "features"))

from support.deployment import Deployment, call  # noqa: E402

REQUESTS = 300
WARM_UP = 30
LOAD_S = 6
CLOCK_TICKS_PER_S = 100
BODY = {"model": "m1", "prompt": "Value a nine carat ring", "max_tokens": 1}
TRANSFER = b'{"amount_pence": 5}'


def deployment(folder, entry_hosts):
    """Return a deployment whose upstreams are fast."""
    made = Deployment(folder, control_hosts=3, entry_hosts=entry_hosts)
    for number in (1, 2):
        made.add_engine(
            f"engine-{number}",
            f"dc{number}",
            prefill_tokens_per_s=1_000_000,
            decode_tokens_per_s=10_000,
            kv_capacity_tokens=1_000_000,
            max_slots=64,
        )
        made.add_service(f"payout-{number}", f"dc{number}", "payout", call_ms=0)
    return made


def timed(send, count=REQUESTS):
    """Return the times of single requests, in milliseconds, sorted."""
    for number in range(WARM_UP):
        send(f"warm-{number}")
    times_ms = []
    for number in range(count):
        started_s = time.perf_counter()
        reply = send(f"timed-{number}-{started_s}")
        times_ms.append((time.perf_counter() - started_s) * 1000)
        assert reply.status == 200, reply
    return sorted(times_ms)


def summary(times_ms):
    """Return the median and the 99th percentile."""
    return {
        "p50_ms": round(statistics.median(times_ms), 2),
        "p99_ms": round(times_ms[int(len(times_ms) * 0.99)], 2),
    }


def latency(made):
    """Compare single requests through an entry host with direct calls."""
    engine = made.processes["engine-1"].addresses["listen"]
    service = made.processes["payout-1"].addresses["listen"]
    body = json.dumps(BODY).encode()

    def direct(key):
        return call(engine, "POST", "/v1/completions", body)

    def direct_service(key):
        return call(service, "POST", "/transfers", TRANSFER)

    def through(key):
        return made.request("entry-1", "/v1/completions", body)

    def through_claimed(key):
        return made.request("entry-1", "/v1/completions", body, idempotency_key=key)

    def through_service(key):
        path = "/services/payout/transfers"
        return made.request("entry-1", path, TRANSFER, idempotency_key=key)

    cases = {
        "engine, direct": direct,
        "engine, through an entry host": through,
        "engine, with a claim": through_claimed,
        "service, direct": direct_service,
        "service, with a claim": through_service,
    }
    return {name: summary(timed(send)) for name, send in cases.items()}


def processor_s(process):
    """Return the processor time that a process has used."""
    fields = Path(f"/proc/{process.popen.pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / CLOCK_TICKS_PER_S


def memory_mb(process):
    """Return the resident memory of a process."""
    lines = Path(f"/proc/{process.popen.pid}/status").read_text().splitlines()
    line = next(one for one in lines if one.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


def throughput(made, callers, is_claimed):
    """Load entry-1 from several callers; return rates and costs a request."""
    stop_s = time.monotonic() + LOAD_S
    body = json.dumps(BODY).encode()

    def send_all(number):
        done = 0
        while time.monotonic() < stop_s:
            options = {}
            if is_claimed:
                options["idempotency_key"] = f"load-{callers}-{number}-{done}"
            reply = made.request("entry-1", "/v1/completions", body, **options)
            done += reply.status == 200
        return done

    before = {one.name: processor_s(one) for one in made.hosts()}
    with ThreadPoolExecutor(callers) as pool:
        done = sum(pool.map(send_all, range(callers)))
    used = {one.name: processor_s(one) - before[one.name] for one in made.hosts()}
    control_s = sum(used[one.name] for one in made.hosts("control"))
    return {
        "callers": callers,
        "is_claimed": is_claimed,
        "requests_per_s": round(done / LOAD_S, 1),
        "entry_us_per_request": round(used["entry-1"] / done * 1e6),
        "control_us_per_request": round(control_s / done * 1e6),
    }


def idle(made, seconds=5):
    """Return what each host uses while no request comes."""
    before = {one.name: processor_s(one) for one in made.hosts()}
    time.sleep(seconds)
    return {
        one.name: {
            "processor_percent": round(
                (processor_s(one) - before[one.name]) / seconds * 100, 2
            ),
            "memory_mb": round(memory_mb(one), 1),
        }
        for one in made.hosts()
    }


def main():
    """Run all measurements and print them as JSON."""
    results = {}
    with tempfile.TemporaryDirectory() as folder, deployment(folder, 2) as made:
        results["idle"] = idle(made)
        results["latency"] = latency(made)
        results["throughput"] = [
            throughput(made, callers, is_claimed)
            for is_claimed in (False, True)
            for callers in (1, 16, 64)
        ]
        results["after"] = idle(made)
    for entry_hosts in (6, 12):
        with (
            tempfile.TemporaryDirectory() as folder,
            deployment(folder, entry_hosts) as made,
        ):
            results[f"idle with {entry_hosts} entry hosts"] = idle(made)
    print(json.dumps(results, indent=2))


if __name__ == "__main__":
    main()
