"""Relay between hosts whose links can stop passing bytes without a reset.

Run as a process: it reads the links from a JSON file, listens for each of them, and
accepts commands, one per line, on its control port: ``cut FROM TO``, ``heal``.
"""

import asyncio
import json
import sys

CHUNK_BYTES = 64 * 1024


class Link:
    """Link that passes bytes from one host to another while it is open."""

    def __init__(self, source, target, listen, address):
        self.source = source
        self.target = target
        self.listen = listen
        self.address = address
        self.is_open = asyncio.Event()
        self.is_open.set()

    async def serve(self):
        host, _, port = self.listen.rpartition(":")
        await asyncio.start_server(self._accept, host, int(port))

    async def _accept(self, reader, writer):
        await self.is_open.wait()
        host, _, port = self.address.rpartition(":")
        try:
            up_reader, up_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        await asyncio.gather(
            self._pump(reader, up_writer), self._pump(up_reader, writer)
        )

    async def _pump(self, reader, writer):
        try:
            while data := await reader.read(CHUNK_BYTES):
                await self.is_open.wait()
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()


class Relay:
    """Relay for all links, with a control port for commands."""

    def __init__(self, links):
        self.links = [Link(**link) for link in links]

    async def start(self, port):
        for link in self.links:
            await link.serve()
        return await asyncio.start_server(self._command, "127.0.0.1", port)

    async def _command(self, reader, writer):
        while line := await reader.readline():
            words = line.decode().split()
            if words[0] == "heal":
                self._heal()
            elif words[0] == "cut":
                self._cut(words[1], words[2])
            writer.write(b"done\n")
        writer.close()

    def _heal(self):
        for link in self.links:
            link.is_open.set()

    def _cut(self, source, target):
        for link in self.links:
            if (link.source, link.target) == (source, target):
                link.is_open.clear()


async def main():
    with open(sys.argv[1]) as file:
        content = json.load(file)
    server = await Relay(content["links"]).start(content["port"])
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
