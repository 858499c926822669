"""The store restarts from an older copy of its records."""

import asyncio
import dataclasses
import functools
import json

from soak_parts import table

LONGEST_BACK_SECONDS = 3.0
LONGEST_REWRITE_SECONDS = 1.0
OPERATOR_TOPIC = "keyed.op"
SERVERS_TOPIC = "keyed.servers"
# Between versions that a restart takes back.
VERSION_SECONDS = 0.3


@dataclasses.dataclass(frozen=True)
class Restore:
    """One restart, in seconds.

    The store refuses calls for `away` and loses the last `back`. What was lost
    is written again after `delay` each; with `fills_up` the operator writes
    further versions up to the former end of the log.
    """

    away: float = 0.0
    back: float = 0.0
    delay: float = 0.0
    fills_up: bool = False


class Restores:
    """A series of restarts, drawn from the world's seed."""

    def __init__(self, world):
        self.world = world
        self.rng = world.random("restores")
        self.count = 0

    async def run(self, end):
        """Restarts until `end`, some of them two within a second."""
        running = []
        while self.world.clock() < end:
            await asyncio.sleep(self.rng.uniform(0.5, 4.0))
            for _ in range(self.rng.choice((1, 1, 1, 2))):
                running.append(asyncio.create_task(
                    self._restore(self._draw())))
                await asyncio.sleep(self.rng.uniform(0.0, 0.8))
        await asyncio.gather(*running)

    async def run_last(self):
        """One after the last other fault: reads stay open, and the log gets as
        many versions again as it lost."""
        for _ in range(self.rng.randint(2, 4)):
            self._publish()
            await asyncio.sleep(VERSION_SECONDS)
        await self._restore(
            Restore(back=4 * VERSION_SECONDS, fills_up=True))

    def _draw(self):
        rng = self.rng
        return Restore(
            away=rng.choice((0.0, 0.0, rng.uniform(0.05, 0.8))),
            back=rng.uniform(0.0, LONGEST_BACK_SECONDS),
            delay=rng.choice((0.0, 0.0, rng.uniform(
                0.0, LONGEST_REWRITE_SECONDS))),
            fills_up=rng.random() < 0.5)

    async def _restore(self, restore):
        store = self.world.store
        self.count += 1
        if restore.away:
            store.reset()
            store.is_away = True
            await asyncio.sleep(restore.away)
        lost = store.restore(restore.back)
        store.is_away = False
        versions = [json.loads(value)["version"]
                    for _, value in lost[OPERATOR_TOPIC]]
        self.world.catalogue.lost(versions)
        topics = [self._operator_writes, self._engines_write]
        self.rng.shuffle(topics)
        for write in topics:
            if restore.delay:
                await asyncio.sleep(self.rng.uniform(0.0, restore.delay))
            write(lost, restore.fills_up)

    def _publish(self):
        self.world.publish(functools.partial(table.changed, rng=self.rng))

    def _operator_writes(self, lost, fills_up):
        """Writes the newest version again, and others up to the former end."""
        world = self.world
        records = lost[OPERATOR_TOPIC]
        newest = json.loads(records[-1][1])["version"] if records else 0
        if newest and newest == world.version:
            world.store.put(OPERATOR_TOPIC, *records[-1])
            world.catalogue.written_again([newest])
        if fills_up:
            for _ in records[1:]:
                self._publish()

    def _engines_write(self, lost, _):
        """Each that lives writes its entry again, the others' stay away."""
        world = self.world
        for name in dict(lost[SERVERS_TOPIC]):
            engine = world.engines.get(name)
            if engine:
                # Unchanged, or counted on like any further entry.
                engine.sequence += self.rng.choice((0, 1))
                world.write_entry(
                    engine, "draining" if engine.left_at else "ready")
        for name in world.store.newest_values(SERVERS_TOPIC):
            if name not in world.engines:
                world.store.put(SERVERS_TOPIC, name, None)
