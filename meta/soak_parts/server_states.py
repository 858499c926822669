"""Engines that say in their responses that they leave or want rest."""

import asyncio

from soak_parts.faults import FEWEST_ENGINES
from soak_parts.protection import SETTLE_SECONDS

# A relay holds bytes up for two seconds at the most.
HELD_UP_SECONDS = 2.2
REST_SECONDS = 5.0
MAX_REQUESTS_IN_REST = 2
# How long an engine that leaves by its word alone serves on.
NOTICE_SECONDS = 6.0
LEAVING_SECONDS = 3.0
# From the pause before a state to its end.
LONGEST_SECONDS = 2.0 + max(NOTICE_SECONDS, 2.0 + REST_SECONDS)


class ServerStates:
    """One engine at a time turns requests away and asks for rest, or says that
    it leaves while its record says that it is ready."""

    def __init__(self, world):
        self.world = world
        self.rng = world.random("server states")
        self.resting = None
        # When an engine first asked a host's process for rest, and how many
        # requests came of it in that time.
        self.rests = {}
        self.told = {}

    async def run(self, end):
        """Changes the state of engines; every state is over at `end`."""
        while self.world.clock() < end - LONGEST_SECONDS:
            await asyncio.sleep(self.rng.uniform(0.5, 2.0))
            if self.rng.random() < 0.5:
                await self._ask_for_rest()
            else:
                await self._leave()

    async def _ask_for_rest(self):
        self.resting = await self.world.any_engine(self.rng)
        await asyncio.sleep(self.rng.uniform(0.5, 2.0))
        self.resting = None

    async def _leave(self):
        engines = self.world.engines
        if len(engines) < FEWEST_ENGINES:
            return
        engine = engines.pop(self.rng.choice(sorted(engines)))
        engine.says_leaving = True
        await asyncio.sleep(NOTICE_SECONDS)
        engine.stop()
        self.world.store.put("keyed.servers", engine.name, None)
        await self.world.add_engine(f"w-{self.rng.randrange(10**6)}")

    def arrived(self, engine, attempt):
        """Checks a request that an engine received; returns the fields of the
        response that turns it away, if any."""
        host = self.world.ledger.hosts.get(attempt)
        if host is None:
            return None
        now = self.world.clock()
        key = (engine, host.life)
        is_calm = host.calm_seconds() > SETTLE_SECONDS
        told_at = self.told.get(key)
        if told_at is not None and is_calm:
            self.world.ledger.check(
                "leaving by its word", now - told_at < LEAVING_SECONDS,
                f"{attempt} at {engine.name} {now - told_at:.1f} s after")
        since, requests = self.rests.get(key, (None, 0))
        if since is not None and now - since < REST_SECONDS:
            if now - since > HELD_UP_SECONDS and is_calm:
                requests += 1
                self.rests[key] = (since, requests)
                self.world.ledger.check(
                    "rest", requests <= MAX_REQUESTS_IN_REST,
                    f"{attempt} is number {requests} at {engine.name}")
        elif self.resting is engine:
            self.rests[key] = (now, 0)
        if self.resting is engine:
            return {"Retry-After": REST_SECONDS}
        return None

    def fields(self, engine, attempt):
        """What a response of the engine says of it."""
        if not engine.says_leaving:
            return {}
        host = self.world.ledger.hosts.get(attempt)
        if host is not None:
            self.told.setdefault((engine, host.life), self.world.clock())
        return {"Server-Leaving": "1"}
