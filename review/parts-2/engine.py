"""A stand-in for a model replica, as PROTOCOL.md describes it.

Its figures are those of the site krajevnik-gaz: how fast it reads and writes,
how much memory it has and how fast its link is. Moves of memory run one after
the other on both links and take twice as long between zones.
"""

import asyncio
import itertools
import json
import time

from http11 import format_response, read_request
from service import Replica

STEP_S = 0.007
STEP_PER_RUN_S = 0.00012
PREFILL_PER_S = 14000
STRIDE = 4
MEMORY_TOKENS = 34440
TOKEN_BYTES = 18432
LINK_MBPS = 2700.0
SLOTS = 24
HANDLE_S = 5.0


def engine_service(name):
    """The service as the configuration describes it."""
    return {
        "name": name,
        "health_check": "/health",
        "max_connections": 232,
        "protocol": "h1",
        "tls": False,
        "engine": {
            "slots": SLOTS,
            "kv_cache_tokens": MEMORY_TOKENS,
            "kv_token_bytes": TOKEN_BYTES,
            "link_mbps": LINK_MBPS,
            "moves": True,
            "backups": True,
            "stride": STRIDE,
            "most": 12,
            "pin_ms": 4000.0,
            "hold_ms": 2000.0,
            "handle_s": HANDLE_S,
            "models": [{"name": "m"}],
        },
    }


class Run:
    def __init__(self, attempt, prompt, output):
        self.attempt, self.prompt, self.output = attempt, prompt, output
        self.events = 0  # Events made so far.
        self.is_stopped = False
        self.is_moving = False
        self.handle = self.to = None  # Of the copy at another replica.
        self.copied = 0  # Tokens that the destination has.

    @property
    def tokens(self):
        return self.prompt + self.events * STRIDE


class Copy:
    """The memory of a run that another replica sent here."""

    def __init__(self, run, tokens):
        self.run, self.tokens = run, tokens


