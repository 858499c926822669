"""Callers with kept connections, until the process at the other end is gone."""

import asyncio

from soak_parts import http11

KINDS = ("plain", "again", "stream")
ANSWER_LIMIT = 12.0
# The deadline of each request, with room for a busy machine.
DEADLINE_MS = 9000
IN_TIME_SECONDS = 11.0
LARGEST_BODY = 3000
LEAVING_SHARE = 0.06
PIECES_SHARE = 0.4


class Left(Exception):
    """This caller went away by itself."""


class Cut(Exception):
    """The connection ended after the head of an answer."""


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
        self.is_steady = False
        self._reader = self._writer = self._life = None

    async def run(self, clock):
        while not self.is_done:
            self.count += 1
            kind = self.rng.choice(KINDS)
            began, paused = clock(), self.host.paused_seconds()
            good = await self._one(kind, f"{self.name}-{self.count}")
            waited = (clock() - began
                      - (self.host.paused_seconds() - paused))
            if good is False:
                self.ledger.waited(f"{self.name}-{self.count}", self.host,
                                   waited, IN_TIME_SECONDS)
            if good is not None:
                self.good.append((clock(), good))
            await asyncio.sleep(self.rng.uniform(0.0, 0.08))

    async def _one(self, kind, attempt):
        """Whether the request was served; None if this caller left."""
        try:
            if self._writer is None:
                await self._connect()
            return await asyncio.wait_for(
                self._exchange(kind, attempt), ANSWER_LIMIT)
        except Left:
            self.ledger.left(kind)
            self._drop()
            return None
        except asyncio.TimeoutError:
            why = "late"
        except Cut:
            why = "cut"
        except (http11.Broken, ConnectionError, OSError):
            why = "not connected" if self._writer is None else "no answer"
        self.ledger.lost(kind, attempt, self._life, why)
        self._drop()
        return False

    async def _connect(self):
        was_up = self.host.is_up()
        self._life = self.host.life
        try:
            self._reader, self._writer = await asyncio.open_connection(
                "127.0.0.1", self.host.callers)
        except OSError:
            self.ledger.check("listens", not was_up or self._life.was_told(),
                              f"{self.host.name} refused a connection")
            raise

    async def _exchange(self, kind, attempt):
        wanted = self.rng.randint(5, 60)
        leaves = self._leaves()
        await self._send(kind, attempt, wanted, leaves)
        if leaves == "waiting":
            await asyncio.sleep(self.rng.uniform(0.0, 0.2))
            raise Left
        status, fields = await self._read_head()
        try:
            body = await self._read_answer(
                kind, attempt, status, fields, wanted, leaves)
        except (http11.Broken, ConnectionError) as why:
            raise Cut from why
        self.ledger.answered(kind, attempt, status, body, fields)
        if fields.get("connection", "").lower() == "close":
            self._drop()
        return status == 200

    def _leaves(self):
        """When this caller goes away before it has its answer, if at all."""
        if self.is_steady or self.rng.random() > LEAVING_SHARE:
            return None
        return self.rng.choice(("sending", "waiting", "reading"))

    async def _send(self, kind, attempt, wanted, leaves):
        method = "POST"
        if kind == "again" and self.rng.random() < 0.5:
            method = "GET"
        body, framing, encoded = self._body(method)
        self.ledger.sent[attempt] = body
        data = http11.head(f"{method} /{kind}/x HTTP/1.1", {
            "Host": "soak.example",
            "X-Godwitworks-Attempt-Id": attempt,
            "X-Godwitworks-Token-Usage": f"50,{wanted}",
            "X-Godwitworks-Deadline-Ms": DEADLINE_MS,
            "Authorization": f"Bearer {self.key}", **framing}) + encoded
        if leaves == "sending":
            self.ledger.unfinished.add(attempt)
            data = data[:self.rng.randint(0, len(data) - 1)]
        if self.rng.random() < PIECES_SHARE:
            await http11.send_cut(self._writer, data, self.rng)
        else:
            self._writer.write(data)
            await self._writer.drain()
        if leaves == "sending":
            raise Left

    def _body(self, method):
        """A body, the fields that frame it, and its bytes on the wire."""
        if method == "GET":
            return b"", {}, b""
        body = b""
        if self.rng.random() < 0.6:
            body = self.rng.randbytes(self.rng.randint(1, LARGEST_BODY))
        if self.rng.random() < 0.5:
            return body, {"Content-Length": len(body)}, body
        return (body, {"Transfer-Encoding": "chunked"},
                http11.chunks(body, self.rng))

    async def _read_head(self):
        status = 100
        while status < 200:
            line, fields = await http11.read_head(self._reader)
            status = int(line.split(" ")[1])
        return status, fields

    async def _read_answer(self, kind, attempt, status, fields, wanted,
                           leaves):
        if status == 200 and kind == "stream":
            most = self.rng.randint(0, wanted) if leaves else None
            await self._stream(attempt, wanted, most)
            return b""
        if leaves:
            raise Left
        return await http11.read_body(self._reader, fields)

    async def _stream(self, attempt, wanted, most):
        """Reads a stream to its end, or leaves after `most` chunks."""
        text = ""
        whole = False
        count = 0
        try:
            async for part in http11.read_chunks(self._reader):
                text += part.decode()
                count += 1
                if most is not None and count > most:
                    raise Left
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
