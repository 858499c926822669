"""Callers with kept connections, until the process at the other end is gone."""

import asyncio

from soak_parts import http11

KINDS = ("plain", "again", "stream")
ANSWER_LIMIT = 12.0


class Caller:
    """Sends one request after another to one entry host."""

    def __init__(self, name, host, ledger, rng, key):
        self.name = name
        self.host = host
        self.ledger = ledger
        self.rng = rng
        self.key = key
        self.count = 0
        self.good = []
        self.is_done = False
        self._reader = self._writer = None

    async def run(self, clock):
        while not self.is_done:
            self.count += 1
            kind = self.rng.choice(KINDS)
            good = await self._one(kind, f"{self.name}-{self.count}")
            self.good.append((clock(), good))
            await asyncio.sleep(self.rng.uniform(0.0, 0.08))

    async def _one(self, kind, attempt):
        try:
            if self._writer is None:
                self._reader, self._writer = await asyncio.open_connection(
                    "127.0.0.1", self.host.callers)
            return await asyncio.wait_for(
                self._exchange(kind, attempt), ANSWER_LIMIT)
        except (http11.Broken, ConnectionError, OSError,
                asyncio.TimeoutError):
            self.ledger.answered(kind, attempt, 0, "", False)
            self._drop()
            return False

    async def _exchange(self, kind, attempt):
        wanted = self.rng.randint(5, 60)
        method = "GET" if kind == "again" else "POST"
        self._writer.write(http11.head(f"{method} /{kind}/x HTTP/1.1", {
            "Host": "soak.example",
            "X-Godwitworks-Attempt-Id": attempt,
            "X-Godwitworks-Token-Usage": f"50,{wanted}",
            "X-Godwitworks-Deadline-Ms": 10000,
            "Authorization": f"Bearer {self.key}",
            "Content-Length": 0}))
        await self._writer.drain()
        line, fields = await http11.read_head(self._reader)
        status = int(line.split(" ")[1])
        if status == 200 and kind == "stream":
            await self._stream(attempt, wanted)
            self.ledger.answered(kind, attempt, status, "", True)
        else:
            body = await http11.read_body(self._reader, fields)
            self.ledger.answered(kind, attempt, status, body.decode(), True)
        if fields.get("connection") == "close":
            self._drop()
        return status == 200

    async def _stream(self, attempt, wanted):
        text = ""
        whole = False
        try:
            async for part in http11.read_chunks(self._reader):
                text += part.decode()
            whole = True
        finally:
            events = []
            for event in text.split("\n\n")[:-1]:
                number, data = event.split("\n")
                events.append((int(number[4:]), data[6:]))
            self.ledger.streamed(attempt, events, wanted, whole)

    def _drop(self):
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None
