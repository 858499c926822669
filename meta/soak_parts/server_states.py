"""Engines that say in their responses that they leave or want a backoff."""

import asyncio

from soak_parts.faults import FEWEST_ENGINES
from soak_parts.protection import SETTLE_SECONDS

# A relay holds bytes up for two seconds at the most.
HELD_UP_SECONDS = 2.2
BACKOFF_SECONDS = 5.0
MAX_REQUESTS_IN_BACKOFF = 2
# How long an engine that leaves by its responses alone serves on.
NOTICE_SECONDS = 6.0
LEAVING_SECONDS = 3.0
# From the pause before a state to its end.
LONGEST_SECONDS = 2.0 + max(NOTICE_SECONDS, 2.0 + BACKOFF_SECONDS)


class ServerStates:
    """One engine at a time turns requests away and asks for a backoff, or says
    that it leaves while its record says that it is ready."""

    def __init__(self, world):
        self.world = world
        self.rng = world.random("server states")
        self.backing_off = None
        # When an engine first asked a host's process for a backoff, and how
        # many requests came of it in that time.
        self.backoffs = {}
        self.told = {}

    async def run(self, end):
        """Changes the state of engines; every state is over at `end`."""
        while self.world.clock() < end - LONGEST_SECONDS:
            await asyncio.sleep(self.rng.uniform(0.5, 2.0))
            if self.rng.random() < 0.5:
                await self._ask_for_backoff()
            else:
                await self._leave()

    async def _ask_for_backoff(self):
        self.backing_off = await self.world.any_engine(self.rng)
        await asyncio.sleep(self.rng.uniform(0.5, 2.0))
        self.backing_off = None

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
                "leaving by its responses", now - told_at < LEAVING_SECONDS,
                f"{attempt} at {engine.name} {now - told_at:.1f} s after")
        since, requests = self.backoffs.get(key, (None, 0))
        if since is not None and now - since < BACKOFF_SECONDS:
            if now - since > HELD_UP_SECONDS and is_calm:
                requests += 1
                self.backoffs[key] = (since, requests)
                self.world.ledger.check(
                    "backoff", requests <= MAX_REQUESTS_IN_BACKOFF,
                    f"{attempt} is number {requests} at {engine.name}")
        elif self.backing_off is engine:
            self.backoffs[key] = (now, 0)
        if self.backing_off is engine:
            return {"Retry-After": BACKOFF_SECONDS}
        return None

    def fields(self, engine, attempt):
        """What a response of the engine says of it."""
        if not engine.says_leaving:
            return {}
        host = self.world.ledger.hosts.get(attempt)
        if host is not None:
            self.told.setdefault((engine, host.life), self.world.clock())
        return {"Server-Leaving": "1"}
