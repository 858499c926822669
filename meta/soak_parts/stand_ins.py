"""The platform's store and a model's engine, as an entry host sees them."""

import asyncio
import base64
import json
import struct
from urllib.parse import parse_qs, urlparse

from soak_parts import http11


class Service:
    """Serves one address; an answer is written by `respond`."""

    def __init__(self):
        self.port = 0
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def stop(self):
        """Ends like a crash: every connection is reset."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                line, fields = await http11.read_head(reader)
                body = await http11.read_body(reader, fields)
                method, target, _ = line.split(" ", 2)
                await self.respond(method, target, fields, body, writer)
                await writer.drain()
        except (http11.Broken, ConnectionError, ValueError,
                asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._writers.discard(writer)

    async def respond(self, method, target, fields, body, writer):
        raise NotImplementedError


class Store(Service):
    """Keyed topics with one partition; `status` makes every call fail."""

    def __init__(self):
        super().__init__()
        self.topics = {}
        self.status = 0
        self.delay = 0.0
        self.loses_answers = False

    def put(self, topic, key, value):
        self.topics.setdefault(topic, []).append((key, value))

    async def respond(self, method, target, fields, body, writer):
        await asyncio.sleep(self.delay)
        url = urlparse(target)
        query = {name: value[0] for name, value in parse_qs(url.query).items()}
        if self.status:
            writer.write(http11.answer(self.status))
            return
        topic = query.get("topic", "")
        if url.path == "/api/log-read":
            answer = await self._read(topic, query)
        elif url.path == "/api/log-newest":
            answer = self._newest(topic)
        elif url.path == "/api/log-append":
            size = body[4]
            self.put(topic, body[5:5 + size].decode(),
                     body[5 + size:].decode())
            answer = b"{}"
        else:
            writer.write(http11.answer(404))
            return
        if self.loses_answers:
            return
        writer.write(http11.answer(200, answer))

    async def _read(self, topic, query):
        start = int(query["from"])
        end = asyncio.get_running_loop().time() + int(
            query.get("wait_ms", 0)) / 1000
        records = self.topics.setdefault(topic, [])
        while (len(records) <= start
               and asyncio.get_running_loop().time() < end):
            await asyncio.sleep(0.01)
        answer = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            data = bytes([len(key)]) + key.encode() + (value or "").encode()
            answer += struct.pack(">I", len(data)) + data
        return answer

    def _newest(self, topic):
        records = self.topics.get(topic, [])
        items = [{"key": key, "offset": 0,
                  "value": base64.b64encode(value.encode()).decode()}
                 for key, value in dict(records).items() if value]
        return json.dumps({"items": items, "more": False,
                           "end": len(records)}).encode()


class Run:
    """One generation: its events are numbered and name their request."""

    def __init__(self, attempt, events):
        self.attempt = attempt
        self.events = events
        self.made = 0
        self.stopped = False


class Engine(Service):
    """A server of the model: whole answers, streams and copies of runs."""

    def __init__(self, name, ledger, clock):
        super().__init__()
        self.name = name
        self.ledger = ledger
        self.clock = clock
        self.left_at = None
        self.runs = {}

    async def respond(self, method, target, fields, body, writer):
        if target == "/api/report":
            state = "draining" if self.left_at else "ready"
            writer.write(http11.answer(
                200, json.dumps({"state": state}).encode()))
        elif target == "/api/kv-move":
            self._copy(json.loads(body), writer)
        elif target.startswith("/api/"):
            writer.write(http11.answer(200, b"{}"))
        elif fields.get("x-godwitworks-expect-replica") != self.name:
            writer.write(http11.answer(421))
        else:
            await self._run(target, fields, writer)

    def _copy(self, order, writer):
        run = self.runs.get(order["id"])
        if run is None:
            writer.write(http11.answer(404))
            return
        handle = f"c{run.made}"
        run.stopped = run.stopped or order.get("last", False)
        writer.write(http11.answer(200, json.dumps(
            {"handle": handle, "create_rev": run.made}).encode()))

    async def _run(self, target, fields, writer):
        attempt = fields["x-godwitworks-attempt-id"]
        signed = {"X-Godwitworks-Attempt-Id": attempt,
                  "X-Godwitworks-Replica-Signature": self.name}
        resumed = "kv-from" in fields
        self.ledger.arrived(self, attempt, target, resumed, self.clock())
        if not target.startswith("/stream/"):
            await asyncio.sleep(0.02)
            writer.write(http11.answer(
                200, f"answer to {attempt}".encode(), signed))
            return
        run = Run(attempt, int(fields["x-godwitworks-token-usage"]
                               .partition(",")[2]))
        run.made = int(fields.get("last-event-id", 0)) if resumed else 0
        if resumed:
            self.ledger.resumed(attempt)
        self.ledger.streams[attempt] = run
        self.runs[attempt] = run
        writer.write(http11.head("HTTP/1.1 200 OK", {
            **signed, "Transfer-Encoding": "chunked"}))
        while run.made < run.events:
            await asyncio.sleep(0.02)
            run.stopped = run.stopped or writer.transport.is_closing()
            if run.stopped:
                writer.transport.abort()
                return
            run.made += 1
            writer.write(http11.chunk(
                f"id: {run.made}\ndata: {attempt}\n\n".encode()))
            await writer.drain()
        del self.runs[attempt]
        writer.write(http11.chunk(b""))
