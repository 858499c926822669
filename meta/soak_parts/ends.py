"""Ends of responses that look like others: of servers that name no length, are
killed, stop a run for its last copy, or answer twice."""

import asyncio

from soak_parts import http11
from soak_parts.faults import FEWEST_ENGINES, NOTICE_SECONDS

UNDELIMITED_SHARE = 0.4
TWICE_SHARE = 0.04
# Engines that are killed while their runs move away.
LEAVING_SHARE = 0.4
# A copy may be complete before or after its stopped stream has ended.
LONGEST_COPY_SECONDS = 0.1
LONGEST_ABSENCE_SECONDS = 1.0
LONGEST_BODY_SECONDS = 0.2


class Ends:
    """How one engine ends its responses."""

    def __init__(self, rng, has_calmed=lambda: False):
        self.rng = rng
        self._has_calmed = has_calmed
        self._next = {}
        self._repeats = {}

    def is_undelimited(self):
        """Whether the connection's end ends the next response."""
        return self.rng.random() < UNDELIMITED_SHARE

    def copy_seconds(self):
        """How long a last copy takes."""
        return self.rng.choice(
            (0.0, self.rng.uniform(0.0, LONGEST_COPY_SECONDS)))

    def answered(self, writer, body, signed):
        """May answer a request once more, in front of the next response."""
        if self.rng.random() < TWICE_SHARE:
            self._repeats[writer] = http11.answer(200, body, signed)

    def repeat(self, writer):
        """Writes the second answer to an earlier request; whether there is
        one."""
        data = self._repeats.pop(writer, b"")
        if self._has_calmed():
            return False
        writer.write(data)
        return bool(data)

    async def send_undelimited(self, writer, body, signed):
        """Sends a whole answer in two parts and ends the connection."""
        place = self.rng.randint(0, len(body))
        writer.write(http11.head("HTTP/1.1 200 OK", {
            **signed, "Connection": "close"}) + body[:place])
        self.will_write(writer, body[place:])
        await asyncio.sleep(self.rng.uniform(0.0, LONGEST_BODY_SECONDS))
        self.wrote(writer)
        writer.write(body[place:])
        writer.write_eof()
        raise http11.Broken("undelimited")

    def will_write(self, writer, data):
        """What a connection gets next, and in part if the process is killed
        meanwhile."""
        self._next[writer] = data

    def wrote(self, writer):
        self._next.pop(writer, None)

    def cut(self, writer):
        """What a killed process has still written to a connection."""
        data = self._next.pop(writer, b"")
        if self.rng.random() < 0.5:
            return b""
        return http11.cut(data, self.rng)[0]


class Kills:
    """A series of engines that are killed and come back."""

    def __init__(self, world):
        self.world = world
        self.rng = world.random("kills")
        self.is_over = False

    async def run(self, end):
        """Kills engines until `end`; returns when all are back."""
        killed = []
        while self.world.clock() < end:
            await asyncio.sleep(self.rng.uniform(0.4, 1.6))
            engines = self.world.engines
            if len(engines) >= FEWEST_ENGINES:
                engine = engines.pop(self.rng.choice(sorted(engines)))
                killed.append(asyncio.create_task(self._kill(engine)))
        self.is_over = True
        await asyncio.gather(*killed)

    async def _kill(self, engine):
        """It comes back under the old id or a new one, at the old port or
        another one."""
        rng = self.rng
        leaves = rng.random() < LEAVING_SHARE
        relay = rng.choice((engine.relay, None))
        keeps_id = rng.random() < 0.5
        absence = rng.choice(
            (0.01, rng.uniform(0.0, LONGEST_ABSENCE_SECONDS)))
        if leaves:
            engine.left_at = self.world.clock()
            self.world.list_engine(engine, "draining")
            await asyncio.sleep(NOTICE_SECONDS)
        engine.kill()
        await asyncio.sleep(absence)
        if keeps_id:
            again = await self.world.add_engine(engine.name, relay)
            again.began_again_at = self.world.clock()
            return
        self.world.store.put("keyed.servers", engine.name, None)
        await self.world.add_engine(f"k-{rng.randrange(10**6)}", relay)
