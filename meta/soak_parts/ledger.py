"""What engines and callers saw, and the promises that it must keep."""


class Ledger:
    """Collects arrivals and answers; `broken` lists each broken promise."""

    # A server that was listed as leaving gets nothing new this much later,
    # with a second for relays that hold bytes up.
    LEAVING_SECONDS = 3.0

    # Statuses that promise that the request never runs.
    NOT_RUN = (408, 421, 429, 503)
    MOST_ATTEMPTS = 2

    def __init__(self):
        self.runs = {}
        self.streams = {}
        self.sent = {}
        self.unfinished = set()
        self.broken = []
        self.checks = 0
        self.outcomes = {}
        self._made = {}

    def check(self, promise, holds, detail):
        """One check of a promise."""
        self.checks += 1
        if not holds:
            self.broken.append(f"{promise}: {detail}")

    def arrived(self, engine, attempt, target, body, resumed, now):
        """An engine begins to work on a request."""
        if not resumed:
            self.runs.setdefault(attempt, []).append(engine.name)
            late = engine.left_at and now - engine.left_at
            self.check("leaving", not late or late < self.LEAVING_SECONDS,
                       f"{attempt} at {engine.name} {late} s after")
        most = self.MOST_ATTEMPTS if target.startswith("/again/") else 1
        self.check("at most once" if most == 1 else "within its attempts",
                   len(self.runs.get(attempt, [])) <= most,
                   f"{attempt} at {self.runs.get(attempt)}")
        self.check("whole request", attempt not in self.unfinished
                   and body == self.sent.get(attempt),
                   f"{attempt} came to {engine.name} with {len(body)} bytes")

    def resumed(self, attempt):
        """An engine goes on with a run of another one."""
        before = self.streams.get(attempt)
        self.check("one run", before is not None and before.stopped, attempt)

    def made(self, attempt, body):
        """An engine answers a request, in whatever form."""
        self._made.setdefault(attempt, set()).add(body)

    def answered(self, kind, attempt, status, body, fields):
        """A caller got a whole answer."""
        self._count(f"{kind} {status}")
        if status in self.NOT_RUN:
            self.check("not run is true", attempt not in self.runs,
                       f"{attempt} was told {status}")
        if status != 200:
            return
        self.check("own answer",
                   fields.get("x-godwitworks-attempt-id") == attempt,
                   f"{attempt} got the one of "
                   f"{fields.get('x-godwitworks-attempt-id')}")
        if kind != "stream":
            self.check("whole answer", body in self._made.get(attempt, ()),
                       f"{attempt} got {body[:200]!r}")

    def lost(self, kind, attempt, life, why):
        """A caller's connection ended before its answer was there."""
        self._count(f"{kind} {why}")
        if why == "no answer":
            self.check("answered or refused", life.was_told(),
                       f"{attempt}: {life.name} closed the connection")

    def waited(self, attempt, host, seconds, limit):
        """A caller gave up after `seconds` in which its host was running."""
        self.check("in time", seconds < limit,
                   f"{attempt}: nothing of {host.name} for {seconds:.1f} s")

    def left(self, kind):
        """A caller went away by itself."""
        self._count(f"{kind} left")

    def streamed(self, attempt, events, wanted, whole):
        """A stream ended; `events` are its (id, text) pairs."""
        ids = [number for number, _ in events]
        self.check("in order, once", ids == list(range(1, len(ids) + 1)),
                   f"{attempt}: {ids}")
        self.check("own stream",
                   all(text == attempt for _, text in events), attempt)
        self.check("whole", not whole or len(events) == wanted,
                   f"{attempt}: {len(events)} of {wanted}")

    def _count(self, name):
        self.outcomes[name] = self.outcomes.get(name, 0) + 1
