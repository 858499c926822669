"""A loopback proxy that delays, resets, silences or cuts one way."""

import asyncio


class Relay:
    """Passes bytes to one target; `mode` says what goes wrong meanwhile."""

    MODES = ("delay", "silent", "up_silent", "down_silent", "refuse")

    def __init__(self, target):
        self.target = target
        self.mode = "pass"
        self._writers = set()
        self._server = None
        self.port = 0

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def reset(self):
        """Resets every open connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        if self.mode == "refuse":
            writer.transport.abort()
            return
        try:
            out_reader, out_writer = await asyncio.open_connection(
                "127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, out_writer}
        await asyncio.gather(
            self._pump(reader, out_writer, ("silent", "up_silent")),
            self._pump(out_reader, writer, ("silent", "down_silent")))
        self._writers -= {writer, out_writer}

    async def _pump(self, reader, writer, silent_modes):
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(0.15)
                while self.mode in silent_modes:
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
            writer.close()
        except (ConnectionError, OSError, asyncio.CancelledError):
            writer.transport.abort()
