"""An entry host goes on with what it has, whatever one caller's bytes are.

One caller sends a chunked body without a byte in it, the last chunk cut into
pieces, while six others have streams under way. A parser that asserts on it
ends the process and cuts all six streams.
"""

import argparse
import asyncio
import os
import random
import tempfile
import unittest
from pathlib import Path

from soak_parts import http11
from soak_parts.callers import begin_stream
from soak_parts.world import World

BUILD = Path(__file__).parent.parent / "build" / os.environ.get(
    "GODWIT_PRESET", "release")
OTHERS = 6
PIECE_SECONDS = 0.05


class EntryPiecesTest(unittest.TestCase):
    def test_others_streams_outlive_an_empty_body_in_pieces(self):
        asyncio.run(self.play())

    async def play(self):
        world = World(argparse.Namespace(
            hosts=1, engines=2, callers=0, logs=None,
            programs=BUILD / "bin"), 1)
        world.rng = random.Random(1)
        with tempfile.TemporaryDirectory() as folder:
            await world._start(Path(folder))
            try:
                await self.check(world.hosts[0])
            finally:
                await world._stop()

    async def check(self, host):
        streams = [await begin_stream(host, f"pieces-{number}", "50,50")
                   for number in range(OTHERS)]
        status = await self.send_empty_body_in_pieces(host)
        events = [await self.count_events(reader)
                  for reader, _ in streams]
        for _, writer in streams:
            writer.close()
        self.assertEqual([50] * OTHERS, events)
        self.assertIn("200", status)

    async def send_empty_body_in_pieces(self, host):
        """The first line of the answer; empty if there was none."""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", host.callers)
        head = http11.head("POST /plain/x HTTP/1.1", {
            "Host": "soak.example",
            "X-Godwitworks-Attempt-Id": "pieces-body",
            "Authorization": "Bearer k1", "Transfer-Encoding": "chunked"})
        for piece in (head, b"0\r\n", b"\r", b"\n"):
            writer.write(piece)
            await asyncio.sleep(PIECE_SECONDS)
        try:
            line, _ = await http11.read_head(reader)
        except http11.Broken:
            line = ""
        writer.close()
        return line

    async def count_events(self, reader):
        """Events of a stream until its end, whole or not."""
        count = 0
        try:
            async for part in http11.read_chunks(reader):
                count += part.count(b"data:")
        except http11.Broken:
            pass
        return count


if __name__ == "__main__":
    unittest.main()
