"""Callers with kept connections, until the process at the other end is gone."""

import asyncio
import itertools

from soak_parts import http11
from soak_parts.streams import prompt_parts

METHODS = {"plain": ("POST",), "again": ("GET", "POST"), "stream": ("POST",)}
ANSWER_LIMIT = 12.0
# The deadline of each request, with room for a busy machine.
DEADLINE_MS = 9000
IN_TIME_SECONDS = 11.0
LARGEST_BODY = 3000
# When a caller goes away before it has its answer, if at all.
LEAVES = (None,) * 47 + ("sending", "waiting", "reading")
PIECES_SHARE = 0.4


async def begin_stream(host, attempt, usage):
    """The connection to the entry host over which a stream has begun."""
    reader, writer = await asyncio.open_connection("127.0.0.1", host.callers)
    writer.write(http11.head("POST /stream/x HTTP/1.1", {
        "Host": "soak.example",
        "X-Godwitworks-Attempt-Id": attempt,
        "X-Godwitworks-Token-Usage": usage,
        "Authorization": "Bearer k1", "Content-Length": 0}))
    line, _ = await http11.read_head(reader)
    if "200" not in line:
        raise AssertionError(f"{attempt} did not begin: {line}")
    return reader, writer


class Left(Exception):
    """This caller went away by itself."""


class Caller:
    """Sends one request after another to one entry host."""

    def __init__(self, name, host, ledger, rng):
        self.name = name
        self.host = host
        self.ledger = ledger
        self.rng = rng
        self.good = []
        self.is_done = self.is_steady = False
        self._reader = self._writer = self._life = None
        # How a request ends if its connection ends now.
        self._stage = ""

    async def run(self, clock):
        for count in itertools.count(1):
            if self.is_done:
                return
            kind = self.rng.choice(list(METHODS))
            attempt = f"{self.name}-{count}"
            began = clock() - self.host.paused_seconds()
            good = await self._one(kind, attempt)
            if good is False:
                waited = clock() - self.host.paused_seconds() - began
                self.ledger.check(
                    "in time", waited < IN_TIME_SECONDS, f"{attempt}: "
                    f"nothing of {self.host.name} for {waited:.1f} s")
            if good is not None:
                self.good.append((clock(), good))
            await asyncio.sleep(self.rng.uniform(0.0, 0.08))

    async def _one(self, kind, attempt):
        """Whether the request was served; None if this caller left."""
        try:
            if self._writer is None:
                await self._connect()
            self._stage = "no answer"
            return await asyncio.wait_for(
                self._exchange(kind, attempt), ANSWER_LIMIT)
        except Left:
            why = "left"
        except asyncio.TimeoutError:
            why = "late"
        except (http11.Broken, OSError):
            why = self._stage
        self.ledger.lost(kind, attempt, self._life, why)
        self._drop()
        return None if why == "left" else False

    async def _connect(self):
        self._stage = "not connected"
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
        leaves = None if self.is_steady else self.rng.choice(LEAVES)
        await self._send(kind, attempt, wanted, leaves)
        if leaves == "waiting":
            await asyncio.sleep(self.rng.uniform(0.0, 0.2))
            raise Left
        status, fields = await self._read_head()
        self._stage = "cut"
        body = b""
        if status == 200 and kind == "stream":
            await self._stream(attempt, wanted, leaves, fields)
        elif leaves:
            raise Left
        else:
            body = await http11.read_body(self._reader, fields)
        self.ledger.answered(kind, attempt, status, body, fields)
        if fields.get("connection", "").lower() == "close":
            self._drop()
        return status == 200

    async def _send(self, kind, attempt, wanted, leaves):
        method = self.rng.choice(METHODS[kind])
        body, framing, encoded = self._body(method)
        self.ledger.sent[attempt] = body
        self.ledger.hosts[attempt] = self.host
        data = http11.head(f"{method} /{kind}/x HTTP/1.1", {
            "Host": "soak.example",
            "X-Godwitworks-Attempt-Id": attempt,
            "X-Godwitworks-Token-Usage": f"50,{wanted}",
            "X-Godwitworks-Prompt-Prefix": prompt_parts(attempt),
            "X-Godwitworks-Deadline-Ms": DEADLINE_MS,
            "Authorization": "Bearer k1", **framing}) + encoded
        if leaves == "sending":
            self.ledger.unfinished.add(attempt)
            data = data[:self.rng.randint(0, len(data) - 1)]
        whole = self.rng.random() >= PIECES_SHARE
        await http11.send(self._writer, data, None if whole else self.rng)
        if leaves == "sending":
            raise Left

    def _body(self, method):
        """A body, the fields that frame it, and its bytes on the wire."""
        if method == "GET":
            return b"", {}, b""
        size = self.rng.choice((0, LARGEST_BODY, LARGEST_BODY))
        body = self.rng.randbytes(self.rng.randint(0, size))
        if self.rng.random() < 0.5:
            return body, {"Content-Length": len(body)}, body
        return (body, {"Transfer-Encoding": "chunked"},
                http11.chunks(body, self.rng))

    async def _read_head(self):
        status = 100
        while 100 <= status < 200:
            line, fields = await http11.read_head(self._reader)
            status = int(line.split(" ")[1])
        return status, fields

    async def _stream(self, attempt, wanted, leaves, fields):
        """Reads a stream to its end, or leaves after some chunks."""
        most = self.rng.randint(0, wanted) if leaves else wanted
        text = ""
        whole = False
        try:
            async for part in http11.read_parts(self._reader, fields):
                text += part.decode()
                if leaves and text.count("\n\n") > most:
                    raise Left
            whole = True
        finally:
            self.ledger.streamed(attempt, text, wanted, whole)

    def _drop(self):
        if self._writer is not None:
            self._writer.transport.abort()
        self._reader = self._writer = None
