"""A loopback proxy that delays, cuts up, resets, silences or cuts one way."""

import asyncio

from soak_parts import http11
from soak_parts.stand_ins import Service

DELAY_SECONDS = 0.15


class Relay(Service):
    """Passes bytes to one target; `mode` says what goes wrong meanwhile."""

    MODES = ("delay", "pieces", "silent", "up_silent", "down_silent",
             "refuse", "reset", "reset", "reset")

    def __init__(self, target, rng):
        super().__init__()
        self.target = target
        self._mode = "pass"
        self._rng = rng
        self._disturbed_at = 0.0

    @property
    def mode(self):
        return self._mode

    @mode.setter
    def mode(self, mode):
        self._mode = mode
        self._disturbed_at = asyncio.get_running_loop().time()

    def calm_seconds(self):
        """Seconds since it last passed bytes on otherwise; 0 meanwhile."""
        if self.mode != "pass":
            return 0.0
        return asyncio.get_running_loop().time() - self._disturbed_at

    async def _serve(self, reader, writer):
        try:
            if self.mode == "refuse":
                raise ConnectionRefusedError
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
                in_pieces = self.mode == "pieces"
                await http11.send(writer, data,
                                  self._rng if in_pieces else None)
            writer.close()
        except (ConnectionError, OSError, asyncio.CancelledError):
            http11.reset(writer)
