"""What engines and callers saw, and the promises that it must keep."""

import re
from collections import Counter, defaultdict

EVENT = re.compile("id: ([0-9]+)\ndata: (.*)")


class Ledger:
    """Collects arrivals and answers; `broken` lists each broken promise."""

    # A server that was listed as leaving gets nothing new this much later,
    # with a second for relays that hold bytes up.
    LEAVING_SECONDS = 3.0
    # Statuses that promise that the request never runs.
    NOT_RUN = (408, 421, 429, 503)
    MOST_ATTEMPTS = 2

    def __init__(self):
        self.runs = defaultdict(list)
        self.streams = {}
        self.sent = {}
        self.hosts = {}
        self.unfinished = set()
        self.refused = {}
        self.broken = []
        self.checks = 0
        self.outcomes = Counter()
        self._made = defaultdict(set)

    def check(self, promise, holds, detail):
        """One check of a promise."""
        self.checks += 1
        if not holds:
            self.broken.append(f"{promise}: {detail}")

    def arrived(self, engine, attempt, target, body, resumed):
        """An engine begins to work on a request."""
        if not resumed:
            self.runs[attempt].append(engine.name)
            late = engine.left_at and engine.served_at - engine.left_at
            self.check("leaving", not late or late < self.LEAVING_SECONDS,
                       f"{attempt} at {engine.name} {late} s after")
        most = self.MOST_ATTEMPTS if target.startswith("/again/") else 1
        self.check("at most once" if most == 1 else "within its attempts",
                   len(self.runs[attempt]) <= most,
                   f"{attempt} at {self.runs[attempt]}")
        self.check("never runs", attempt not in self.refused,
                   f"{attempt} at {engine.name} after its caller was told "
                   f"{self.refused.get(attempt)}")
        self.check("whole request", attempt not in self.unfinished
                   and body == self.sent.get(attempt),
                   f"{attempt} came to {engine.name} with {len(body)} bytes")

    def resumed(self, attempt):
        """An engine goes on with a run of another one."""
        before = self.streams.get(attempt)
        self.check("one run", before is not None and not before.is_at_work(),
                   f"{attempt} while {before}")

    def made(self, attempt, body):
        """An engine answers a request, in whatever form."""
        self._made[attempt].add(body)

    def answered(self, kind, attempt, status, body, fields):
        """A caller got a whole answer."""
        self.outcomes[f"{kind} {status}"] += 1
        self.check("a status", status >= 200, f"{attempt} got {status}")
        if status in self.NOT_RUN:
            self.check("not run is true", not self.runs[attempt],
                       f"{attempt} was told {status}")
            self.refused[attempt] = status
        # A host's own failure may name no request.
        answered = fields.get("x-godwitworks-attempt-id",
                              None if status == 200 else attempt)
        self.check("own answer", answered == attempt,
                   f"{attempt} got the one of {answered}")
        if status != 200:
            return
        self.check("signed", fields.get("x-godwitworks-replica-signature")
                   in self.runs[attempt],
                   f"{attempt} got {fields}, it ran at {self.runs[attempt]}")
        if kind != "stream":
            self.check("whole answer", body in self._made[attempt],
                       f"{attempt} got {body[:200]!r}")

    def lost(self, kind, attempt, life, why):
        """A caller has no answer, or went away by itself."""
        self.outcomes[f"{kind} {why}"] += 1
        if why == "no answer":
            self.check("answered or refused", life.was_told(),
                       f"{attempt}: {life.name} closed the connection")

    def streamed(self, attempt, text, wanted, whole):
        """A stream ended; `text` is what its caller got."""
        *events, rest = text.split("\n\n")
        matches = [EVENT.fullmatch(event) for event in events]
        self.check("whole events", all(matches) and not (whole and rest),
                   f"{attempt}: {text[-200:]!r}")
        lines = [match.groups() for match in matches if match]
        ids = [int(number) for number, _ in lines]
        self.check("in order, once", ids == list(range(1, len(ids) + 1)),
                   f"{attempt}: {ids}")
        self.check("own stream", all(name == attempt
                                     for _, name in lines), attempt)
        self.check("whole", not whole or len(ids) == wanted,
                   f"{attempt}: {len(ids)} of {wanted}")
