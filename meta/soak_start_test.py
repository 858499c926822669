"""A soak that fails at its start leaves no process behind."""

import asyncio
import types
import unittest

from soak_parts.world import World


class FailsAtItsStart(World):
    def __init__(self):
        super().__init__(types.SimpleNamespace(logs=None), seed=1)
        self.was_stopped = False

    async def _start(self, folder):
        raise RuntimeError("a host's port is another one's")

    async def _stop(self):
        self.was_stopped = True


class SoakStartTest(unittest.TestCase):
    def test_what_was_started_is_ended(self):
        async def play():
            world = FailsAtItsStart()
            with self.assertRaises(RuntimeError):
                await world.play()
            return world
        self.assertTrue(asyncio.run(play()).was_stopped)


if __name__ == "__main__":
    unittest.main()
