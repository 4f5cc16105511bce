"""Fixtures for the HTTP features: event loop, server, raw callers and upstreams."""

import asyncio
import json
from types import SimpleNamespace

from peridotfront.engine_client import EngineClient
from peridotfront.http_server import HttpLimits, HttpServer

HOST_IP = "127.0.0.1"
TIMEOUT_S = 5
POLL_S = 0.002


def open_runner(context):
    """Open the event loop of the scenario, which is closed after all other cleanup."""
    if not hasattr(context, "runner"):
        context.runner = asyncio.Runner()
        context.add_cleanup(context.runner.close)


def run(context, coroutine):
    """Run a coroutine on the event loop of the scenario."""
    open_runner(context)
    return context.runner.run(asyncio.wait_for(coroutine, 4 * TIMEOUT_S))


async def until(condition):
    """Wait for a condition; fail after ``TIMEOUT_S``."""
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
    http_client = EngineClient(limits, ssl_context)
    context.add_cleanup(lambda: run(context, http_client.close()))
    return http_client


async def connect(address):
    """Open a raw connection."""
    host_ip, _, port = address.rpartition(":")
    return await asyncio.open_connection(host_ip, int(port))


async def send_and_receive(address, data, half_close=False):
    """Send raw bytes and return all bytes received until the end of the stream."""
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
    """Return the status, the head and the problem content of a raw answer."""
    head, _, body = answer.partition(b"\r\n\r\n")
    content = json.loads(body) if body else {}
    return SimpleNamespace(
        status_code=int(head.split()[1]),
        head=head.decode("latin-1").lower(),
        content=content,
    )


def serve_script(context, script, ssl_context=None):
    """Start an upstream that runs a script on each accepted connection.

    :param script: async function of reader, writer and the connection's number.
    :param ssl_context: TLS context; None uses plain TCP.
    :return: address of the upstream.
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

    listener = run(context, asyncio.start_server(accept, HOST_IP, 0, ssl=ssl_context))
    context.add_cleanup(lambda: run(context, stop()))
    context.accepted = accepted
    return f"{HOST_IP}:{listener.sockets[0].getsockname()[1]}"
