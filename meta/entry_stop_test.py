"""An entry host that is told to stop ends with 0, whatever it has to cut."""

import argparse
import asyncio
import os
import random
import signal
import tempfile
import unittest
from pathlib import Path

from soak_parts.callers import begin_stream
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
                streams = [
                    await begin_stream(host, f"stop-{number}", "50,5000")
                    for number in range(6)]
                codes.append(await host.end(signal.SIGTERM))
                for _, writer in streams:
                    writer.transport.abort()
                await host.start()
                while not await host.is_ready():
                    await asyncio.sleep(0.05)
            await world._stop()
        return codes


if __name__ == "__main__":
    unittest.main()
