"""Program ``peridotfront-standin``: a fake upstream for demonstrations and tests."""

import asyncio
import signal
import sys

import fire
from fire.decorators import SetParseFn

from .exceptions import SettingsInvalid
from .http_messages import REQUEST_ID_HEADER
from .http_server import Exchange, HttpServer
from .standin_api import StandinEngine, parse_body
from .standin_service import Faults, RunFile, StandinService
from .standin_settings import StandinSettings, load_settings
from .standin_text import expected_text

__all__ = ["expected_text", "main", "run"]

DRAIN_TIMEOUT_MS = 600_000


class Standin:
    """Stand-in upstream with its HTTP server, run until its shutdown is requested."""

    def __init__(self, settings: StandinSettings):
        self._settings = settings
        self._run_file = RunFile(settings.standin.run_file)
        if settings.standin.kind == "engine":
            self._backend = StandinEngine(settings.engine, self._run_file)
        else:
            self._backend = StandinService(self._run_file, settings.service.call_ms)
        self._server = HttpServer(self._handle)
        self._shutdown_requested = asyncio.Event()

    @property
    def address(self) -> str:
        """Return the listening address as ``IP:PORT``."""
        host_ip = self._settings.standin.listen.rpartition(":")[0]
        return f"{host_ip}:{self._server.port}"

    async def start(self) -> None:
        """Start listening.

        :raises OSError: if the address cannot be bound.
        """
        host_ip, _, port = self._settings.standin.listen.rpartition(":")
        await self._server.start(host_ip.strip("[]"), int(port))

    def shut_down(self) -> None:
        """Begin a graceful shutdown."""
        self._backend.is_leaving = True
        self._shutdown_requested.set()

    async def serve(self) -> None:
        """Serve until shutdown, report it for ``leave_ms``, finish requests, close."""
        await self._shutdown_requested.wait()
        await asyncio.sleep(self._settings.standin.leave_ms / 1000)
        # The port stays open while runs are unfinished, so that a caller can resume
        # a broken stream.
        await self._backend.wait_until_idle()
        await self._server.drain(DRAIN_TIMEOUT_MS)
        await self.close()

    async def close(self) -> None:
        """Close the server without a drain."""
        await self._server.close()

    async def _handle(self, exchange: Exchange) -> None:
        request = exchange.request
        request_id = request.header(REQUEST_ID_HEADER)
        if request_id:
            exchange.extra_headers = ((REQUEST_ID_HEADER, request_id),)
        if request.method == "POST" and request.path == "/faults":
            self._backend.apply_faults(parse_body(Faults, request))
            await exchange.respond(204)
            return
        await self._backend.handle(exchange)


async def run(settings: StandinSettings) -> None:
    """Run a stand-in until SIGTERM or SIGINT."""
    standin = Standin(settings)
    await standin.start()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, standin.shut_down)
    print(f"ready {standin.address}", flush=True)
    await standin.serve()


@SetParseFn(str)
def serve(settings: str) -> None:
    """Run a stand-in upstream.

    :param settings: path of the INI file.
    """
    try:
        loaded_settings = load_settings(settings)
    except SettingsInvalid as error:
        print(error, file=sys.stderr)
        sys.exit(SettingsInvalid.exit_code)
    asyncio.run(run(loaded_settings))


def main() -> None:
    """Run the command line."""
    fire.Fire(serve, name="peridotfront-standin")


if __name__ == "__main__":
    main()
