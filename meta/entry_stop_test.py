"""An entry host that is told to stop ends with 0, whatever it has to cut."""

import argparse
import asyncio
import os
import random
import signal
import tempfile
import unittest
from pathlib import Path

from soak_parts import http11
from soak_parts.world import World

BUILD = Path(__file__).parent.parent / "build" / os.environ.get(
    "GODWIT_PRESET", "release")


class EntryStopTest(unittest.TestCase):
    def test_streams_that_outlast_the_grace_do_not_spoil_the_exit(self):
        self.assertEqual([0] * 4, asyncio.run(self.stop_codes(4)))

    async def stop_codes(self, count):
        world = World(argparse.Namespace(
            hosts=1, engines=2, callers=0, programs=BUILD / "bin"), 1)
        world.rng = random.Random(1)
        codes = []
        with tempfile.TemporaryDirectory() as folder:
            await world._start(Path(folder))
            host = world.hosts[0]
            for _ in range(count):
                streams = [await self.begin_stream(host, number)
                           for number in range(6)]
                codes.append(await host.end(signal.SIGTERM))
                for writer in streams:
                    writer.transport.abort()
                await host.start()
                while not await host.is_ready():
                    await asyncio.sleep(0.05)
            await world._stop()
        return codes

    async def begin_stream(self, host, number):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", host.callers)
        writer.write(http11.head("POST /stream/x HTTP/1.1", {
            "Host": "soak.example",
            "X-Godwitworks-Attempt-Id": f"stop-{number}",
            "X-Godwitworks-Token-Usage": "50,5000",
            "Authorization": "Bearer k1", "Content-Length": 0}))
        line, _ = await http11.read_head(reader)
        self.assertIn("200", line)
        return writer


if __name__ == "__main__":
    unittest.main()
