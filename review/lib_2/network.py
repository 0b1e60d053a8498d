"""Proxies between machines, which cut the paths between two regions."""

import asyncio
import contextlib


class Network:
    """The paths from machines to the addresses that they open connections to.

    A path that is cut says nothing: bytes are dropped in both directions, on open and on new connections.
    """

    def __init__(self):
        self._servers = []
        self._tasks = set()
        self._region_by_host = {}
        self.is_cut = False

    def place(self, host, region):
        """Say in which region an address is."""
        self._region_by_host[host] = region

    async def lead(self, number, own_host, target):
        """Listen where a machine's connections to a target come in."""
        host, port = target
        listener = host.replace('127.0.0.', f'127.1.{number}.', 1)

        async def serve(reader, writer):
            with contextlib.suppress(asyncio.CancelledError):
                await self._forward(own_host, target, reader, writer)

        self._servers.append(await asyncio.start_server(serve, listener, port))

    def close(self):
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()

    def _drops(self, own_host, target_host):
        return self.is_cut and self._region_by_host[own_host] != self._region_by_host[target_host]

    async def _forward(self, own_host, target, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            with contextlib.suppress(OSError, asyncio.CancelledError):
                if self._drops(own_host, target[0]):
                    # Nothing answers; what comes is dropped.
                    while await reader.read(65_536):
                        pass
                    return
                there_reader, there_writer = await asyncio.open_connection(*target)
                try:
                    await asyncio.gather(
                        self._pump(own_host, target[0], reader, there_writer),
                        self._pump(own_host, target[0], there_reader, writer),
                    )
                finally:
                    there_writer.close()
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _pump(self, own_host, target_host, reader, writer):
        while data := await reader.read(65_536):
            if not self._drops(own_host, target_host):
                writer.write(data)
                await writer.drain()
        if not self._drops(own_host, target_host):
            # The end of a connection passes like any byte.
            writer.close()
