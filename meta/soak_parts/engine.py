"""A model's engine, as an entry host sees it."""

import asyncio
import dataclasses
import json
import time

from soak_parts import entries, http11, manners
from soak_parts.stand_ins import Service

STEP_SECONDS = 0.02
SPOILED_EVENT_SHARE = 0.1


@dataclasses.dataclass
class Run:
    """One generation: its events are numbered and name their request."""

    attempt: str
    events: int
    made: int = 0
    stopped: bool = False
    is_moved: bool = False

    def is_at_work(self):
        """Whether it may still write. One that has written all is not, though
        its last bytes may be lost on the way."""
        return not self.stopped and self.made < self.events


class Engine(Service):
    """A server of the model: whole answers, streams and copies of runs."""

    def __init__(self, name, ledger, clock, rng, ends):
        super().__init__(ledger)
        self.name = name
        self.clock = clock
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        self.relay = None
        self.left_at = self.served_at = self.began_again_at = None
        self.runs = {}
        self.limit = None
        self.states = None
        self.says_leaving = False
        self.crashing = ()
        self.manner = manners.Manner(rng)
        self.ends = ends
        self._before = None

    def kill(self):
        self.ledger.outcomes["engine killed"] += 1
        for run in self.runs.values():
            run.stopped = True
        for writer in self._writers:
            if not writer.transport.is_closing():
                writer.write(self.ends.cut(writer))
        super().kill()

    async def respond(self, method, target, fields, body, writer):
        if self.ends.repeat(writer):
            self.ledger.outcomes["second answer"] += 1
        if target.startswith("/api/") and self._is_spoiled():
            await self._spoil(writer)
        if target == "/api/report":
            state = "draining" if self.left_at else "ready"
            writer.write(http11.answer(200, json.dumps({
                "state": state, "born": self.born,
                "sequence": self.sequence}).encode()))
        elif target == "/api/kv-move":
            await self._copy(json.loads(body), writer)
        elif target.startswith("/api/"):
            writer.write(http11.answer(200, b"{}"))
        elif fields.get("x-godwitworks-expect-replica") != self.name:
            writer.write(http11.answer(421, b"", manners.NOT_RUN))
        else:
            await self._run(target, fields, body, writer)

    def _is_spoiled(self):
        return self.manner.style == "spoiled"

    async def _spoil(self, writer):
        """What is no answer, or one whose fields are of other types."""
        rng = self.manner.rng
        await http11.send(writer, rng.choice((
            manners.spoiled(rng, {}, b"{}"),
            http11.answer(200, entries.unreadable(rng)))))
        raise http11.Broken("spoiled")

    async def _copy(self, order, writer):
        run = self.runs.get(order["id"])
        if run is None:
            writer.write(http11.answer(404))
            return
        if order.get("last", False):
            run.stopped = run.is_moved = True
            await asyncio.sleep(self.ends.copy_seconds())
        writer.write(http11.answer(200, json.dumps(
            {"handle": f"c{run.made}", "create_rev": run.made}).encode()))

    async def _run(self, target, fields, body, writer):
        attempt = fields["x-godwitworks-attempt-id"]
        signed = {"X-Godwitworks-Attempt-Id": attempt,
                  "X-Godwitworks-Replica-Signature": self.name}
        resumed = "kv-from" in fields
        if self.states:
            refusal = self.states.arrived(self, attempt)
            if refusal:
                writer.write(http11.answer(
                    503, b"", {**manners.NOT_RUN, **signed, **refusal}))
                return
            signed |= self.states.fields(self, attempt)
        self.served_at = self.clock()
        self.ledger.arrived(self, attempt, target, body, resumed)
        if self.limit:
            self.limit.arrived(attempt)
            signed |= self.limit.answers(attempt)
        for crashing in self.crashing:
            if crashing.is_in(fields, body):
                crashing.arrived(self, attempt)
        if target.startswith("/stream/"):
            await self._stream(attempt, signed, fields, resumed, writer)
            return
        undelimited = self.ends.is_undelimited()
        made = f"answer to {attempt}".encode()
        self.ends.will_write(writer, http11.answer(200, made, signed))
        await asyncio.sleep(STEP_SECONDS)
        self.ends.wrote(writer)
        is_empty = self.manner.style == "empty"
        made = b"" if is_empty else made
        self.ledger.made(attempt, made)
        other, self._before = self._before, (signed, made)
        if undelimited and self.manner.is_plain():
            await self.ends.send_undelimited(writer, made, signed)
        await self.manner.answer(writer, made, signed, other)
        self.ends.answered(writer, made, signed)

    async def _stream(self, attempt, signed, fields, resumed, writer):
        usage = fields["x-godwitworks-token-usage"]
        run = Run(attempt, int(usage.partition(",")[2]),
                  int(fields.get("last-event-id", 0)) if resumed else 0)
        if resumed:
            self.ledger.resumed(attempt)
        self.ledger.streams[attempt] = run
        self.runs[attempt] = run
        # Without chunks the end of the connection ends the stream; one that
        # is broken off is reset, one that moved away or whose process is
        # killed ends in the same way.
        undelimited = self.ends.is_undelimited()
        in_chunks = (self.manner.style != "until_close"
                     and not (undelimited and self.manner.is_plain()))
        framing = ({"Transfer-Encoding": "chunked"} if in_chunks
                   else {"Connection": "close"})
        writer.write(http11.head("HTTP/1.1 200 OK", {**signed, **framing}))
        while run.made < run.events:
            self.ends.will_write(
                writer, self._framed(run, run.made + 1, in_chunks))
            await asyncio.sleep(STEP_SECONDS)
            self.ends.wrote(writer)
            run.stopped = run.stopped or writer.transport.is_closing()
            if run.is_moved and not in_chunks:
                self.ledger.outcomes["run moved, undelimited"] += 1
                break
            if run.stopped:
                http11.reset(writer)
                return
            await self._event(run, in_chunks, writer)
        else:
            del self.runs[attempt]
        if in_chunks:
            await self._send(http11.chunk(b""), writer)
            self.ends.answered(writer, b"", signed)
            return
        writer.write_eof()
        raise http11.Broken("until_close")

    async def _event(self, run, in_chunks, writer):
        rng = self.manner.rng
        if self._is_spoiled() and rng.random() < SPOILED_EVENT_SHARE:
            run.stopped = True
            writer.write(rng.choice(manners.SPOILED_CHUNKS))
            raise http11.Broken("spoiled")
        run.made += 1
        await self._send(self._framed(run, run.made, in_chunks), writer)

    def _framed(self, run, number, in_chunks):
        event = f"id: {number}\ndata: {run.attempt}\n\n".encode()
        return http11.chunk(event) if in_chunks else event

    async def _send(self, data, writer):
        in_pieces = self.manner.style not in (manners.PLAIN, "spoiled")
        await http11.send(writer, data,
                          self.manner.rng if in_pieces else None)


class Trap(Service):
    """Where entries that name no replica point: nothing may be sent here."""

    async def respond(self, method, target, fields, body, writer):
        server = fields.get("x-godwitworks-expect-replica")
        self.ledger.check("names no replica", target.startswith("/api/"),
                          f"{method} {target} sent to {server}")
        writer.write(http11.answer(503, b"", manners.NOT_RUN))
