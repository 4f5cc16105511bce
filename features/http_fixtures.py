"""Fixtures of the HTTP features: a loop, a server, raw callers and upstreams."""

import asyncio
import json
from types import SimpleNamespace

from peridotfront.engine_client import EngineClient
from peridotfront.http_server import HttpLimits, HttpServer

HOST_IP = "127.0.0.1"
TIMEOUT_S = 5
POLL_S = 0.002


def open_runner(context):
    """Open the one loop of the scenario, to be closed after all else."""
    if not hasattr(context, "runner"):
        context.runner = asyncio.Runner()
        context.add_cleanup(context.runner.close)


def run(context, coroutine):
    """Run a coroutine on the one loop of the scenario."""
    open_runner(context)
    return context.runner.run(asyncio.wait_for(coroutine, 4 * TIMEOUT_S))


async def until(condition):
    """Wait for a condition; fails after the patience."""
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(POLL_S)


def serve(context, handler, ssl_context=None, **limits):
    """Start a server for the rest of the scenario."""
    context.server = HttpServer(handler, HttpLimits(**limits), ssl_context)
    run(context, context.server.start(HOST_IP))
    context.address = f"{HOST_IP}:{context.server.port}"
    context.add_cleanup(lambda: run(context, context.server.close()))


def client(context, limits=None, ssl_context=None):
    """Open a client for the rest of the scenario."""
    open_runner(context)
    opened = EngineClient(limits, ssl_context)
    context.add_cleanup(lambda: run(context, opened.close()))
    return opened


async def connect(address):
    """Open a raw connection."""
    host_ip, _, port = address.rpartition(":")
    return await asyncio.open_connection(host_ip, int(port))


async def talk(address, data, half_close=False):
    """Send raw bytes and return all that comes back until the end."""
    reader, writer = await connect(address)
    try:
        writer.write(data)
        if half_close:
            writer.write_eof()
        return await asyncio.wait_for(reader.read(), TIMEOUT_S)
    except ConnectionError:
        return b""
    finally:
        writer.close()


def parse_problem(answer):
    """Split a raw answer and return its status and its problem content."""
    head, _, body = answer.partition(b"\r\n\r\n")
    content = json.loads(body) if body else {}
    return SimpleNamespace(
        status_code=int(head.split()[1]),
        head=head.decode("latin-1").lower(),
        content=content,
    )


def play(context, script):
    """Start an upstream that plays a script on each connection it accepts.

    The script gets reader, writer and the number of the connection.
    """
    accepted = []
    tasks = set()

    async def accept(reader, writer):
        accepted.append(writer)
        tasks.add(asyncio.current_task())
        try:
            await script(reader, writer, len(accepted))
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def stop():
        listener.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    listener = run(context, asyncio.start_server(accept, HOST_IP, 0))
    context.add_cleanup(lambda: run(context, stop()))
    context.accepted = accepted
    return f"{HOST_IP}:{listener.sockets[0].getsockname()[1]}"
