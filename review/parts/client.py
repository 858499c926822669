"""A client that keeps its connection, as PROTOCOL.md describes it."""

import asyncio
import contextlib
import secrets

from deployment import CLIENT_HOST, KEY, http11


class Client:
    """Sends streams to one host, one after the other."""

    def __init__(self, host, record, deadline_ms=6000):
        self._host = host
        self._record = record
        self._deadline_ms = deadline_ms
        self._reader = self._writer = None
        self.answers = {}

    async def connect(self):
        """Opens a connection unless one is kept."""
        if self._writer is None or self._writer.transport.is_closing():
            self._reader, self._writer = await asyncio.open_connection(
                "127.0.0.1", self._host.callers)

    def close(self):
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None

    async def stream(self, path, prompt, output):
        """Status of one request, 0 if its connection ended without one."""
        await self.connect()
        return await self.receive(self.send(path, prompt, output))

    def send(self, path, prompt, output):
        """Sends one request on the open connection; its Attempt-Id."""
        attempt = secrets.token_hex(8)
        body = b'{"prompt":"..."}'
        self._writer.write(http11.head(f"POST {path} HTTP/1.1", {
            "Host": CLIENT_HOST, "X-Godwitworks-Attempt-Id": attempt,
            "X-Godwitworks-Model": "m",
            "X-Godwitworks-Token-Usage": f"{prompt},{output}",
            "X-Godwitworks-Prompt-Prefix":
                f"5c1e07a2:80,{attempt}:{prompt - 80}",
            "X-Godwitworks-Deadline-Ms": self._deadline_ms,
            "Authorization": f"Bearer {KEY}",
            "Content-Length": len(body)}) + body)
        self._record.line(f"client sent {attempt} to {self._host.name}")
        return attempt

    async def receive(self, attempt):
        """Status of the answer, 0 if the connection ended without one."""
        status = 0
        with contextlib.suppress(
                http11.Broken, OSError, asyncio.TimeoutError):
            line, fields = await asyncio.wait_for(
                http11.read_head(self._reader), self._deadline_ms / 1000)
            answer = await asyncio.wait_for(
                http11.read_body(self._reader, fields),
                self._deadline_ms / 1000)
            status = int(line.split()[1])
            signed = "x-godwitworks-replica-signature" in fields
            self._record.line(
                f"client got {status} to {attempt}, signed={signed}, "
                f"{len(answer)} bytes"
                + ("" if status == 200 else f": {answer[:80]!r}"))
            if fields.get("connection") == "close":
                self.close()
        if not status:
            self._record.line(f"client got no answer to {attempt}")
            self.close()
        self.answers[attempt] = status
        return status
