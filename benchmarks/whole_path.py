"""Cost of the complete request path (entry host, placement, claim) over a direct call.

Runs real processes on this machine: three control hosts, entry hosts and stand-ins.

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
WARM_UP_REQUESTS = 30
LOAD_DURATION_S = 6
CLOCK_TICKS_PER_S = 100
BODY = {"model": "m1", "prompt": "Value a nine carat ring", "max_tokens": 1}
TRANSFER = b'{"amount_pence": 5}'


def build_deployment(folder, entry_hosts):
    """Return a deployment with fast stand-in upstreams."""
    deployment = Deployment(folder, control_hosts=3, entry_hosts=entry_hosts)
    for number in (1, 2):
        deployment.add_engine(
            f"engine-{number}",
            f"dc{number}",
            prefill_tokens_per_s=1_000_000,
            decode_tokens_per_s=10_000,
            kv_capacity_tokens=1_000_000,
            max_slots=64,
        )
        deployment.add_service(f"payout-{number}", f"dc{number}", "payout", call_ms=0)
    return deployment


def measure_latencies_ms(send, count=REQUESTS):
    """Return the sorted latencies of sequential requests in milliseconds."""
    for number in range(WARM_UP_REQUESTS):
        send(f"warm-{number}")
    times_ms = []
    for number in range(count):
        started_s = time.perf_counter()
        reply = send(f"timed-{number}-{started_s}")
        times_ms.append((time.perf_counter() - started_s) * 1000)
        assert reply.status == 200, reply
    return sorted(times_ms)


def summary(times_ms):
    """Return the median and the 99th percentile of sorted latencies."""
    return {
        "p50_ms": round(statistics.median(times_ms), 2),
        "p99_ms": round(times_ms[int(len(times_ms) * 0.99)], 2),
    }


def latency(deployment):
    """Measure the latency of requests through an entry host and of direct calls."""
    engine = deployment.processes["engine-1"].addresses["listen"]
    service = deployment.processes["payout-1"].addresses["listen"]
    body = json.dumps(BODY).encode()

    def direct(key):
        return call(engine, "POST", "/v1/completions", body)

    def service_direct(key):
        return call(service, "POST", "/transfers", TRANSFER)

    def via_entry_host(key):
        return deployment.request("entry-1", "/v1/completions", body)

    def via_entry_host_claimed(key):
        return deployment.request(
            "entry-1", "/v1/completions", body, idempotency_key=key
        )

    def service_via_entry_host(key):
        path = "/services/payout/transfers"
        return deployment.request("entry-1", path, TRANSFER, idempotency_key=key)

    cases = {
        "engine, direct": direct,
        "engine, through an entry host": via_entry_host,
        "engine, with a claim": via_entry_host_claimed,
        "service, direct": service_direct,
        "service, with a claim": service_via_entry_host,
    }
    return {name: summary(measure_latencies_ms(send)) for name, send in cases.items()}


def cpu_time_s(process):
    """Return the processor time of a process in seconds."""
    fields = Path(f"/proc/{process.popen.pid}/stat").read_text().split()
    return (int(fields[13]) + int(fields[14])) / CLOCK_TICKS_PER_S


def memory_mb(process):
    """Return the resident memory of a process in MiB."""
    lines = Path(f"/proc/{process.popen.pid}/status").read_text().splitlines()
    line = next(line for line in lines if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


def throughput(deployment, callers, is_claimed):
    """Load entry-1 with concurrent callers; return rates and costs per request."""
    stop_s = time.monotonic() + LOAD_DURATION_S
    body = json.dumps(BODY).encode()

    def send_all(number):
        completed = 0
        while time.monotonic() < stop_s:
            options = {}
            if is_claimed:
                options["idempotency_key"] = f"load-{callers}-{number}-{completed}"
            reply = deployment.request("entry-1", "/v1/completions", body, **options)
            completed += reply.status == 200
        return completed

    before = {host.name: cpu_time_s(host) for host in deployment.hosts()}
    with ThreadPoolExecutor(callers) as pool:
        completed = sum(pool.map(send_all, range(callers)))
    used = {
        host.name: cpu_time_s(host) - before[host.name] for host in deployment.hosts()
    }
    control_s = sum(used[host.name] for host in deployment.hosts("control"))
    return {
        "callers": callers,
        "is_claimed": is_claimed,
        "requests_per_s": round(completed / LOAD_DURATION_S, 1),
        "entry_us_per_request": round(used["entry-1"] / completed * 1e6),
        "control_us_per_request": round(control_s / completed * 1e6),
    }


def idle(deployment, seconds=5):
    """Return the processor time and memory of each host without requests."""
    before = {host.name: cpu_time_s(host) for host in deployment.hosts()}
    time.sleep(seconds)
    return {
        host.name: {
            "processor_percent": round(
                (cpu_time_s(host) - before[host.name]) / seconds * 100, 2
            ),
            "memory_mb": round(memory_mb(host), 1),
        }
        for host in deployment.hosts()
    }


def main():
    """Run all measurements and print them as JSON."""
    results = {}
    with (
        tempfile.TemporaryDirectory() as folder,
        build_deployment(folder, 2) as deployment,
    ):
        results["idle"] = idle(deployment)
        results["latency"] = latency(deployment)
        results["throughput"] = [
            throughput(deployment, callers, is_claimed)
            for is_claimed in (False, True)
            for callers in (1, 16, 64)
        ]
        results["after"] = idle(deployment)
    for entry_hosts in (6, 12):
        with (
            tempfile.TemporaryDirectory() as folder,
            build_deployment(folder, entry_hosts) as deployment,
        ):
            results[f"idle with {entry_hosts} entry hosts"] = idle(deployment)
    print(json.dumps(results, indent=2))


if __name__ == "__main__":
    main()
