"""Checks for requests that crash engines and engines that name a limit."""

import asyncio
import collections

from soak_parts import http11

CRASHING_PREFIX = b"crash "
# Hosts are checked only this long after their last start or pause.
SETTLE_SECONDS = 3.0
# Permitted runs of a request after it has crashed `CRASH_LIMIT` engines.
CRASH_LIMIT = MAX_LATER_SENDS = 3
WINDOW_SECONDS = 4.0
TOLERANCE_FACTOR = 1.5
TOLERANCE_REQUESTS = 5
PROPAGATION_SECONDS = 0.5


class CrashingRequest:
    """A repeatedly sent request that crashes the engines that run it."""

    def __init__(self, world):
        self.world = world
        self.rng = world.random("crashing request")
        self.body = CRASHING_PREFIX + self.rng.randbytes(20)
        self.crashed_at = []
        self.later_sends = 0

    async def send(self, end):
        """Sends the request until `end`, each time to a random host."""
        await asyncio.sleep(self.rng.uniform(0.2, 1.5))
        count = 0
        while self.world.clock() < end:
            count += 1
            attempt = f"s{self.world.seed}x-{count}"
            host = self.rng.choice(self.world.hosts)
            await self._send_once(attempt, host)
            await asyncio.sleep(self.rng.uniform(0.05, 0.6))
        self.world.ledger.check(
            "crashes few", self.later_sends <= MAX_LATER_SENDS,
            f"sent {self.later_sends} times more after it had ended "
            f"{len(self.crashed_at)} engines")

    async def _send_once(self, attempt, host):
        self.world.ledger.sent[attempt] = self.body
        self.world.ledger.hosts[attempt] = host
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection("127.0.0.1", host.callers), 1)
        except (OSError, asyncio.TimeoutError):
            return
        try:
            writer.write(http11.head("POST /stream/x HTTP/1.1", {
                "Host": "soak.example",
                "X-Godwitworks-Attempt-Id": attempt,
                "X-Godwitworks-Token-Usage": "50,20",
                "X-Godwitworks-Deadline-Ms": 2000,
                "Authorization": "Bearer k1",
                "Content-Length": len(self.body)}) + self.body)
            await asyncio.wait_for(reader.read(), 3)
        except (OSError, asyncio.TimeoutError):
            pass
        finally:
            http11.reset(writer)

    def arrived(self, engine, attempt):
        """Schedules the crash of an engine that received the request."""
        now = self.world.clock()
        host = self.world.ledger.hosts[attempt]
        is_late = (len(self.crashed_at) >= CRASH_LIMIT and
                   now - self.crashed_at[CRASH_LIMIT - 1] > SETTLE_SECONDS)
        if is_late and host.calm_seconds() > SETTLE_SECONDS:
            self.later_sends += 1
        asyncio.get_running_loop().call_later(
            self.rng.uniform(0.0, 0.1), self._crash, engine)

    def _crash(self, engine):
        if self.world.engines.get(engine.name) is engine:
            self.crashed_at.append(self.world.clock())
            self.world.engine_crashes(engine, self.rng)


class NamedLimit:
    """An engine that names a limit, and the requests that it receives."""

    def __init__(self, world):
        self.world = world
        self.rng = world.random("named limit")
        self.engine = None
        self.per_second = self.rng.choice((1.5, 3.0, 6.0))
        self.named_at = None
        self.first_named_at = {}
        self.arrivals = collections.deque()

    async def name(self, end):
        """Makes a random engine name the limit until `end`."""
        await asyncio.sleep(self.rng.uniform(0.0, 1.0))
        # All of them may have crashed at this moment.
        while not self.world.engines:
            await asyncio.sleep(0.05)
        self.engine = self.rng.choice(
            [each for _, each in sorted(self.world.engines.items())])
        self.engine.limit = self
        await asyncio.sleep(max(end - self.world.clock(), 0))
        self.engine.limit = None

    def arrived(self, attempt):
        """Counts a request that the engine received and checks the rate."""
        now = self.world.clock()
        host = self.world.ledger.hosts.get(attempt)
        named_at = self.first_named_at.get(host and host.life)
        if named_at is None or now - named_at < PROPAGATION_SECONDS or (
                host.calm_seconds() <= SETTLE_SECONDS):
            return
        self.arrivals.append(now)
        while now - self.arrivals[0] > WINDOW_SECONDS:
            self.arrivals.popleft()
        if now - self.named_at < SETTLE_SECONDS + WINDOW_SECONDS:
            return
        most = (TOLERANCE_FACTOR * WINDOW_SECONDS * self.per_second
                + TOLERANCE_REQUESTS)
        self.world.ledger.check(
            "within its limit", len(self.arrivals) <= most,
            f"{self.engine.name} got {len(self.arrivals)} requests where "
            f"{self.per_second} a second are its limit")

    def answers(self, attempt):
        """Returns the header fields that name the limit."""
        now = self.world.clock()
        self.named_at = self.named_at or now
        host = self.world.ledger.hosts.get(attempt)
        if host:
            self.first_named_at.setdefault(host.life, now)
        return {"Server-Limit": str(self.per_second)}
