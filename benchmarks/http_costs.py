"""Processor time and added latency of the HTTP path through one entry process.

Run ``python benchmarks/http_costs.py``. It uses three processes: callers, a relay of
``HttpServer`` and ``HttpClient``, and an upstream that answers immediately or streams
at a steady pace. Only the relay's processor time is counted. Figures of different
runs are not comparable; compare figures of the same run only.
"""

import asyncio
import cProfile
import json
import pstats
import statistics
import subprocess
import sys
import time
from dataclasses import dataclass

import fire

from peridotfront.engine_client import HttpClient
from peridotfront.http_server import HttpServer

HOST_IP = "127.0.0.1"
EVENT = b"data: " + json.dumps({"choices": [{"delta": {"content": "abcd"}}]}).encode()
CHUNK_BODY = EVENT.ljust(150) + b"\n\n"
CHUNK = b"%x\r\n%b\r\n" % (len(CHUNK_BODY), CHUNK_BODY)
STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
LAST_CHUNK = b"\r\n0\r\n\r\n"
READ_BYTES = 64 * 1024
SMALL_BYTES = 500
LARGE_BYTES = 100 * SMALL_BYTES
CALLERS = 16


@dataclass(frozen=True, slots=True)
class Load:
    """Load that the callers generate.

    :param callers: number of concurrent callers.
    :param requests_per_caller: number of requests that each caller sends in turn.
    :param body_bytes: size of the request and of an answer that is not streamed.
    :param chunks: number of chunks of a streamed answer; 0 requests a plain answer.
    :param pace_ms: time between the chunks of a stream.
    """

    callers: int = CALLERS
    requests_per_caller: int = 1
    body_bytes: int = SMALL_BYTES
    chunks: int = 0
    pace_ms: int = 0


class Upstream(asyncio.Protocol):
    """Upstream protocol that echoes the body or sends a stream at a steady pace."""

    def connection_made(self, transport):
        """Create an empty buffer."""
        self.transport = transport
        self.data = bytearray()

    def data_received(self, data):
        """Answer once the request is complete."""
        self.data += data
        head, separator, body = bytes(self.data).partition(b"\r\n\r\n")
        if not separator or len(body) < content_length(head):
            return
        self.data.clear()
        _, _, options = head.split(b" ", 2)[1].partition(b"?")
        if options:
            chunks, pace_ms = map(int, options.split(b"-"))
            self.transport.write(STREAM_HEAD)
            asyncio.get_running_loop().call_later(
                pace_ms / 1000, self.send_chunk, chunks, pace_ms
            )
            return
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        self.transport.write(answer + body)

    def send_chunk(self, remaining_chunks, pace_ms):
        """Send a chunk and schedule the next."""
        if not remaining_chunks:
            self.transport.write(b"0\r\n\r\n")
            return
        self.transport.write(CHUNK)
        asyncio.get_running_loop().call_later(
            pace_ms / 1000, self.send_chunk, remaining_chunks - 1, pace_ms
        )


def content_length(head):
    """Return the content length in a message head, or 0."""
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line[15:])
    return 0


async def call_once(reader, writer, load):
    """Send a request and return its latency in seconds."""
    options = f"?{load.chunks}-{load.pace_ms}" if load.chunks else ""
    body = b"x" * load.body_bytes
    head = (
        f"POST /v1/completions{options} HTTP/1.1\r\nHost: a\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    started_s = time.perf_counter()
    writer.write(head.encode() + body)
    answer = await reader.readuntil(b"\r\n\r\n")
    assert answer.startswith(b"HTTP/1.1 200"), answer
    if load.chunks:
        stream = bytearray()
        while not stream.endswith(LAST_CHUNK):
            stream += await reader.read(READ_BYTES)
        assert stream.count(CHUNK_BODY) == load.chunks
    else:
        await reader.readexactly(content_length(answer))
    return time.perf_counter() - started_s


async def run_all_callers(port, load):
    """Run all callers and return the sorted latencies in ms."""

    async def run_caller():
        reader, writer = await asyncio.open_connection(HOST_IP, port, limit=2**20)
        latencies = [
            await call_once(reader, writer, load)
            for _ in range(load.requests_per_caller)
        ]
        writer.close()
        return latencies

    caller_latencies = await asyncio.gather(
        *(run_caller() for _ in range(load.callers))
    )
    return sorted(
        1000 * latency for latencies in caller_latencies for latency in latencies
    )


async def serve_upstream():
    """Run the upstream until standard input is closed."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(Upstream, HOST_IP, 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    await reader.read()


class Relay:
    """Relay of requests to one upstream."""

    def __init__(self, address):
        self.client = HttpClient()
        self.server = HttpServer(self.handle)
        self.address = address

    async def handle(self, exchange):
        """Forward a request and return its answer."""
        request = exchange.request
        answer = await self.client.send(
            self.address, request.method, request.target, request.headers, request.body
        )
        if answer.header("content-length"):
            body = await answer.read()
            await exchange.respond(answer.status_code, answer.headers, body)
            return
        await exchange.start(answer.status_code, answer.headers)
        async for data in answer.chunks():
            await exchange.write(data)
        await exchange.finish()


async def start_process(*arguments):
    """Start this file in another process."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        __file__,
        *map(str, arguments),
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )


