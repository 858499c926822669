"""Checks for requests that crash engines and engines that name a limit."""

import asyncio
import collections

from soak_parts.streams import FIRST_PART, prompt_parts, request_stream

CRASHING_PREFIX = b"crash "
# Hosts are checked only this long after their last start or pause.
SETTLE_SECONDS = 3.0
# Permitted runs of a request after it has crashed `CRASH_LIMIT` engines.
CRASH_LIMIT = MAX_LATER_SENDS = 3
# The same for a part of prompts, which other requests share.
PART_CRASH_LIMIT = 5
WINDOW_SECONDS = 4.0
TOLERANCE_FACTOR = 1.5
TOLERANCE_REQUESTS = 5
PROPAGATION_SECONDS = 0.5


class CrashingRequest:
    """A repeatedly sent request that crashes the engines that run it."""

    name = "crashing request"
    tag = "x"  # Sets its attempts apart from those of others.
    # Crashes after which no more than `MAX_LATER_SENDS` requests may follow.
    crash_limit = CRASH_LIMIT

    def __init__(self, world):
        self.world = world
        self.rng = world.random(self.name)
        self.body = CRASHING_PREFIX + self.rng.randbytes(20)
        self.crashed_at = []
        self.later_sends = 0

    def next_request(self, count):
        """The body and the parts of the prompt of a request."""
        return self.body, prompt_parts(f"x{count}")

    def is_in(self, fields, body):
        """Whether a request crashes the engine."""
        return body == self.body

    async def send(self, end):
        """Sends the request until `end`, each time to a random host."""
        await asyncio.sleep(self.rng.uniform(0.2, 1.5))
        count = 0
        while self.world.clock() < end:
            count += 1
            attempt = f"s{self.world.seed}{self.tag}-{count}"
            host = self.rng.choice(self.world.hosts)
            await request_stream(
                self.world, attempt, host, *self.next_request(count))
            await asyncio.sleep(self.rng.uniform(0.05, 0.6))
        self.world.ledger.check(
            "crashes few", self.later_sends <= MAX_LATER_SENDS,
            f"{self.name}: sent {self.later_sends} times more after it had "
            f"ended {len(self.crashed_at)} engines")

    def arrived(self, engine, attempt):
        """Schedules the crash of an engine that received the request."""
        now = self.world.clock()
        host = self.world.ledger.hosts[attempt]
        limit = self.crash_limit
        is_late = (len(self.crashed_at) >= limit and
                   now - self.crashed_at[limit - 1] > SETTLE_SECONDS)
        if is_late and host.calm_seconds() > SETTLE_SECONDS:
            self.later_sends += 1
        asyncio.get_running_loop().call_later(
            self.rng.uniform(0.0, 0.1), self._crash, engine)

    def _crash(self, engine):
        if self.world.engines.get(engine.name) is engine:
            self.crashed_at.append(self.world.clock())
            self.world.engine_crashes(engine, self.rng)
        else:
            # It is leaving; a run that completed would clear the request.
            engine.stop()


class CrashingPart(CrashingRequest):
    """Different requests that share a part of their prompts, which crashes the
    engines that run them."""

    name = "crashing part"
    tag = "p"
    crash_limit = PART_CRASH_LIMIT

    def __init__(self, world):
        super().__init__(world)
        self.part = f"c0de{self.rng.randint(0, 1 << 32):x}"

    def next_request(self, count):
        parts = [FIRST_PART, f"{self.part}:20", f"ad{count % 4}:10"]
        self.rng.shuffle(parts)
        return self.rng.randbytes(20), ",".join([*parts, f"fff{count}:5"])

    def is_in(self, fields, body):
        return self.part in fields.get("x-godwitworks-prompt-prefix", "")


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
        self.engine = await self.world.any_engine(self.rng)
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
