"""What engines and callers saw, and the promises that it must keep."""


class Ledger:
    """Collects arrivals and answers; `broken` lists each broken promise."""

    # A server that was listed as leaving gets nothing new this much later,
    # with a second for relays that hold bytes up.
    LEAVING_SECONDS = 3.0

    def __init__(self):
        self.runs = {}
        self.streams = {}
        self.broken = []
        self.checks = 0
        self.outcomes = {}

    def check(self, promise, holds, detail):
        """One check of a promise."""
        self.checks += 1
        if not holds:
            self.broken.append(f"{promise}: {detail}")

    def arrived(self, engine, attempt, target, resumed, now):
        """An engine begins to work on a request."""
        if not resumed:
            self.runs.setdefault(attempt, []).append(engine.name)
            late = engine.left_at and now - engine.left_at
            self.check("leaving", not late or late < self.LEAVING_SECONDS,
                       f"{attempt} at {engine.name} {late} s after")
        if not target.startswith("/again/"):
            self.check("at most once", len(self.runs.get(attempt, [])) <= 1,
                       f"{attempt} at {self.runs.get(attempt)}")

    def resumed(self, attempt):
        """An engine goes on with a run of another one."""
        before = self.streams.get(attempt)
        self.check("one run", before is not None and before.stopped, attempt)

    def answered(self, kind, attempt, status, body, whole):
        """A caller got an answer, whole or cut."""
        name = f"{kind} {status if whole else 'cut'}"
        self.outcomes[name] = self.outcomes.get(name, 0) + 1
        if not whole:
            return
        if status in (429, 503):
            self.check("not run is true", attempt not in self.runs,
                       f"{attempt} was told {status}")
        if status == 200 and kind != "stream":
            self.check("own answer", body == f"answer to {attempt}",
                       f"{attempt} got {body!r}")

    def streamed(self, attempt, events, wanted, whole):
        """A stream ended; `events` are its (id, text) pairs."""
        ids = [number for number, _ in events]
        self.check("in order, once", ids == list(range(1, len(ids) + 1)),
                   f"{attempt}: {ids}")
        self.check("own stream",
                   all(text == attempt for _, text in events), attempt)
        self.check("whole", not whole or len(events) == wanted,
                   f"{attempt}: {len(events)} of {wanted}")