class Engine(Replica):
    numbers = itertools.count(100)

    def __init__(self, store, service, zone, directory, **more):
        super().__init__(store, service, zone, slots=SLOTS, **more)
        self.directory = directory  # Address -> engine, of all engines.
        self.runs = {}  # Attempt id -> run.
        self.copies = {}  # "SOURCE/HANDLE" -> copy.
        self.holds = {}  # Handle -> (tokens, end).
        self.stopped = {}  # Handle -> run that stopped here.
        self.link_free_at = 0.0
        self.kv_calls = []  # (moment, text), for the record.

    async def start(self, port=0):
        await super().start(port)
        self.directory[self.address] = self
        return self

    def entry(self):
        entry = super().entry()
        entry["stage"] = "both"
        entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return entry

    async def drain(self):
        """Reports `draining`; returns the moment of the acknowledgement."""
        self.state = "draining"
        return await self.register()

    def close(self):
        super().close()
        self.directory.pop(self.address, None)
        self.runs.clear()

    def used(self):
        now = time.monotonic()
        held = sum(t for t, end in self.holds.values() if end > now)
        return (
            held
            + sum(r.tokens for r in self.runs.values())
            + sum(r.tokens for r in self.stopped.values())
            + sum(c.tokens for c in self.copies.values())
        )

    async def serve(self, reader, writer):
        while True:
            method, target, headers, body = await read_request(reader)
            arrived = time.monotonic()
            expected = headers.get("X-Godwitworks-Expect-Replica")
            if expected is not None and expected != self.id:
                answer = format_response(
                    421,
                    [
                        ("X-Godwitworks-Replica-Id", self.id),
                        ("X-Godwitworks-Not-Executed", "1"),
                    ],
                )
            elif target == "/health":
                status = 200 if self.state == "ready" else 503
                answer = format_response(
                    status, [("X-Godwitworks-Replica-Id", self.id)]
                )
            elif target == "/api/report":
                answer = self.json(200, self.report())
            elif target == "/api/hold-take":
                answer = self.take_hold(json.loads(body))
            elif target.startswith("/api/hold-drop/"):
                self.holds.pop(target.rsplit("/", 1)[1], None)
                answer = self.json(200, {})
            elif target == "/api/kv-move":
                answer = await self.move(json.loads(body))
            elif target.startswith("/api/kv-handle/"):
                self.drop(target.rsplit("/", 1)[1])
                answer = self.json(200, {})
            else:
                attempt = headers.get("X-Godwitworks-Attempt-Id", "")
                self.arrivals.append(
                    (arrived, attempt, method, target, headers)
                )
                if not await self.generate(headers, writer, reader, attempt):
                    return
                continue
            writer.write(answer)
            await writer.drain()

    @staticmethod
    def json(status, value):
        return format_response(
            status,
            [("Content-Type", "application/json")],
            json.dumps(value).encode(),
        )

    def report(self):
        return {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 0,
            "waiting": 0,
            "running": len(self.runs),
            "kv_used": self.used(),
            "kv_total": MEMORY_TOKENS,
            "handles": len(self.copies) + len(self.stopped),
            "state": self.state,
            "pinned": 0,
            "held": 0,
            "next": 0,
            "runs": [
                [r.attempt, r.tokens, r.events, 5] for r in self.runs.values()
            ],
        }

    def has_room(self, tokens):
        return (
            self.used() + tokens <= MEMORY_TOKENS and len(self.runs) < SLOTS
        )

    def take_hold(self, asked):
        if not self.has_room(asked["tokens"]):
            return self.json(503, {})
        handle = str(next(self.numbers))
        end = time.monotonic() + asked["ttl_ms"] / 1000
        self.holds[handle] = (asked["tokens"], end)
        return self.json(200, {"hold": handle})

    def drop(self, handle):
        self.stopped.pop(handle, None)
        for engine in self.directory.values():
            engine.copies.pop(f"{self.address}/{handle}", None)

    async def move(self, asked):
        run = self.runs.get(asked["id"])
        to = self.directory.get(asked["to"])
        last = bool(asked.get("last"))
        began = time.monotonic()
        if run is None:
            return self.json(404, {})
        if run.is_moving:
            return self.json(409, {})
        if run.handle is None or run.to is not to:
            run.handle, run.to, run.copied = str(next(self.numbers)), to, 0
        if last:
            run.is_stopped = True
        if to is None or (
            not run.copied and not to.has_room(run.tokens + 200)
        ):
            if last:
                self.stopped[run.handle] = run
                return self.json(503, {"handle": run.handle})
            return self.json(503, {})
        run.is_moving = True
        key = f"{self.address}/{run.handle}"
        to.copies.setdefault(key, Copy(run, run.tokens))
        tokens = run.tokens
        start = max(time.monotonic(), self.link_free_at, to.link_free_at)
        seconds = (tokens - run.copied) * TOKEN_BYTES * 8 / (LINK_MBPS * 1e6)
        if to.zone != self.zone:
            seconds *= 2
        self.link_free_at = to.link_free_at = start + seconds
        await asyncio.sleep(start + seconds - time.monotonic())
        run.is_moving = False
        if run.attempt not in self.runs and not last:
            return self.json(404, {})
        run.copied = tokens
        to.copies[key] = Copy(run, tokens)
        self.kv_calls.append(
            (
                began,
                f"move of {run.attempt} to {to.id}{' (last)' if last else ''}:"
                f" {tokens} tokens, took {time.monotonic() - began:.3f} s",
            )
        )
        return self.json(
            200, {"handle": run.handle, "create_rev": run.events}
        )

    async def generate(self, headers, writer, reader, attempt):
        """Streams a run. Returns whether the connection can go on."""
        prompt, most = map(
            int, headers.get("X-Godwitworks-Token-Usage", "100,40").split(",")
        )
        copied = headers.get("Kv-From")
        run = None
        if copied is not None:
            copy = self.copies.pop(copied, None)
            handle = copied.rsplit("/", 1)[1]
            stopped = self.stopped.pop(handle, None)
            if copy is None and stopped is None:
                self.refuse(writer, attempt)
                return True
            former = copy.run if copy else stopped
            known = copy.tokens if copy else former.tokens
            run = Run(attempt, former.prompt, former.output)
            run.events = int(headers.get("Last-Event-Id", "0"))
            unread = max(0, run.tokens - known)
        else:
            hold = self.holds.pop(headers.get("X-Godwitworks-Hold", ""), None)
            if hold is None and not self.has_room(prompt):
                self.refuse(writer, attempt)
                return True
            run = Run(attempt, prompt, most // STRIDE)
            unread = prompt
        self.runs[attempt] = run
        gone = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.sleep(unread / PREFILL_PER_S)
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                b"Transfer-Encoding: chunked\r\n"
                + f"X-Godwitworks-Attempt-Id: {attempt}\r\n".encode()
                + b"X-Godwitworks-Weight-Versions: 1\r\n"
                + f"X-Godwitworks-Replica-Signature: {self.id}.{attempt}"
                f"\r\n\r\n".encode()
            )
            while run.events < run.output:
                await asyncio.sleep(
                    STRIDE * (STEP_S + STEP_PER_RUN_S * len(self.runs))
                )
                if run.is_stopped or gone.done():
                    return False  # The stream is closed without its end.
                run.events += 1
                event = f"id: {run.events}\ndata: {attempt} {run.events}\n\n"
                data = event.encode()
                writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return False
        finally:
            gone.cancel()
            if self.runs.get(attempt) is run:
                del self.runs[attempt]

    def refuse(self, writer, attempt):
        writer.write(
            format_response(
                503,
                [
                    ("X-Godwitworks-Attempt-Id", attempt),
                    ("X-Godwitworks-Not-Executed", "1"),
                ],
            )
        )