async def run_caller_process(port, load):
    """Run the callers in another process and return the latencies in ms."""
    options = [f"--{name}={getattr(load, name)}" for name in Load.__slots__]
    process = await start_process("callers", port, *options)
    output, _ = await process.communicate()
    return json.loads(output)


def median_and_p99(latencies):
    """Return the median and the 99th percentile of sorted latencies."""
    return statistics.median(latencies), latencies[int(len(latencies) * 0.99) - 1]


async def measure_plain(relay, upstream_port, name, load):
    """Print the cost of plain requests through the relay, compared with direct ones."""
    direct = median_and_p99(await run_caller_process(upstream_port, load))
    started_s = time.process_time()
    latencies = await run_caller_process(relay.server.port, load)
    cpu_s = time.process_time() - started_s
    relayed = median_and_p99(latencies)
    single_caller = await run_caller_process(
        relay.server.port, Load(1, 200, load.body_bytes)
    )
    single_caller_direct = await run_caller_process(
        upstream_port, Load(1, 200, load.body_bytes)
    )
    added_ms = statistics.median(single_caller) - statistics.median(
        single_caller_direct
    )
    print(
        f"{name}: {1e6 * cpu_s / len(latencies):.0f} us of processor a request; "
        f"{load.callers} callers p50 {relayed[0]:.2f} ms ({relayed[0] / direct[0]:.1f}"
        f" x direct), p99 {relayed[1]:.2f} ms ({relayed[1] / direct[1]:.1f} x direct);"
        f" one caller adds {added_ms:.2f} ms"
    )


async def measure_streams(relay, name, load):
    """Print the cost of streamed answers through the relay."""
    started_s, started_wall_s = time.process_time(), time.perf_counter()
    latencies = await run_caller_process(relay.server.port, load)
    cpu_s = time.process_time() - started_s
    wall_s = time.perf_counter() - started_wall_s
    chunks = load.chunks * len(latencies)
    ideal_ms = load.chunks * load.pace_ms
    print(
        f"{name}: {1e6 * cpu_s / chunks:.1f} us of processor a chunk at "
        f"{chunks / wall_s:.0f} chunks/s ({100 * cpu_s / wall_s:.0f}% of a core);"
        f" p99 duration {median_and_p99(latencies)[1] / ideal_ms:.2f} x the pace"
    )


async def measure(profile):
    """Run the measurements, or profile those that ``profile`` names."""
    upstream = await start_process("upstream")
    upstream_port = int(await upstream.stdout.readline())
    relay = Relay(f"{HOST_IP}:{upstream_port}")
    await relay.server.start(HOST_IP)
    profiler = cProfile.Profile(time.process_time)
    if profile:
        profiler.enable()
    for name, load in PLAIN_LOADS.items():
        if profile in ("", "plain"):
            await measure_plain(relay, upstream_port, name, load)
    for name, load in STREAM_LOADS.items():
        if profile in ("", "streams"):
            await measure_streams(relay, name, load)
    if profile:
        profiler.disable()
        pstats.Stats(profiler).sort_stats("tottime").print_stats(28)
    await relay.client.close()
    await relay.server.close()
    upstream.stdin.close()
    await upstream.wait()


PLAIN_LOADS = {
    "small bodies (500 B)": Load(requests_per_caller=200, body_bytes=SMALL_BYTES),
    "large bodies (50 kB)": Load(requests_per_caller=60, body_bytes=LARGE_BYTES),
}
STREAM_LOADS = {
    "20 streams of 200 chunks, 27 ms apart": Load(20, 1, 500, 200, 27),
    "200 streams of 200 chunks, 27 ms apart": Load(200, 1, 500, 200, 27),
    "400 streams of 200 chunks, 27 ms apart": Load(400, 1, 500, 200, 27),
    "650 streams of 200 chunks, 27 ms apart": Load(650, 1, 500, 200, 27),
}


class Commands:
    """Commands for the processes of this benchmark."""

    def upstream(self):
        """Run the upstream."""
        asyncio.run(serve_upstream())

    def callers(self, port, **options):
        """Run the callers."""
        print(json.dumps(asyncio.run(run_all_callers(port, Load(**options)))))

    def measure(self, profile=""):
        """Measure; ``--profile=plain`` or ``--profile=streams`` prints a profile."""
        asyncio.run(measure(profile))


if __name__ == "__main__":
    if len(sys.argv) == 1:
        sys.argv.append("measure")
    fire.Fire(Commands)
