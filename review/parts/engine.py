"""A model replica with holds, as PROTOCOL.md describes it."""

import asyncio
import itertools
import json
import secrets
import time
import weakref

from deployment import TENANT, Server
from soak_parts import http11

NOT_RUN = {"X-Godwitworks-Not-Executed": 1}
# One event of a stream, as long as a step of the sheet.
STEP_SECONDS = 0.007
HOLD_SECONDS = 2.0


class Engine(Server):
    """Runs `slots` streams at once and queues `queue` more.

    `doubles` says whether an answer that was just completed is sent a second
    time, at the point where the next response is expected.
    """

    def __init__(self, name, service, record, slots, queue,
                 doubles=lambda: False, step_seconds=STEP_SECONDS):
        super().__init__(name, service, record, slots)
        self.queue = queue
        self.running = 0
        self.waiting = 0
        self.has_run = {}
        self.got = set()
        self.doubled = 0
        self.refused_holds = 0
        self._doubles = doubles
        self._step_seconds = step_seconds
        self._holds = {}
        self._numbers = itertools.count(1)
        self._late = weakref.WeakKeyDictionary()
        self._freed = asyncio.Condition()

    def load(self):
        return {"X-Godwitworks-Replica-Load":
                f"{self.running},{self.waiting},{self.slots}"}

    def _reserved(self):
        now = time.monotonic()
        for hold in [each for each, end in self._holds.items() if end < now]:
            del self._holds[hold]
        return len(self._holds)

    def has_room(self):
        return self.running + self._reserved() < self.slots

    async def respond(self, method, target, fields, body, writer):
        late = self._late.pop(writer, None)
        if late is not None:
            writer.write(late)
            self.doubled += 1
            self.record.line(
                f"{self.name} sends a second answer in front of the one to "
                f"{method} {target}")
        if target == "/api/hold-take":
            await self._take(json.loads(body), writer)
        elif target.startswith("/api/hold-drop/"):
            self._holds.pop(target.rpartition("/")[2], None)
            await self._wake()
            writer.write(http11.answer(200, b"{}"))
        elif target == "/api/report":
            writer.write(http11.answer(200, json.dumps({
                "stage": "both", "busy": False, "sequence": self.sequence,
                "waiting": self.waiting, "running": self.running,
                "state": self.state, "handles": 0}).encode()))
        elif target == "/health":
            writer.write(http11.answer(200, b"", {
                "X-Godwitworks-Replica-Id": self.name, **self.load()}))
        elif target.startswith("/api/"):
            writer.write(http11.answer(404, b"{}"))
        elif fields.get("x-godwitworks-expect-replica") != self.name:
            writer.write(http11.answer(421, b"", {
                **NOT_RUN, "X-Godwitworks-Replica-Id": self.name}))
        else:
            await self._serve_stream(target, fields, writer)

    async def _take(self, order, writer):
        # The batch looks at its orders between two steps.
        await asyncio.sleep(STEP_SECONDS)
        if not self.has_room():
            self.refused_holds += 1
            self.record.line(f"{self.name} refuses a hold")
            writer.write(http11.answer(503, b'{"error":"no room"}'))
            return
        hold = f"h{next(self._numbers)}"
        lifetime = min(order["ttl_ms"] / 1000, HOLD_SECONDS)
        self._holds[hold] = time.monotonic() + lifetime
        writer.write(http11.answer(
            200, json.dumps({"hold": hold}).encode()))

    async def _wake(self):
        async with self._freed:
            self._freed.notify_all()

    async def _serve_stream(self, target, fields, writer):
        attempt = fields["x-godwitworks-attempt-id"]
        signed = {"X-Godwitworks-Attempt-Id": attempt, **self.load()}
        hold = fields.get("x-godwitworks-hold")
        held = self._holds.pop(hold, None) is not None
        self.got.add(attempt)
        self.record.line(f"{self.name} got {attempt}, hold {hold}")
        if not held and not self.has_room():
            if self.waiting >= self.queue:
                writer.write(http11.answer(503, b"", {**NOT_RUN, **signed}))
                return
            self.waiting += 1
            try:
                while not self.has_room():
                    async with self._freed:
                        await asyncio.wait_for(self._freed.wait(), 0.2)
            except asyncio.TimeoutError:
                pass
            finally:
                self.waiting -= 1
            while not self.has_room():
                await asyncio.sleep(0.005)
        if writer.transport.is_closing():
            self.record.line(f"{self.name} drops {attempt}: its caller left")
            return
        self.running += 1
        try:
            await self._run(attempt, fields, signed, writer)
        finally:
            self.running -= 1
            await self._wake()

    async def _run(self, attempt, fields, signed, writer):
        self.has_run[attempt] = self.has_run.get(attempt, 0) + 1
        tenant = fields.get("x-godwitworks-tenant")
        if tenant != TENANT:
            self.record.line(f"{self.name} {attempt}: tenant {tenant}")
        self.record.line(f"{self.name} runs {attempt}")
        events = int(fields["x-godwitworks-token-usage"].split(",")[1]) // 4
        signature = f"{self.name}.{secrets.token_hex(4)}"
        start = http11.head("HTTP/1.1 200 OK", {
            **signed, "X-Godwitworks-Replica-Signature": signature,
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked"})
        sent = [start]
        writer.write(start)
        for number in range(1, events + 1):
            await asyncio.sleep(self._step_seconds)
            if writer.transport.is_closing():
                self.record.line(f"{self.name} ends {attempt} at {number}")
                return
            event = http11.chunk(
                f"id: {number}\ndata: {attempt}\n\n".encode())
            sent.append(event)
            writer.write(event)
        sent.append(http11.chunk(b""))
        writer.write(sent[-1])
        await writer.drain()
        self.record.line(f"{self.name} completed {attempt}")
        if self._doubles():
            self._late[writer] = b"".join(sent)
