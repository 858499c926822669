"""A loopback proxy that delays, cuts up, resets, silences or cuts one way."""

import asyncio

from soak_parts import http11

DELAY_SECONDS = 0.15


class Relay:
    """Passes bytes to one target; `mode` says what goes wrong meanwhile."""

    MODES = ("delay", "pieces", "silent", "up_silent", "down_silent",
             "refuse")

    def __init__(self, target, rng):
        self.target = target
        self.mode = "pass"
        self.port = 0
        self._rng = rng
        self._writers = set()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def reset(self):
        """Resets every open connection."""
        for writer in list(self._writers):
            http11.reset(writer)

    async def _serve(self, reader, writer):
        if self.mode == "refuse":
            http11.reset(writer)
            return
        try:
            out_reader, out_writer = await asyncio.open_connection(
                "127.0.0.1", self.target)
        except OSError:
            http11.reset(writer)
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
                    await asyncio.sleep(DELAY_SECONDS)
                while self.mode in silent_modes:
                    await asyncio.sleep(0.02)
                if self.mode == "pieces":
                    await http11.send_cut(writer, data, self._rng)
                else:
                    writer.write(data)
                await writer.drain()
            writer.close()
        except (ConnectionError, OSError, asyncio.CancelledError):
            http11.reset(writer)
