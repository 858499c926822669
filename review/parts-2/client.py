"""Clients that keep their connections and send requests at a steady rate."""

import asyncio
import secrets
import time

from http11 import format_request, read_body, read_head


class Client:
    """One client with one kept connection to an entry host."""

    def __init__(self, address, host_name, key=None, deadline_ms=1000):
        self.address, self.host_name, self.key = address, host_name, key
        self.deadline_ms = deadline_ms
        self.reader = self.writer = None

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def send(self, method, path, body=b"", key=None, fields=()):
        """Returns (attempt id, sent at, status or the failure, headers, body)."""
        attempt = secrets.token_hex(8)
        lines = [
            ("Host", self.host_name),
            ("X-Godwitworks-Attempt-Id", attempt),
            ("X-Godwitworks-Deadline-Ms", str(self.deadline_ms)),
        ]
        key = key or self.key
        if key:
            lines.append(("Authorization", "Bearer " + key))
        lines += list(fields)
        sent = time.monotonic()
        try:
            if self.writer is None:
                host, port = self.address.rsplit(":", 1)
                self.reader, self.writer = await asyncio.wait_for(
                    asyncio.open_connection(host, int(port), limit=1 << 20), 1
                )
            sent = time.monotonic()
            self.writer.write(format_request(method, path, lines, body))
            await self.writer.drain()
            start, headers = await asyncio.wait_for(
                read_head(self.reader), self.deadline_ms / 1000 + 1
            )
            answer = await read_body(self.reader, headers)
            status = int(start.split(" ")[1])
            if (headers.get("Connection") or "").lower() == "close":
                self.close()
            return attempt, sent, status, headers, answer
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as e:
            self.close()
            return attempt, sent, type(e).__name__, None, b""


class Stream:
    """One streaming request on a connection of its own."""

    def __init__(self, address, host_name, key, path, usage, deadline_ms=39000):
        self.address, self.host_name, self.key = address, host_name, key
        self.path, self.usage, self.deadline_ms = path, usage, deadline_ms
        self.attempt = secrets.token_hex(8)
        self.sent = None
        self.status = None
        self.ids = []  # (moment, id) of each event.
        self.is_complete = False
        self.failure = None

    async def run(self):
        host, port = self.address.rsplit(":", 1)
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(host, int(port), limit=1 << 20), 1
            )
            part = self.attempt[:8]
            prompt = self.usage.split(",")[0]
            writer.write(
                format_request(
                    "POST",
                    self.path,
                    [
                        ("Host", self.host_name),
                        ("X-Godwitworks-Attempt-Id", self.attempt),
                        ("X-Godwitworks-Model", "m"),
                        ("X-Godwitworks-Token-Usage", self.usage),
                        ("X-Godwitworks-Prompt-Prefix", f"{part}:{prompt}"),
                        ("X-Godwitworks-Deadline-Ms", str(self.deadline_ms)),
                        ("Authorization", "Bearer " + self.key),
                    ],
                    b"p" * 200,
                )
            )
            self.sent = time.monotonic()
            start, headers = await read_head(reader)
            self.status = int(start.split(" ")[1])
            if self.status != 200:
                await read_body(reader, headers)
                return
            text = b""
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    self.is_complete = True
                    break
                text += data[:-2]
                while b"\n\n" in text:
                    event, text = text.split(b"\n\n", 1)
                    number = int(event.split(b"\n")[0].split(b":")[1])
                    self.ids.append((time.monotonic(), number))
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as e:
            self.failure = type(e).__name__
        finally:
            if writer:
                writer.close()
