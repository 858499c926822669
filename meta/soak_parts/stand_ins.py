"""Services on one port, and the platform's store as a host sees it."""

import asyncio
import base64
import json
import struct
from collections import defaultdict
from urllib.parse import parse_qs, urlparse

from soak_parts import http11

SLOW_SECONDS = 0.3


class Service:
    """Serves one address; an answer is written by `respond`."""

    def __init__(self, ledger=None):
        self.ledger = ledger
        self.port = 0
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def stop(self):
        """Ends like a crash."""
        self._server.close()
        self.reset()

    def reset(self):
        """Resets every open connection."""
        for writer in list(self._writers):
            http11.reset(writer)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                line, fields = await http11.read_head(reader)
                body = await http11.read_body(reader, fields)
                method, target, _ = line.split(" ", 2)
                await self.respond(method, target, fields, body, writer)
                await writer.drain()
        except (http11.Broken, OSError, ValueError,
                asyncio.CancelledError):
            writer.transport.abort()
        finally:
            self._writers.discard(writer)


class Store(Service):
    """Keyed topics with one partition; `fault` spoils every call.

    It is a status, `slow` or `lost`.
    """

    def __init__(self):
        super().__init__()
        self.topics = defaultdict(list)
        self.fault = ""

    def put(self, topic, key, value):
        """Appends a record; without a value, the key is dropped."""
        if isinstance(value, str):
            value = value.encode()
        self.topics[topic].append((key, value))

    async def respond(self, method, target, fields, body, writer):
        if self.fault.isdigit():
            writer.write(http11.answer(self.fault))
            return
        if self.fault == "slow":
            await asyncio.sleep(SLOW_SECONDS)
        url = urlparse(target)
        query = {name: value[0] for name, value in parse_qs(url.query).items()}
        topic = query.get("topic", "")
        status, answer = 200, b"{}"
        if url.path == "/api/log-read":
            answer = await self._read(topic, query)
        elif url.path == "/api/log-newest":
            answer = self._newest(topic)
        elif url.path == "/api/log-append":
            end = 5 + body[4]
            self.put(topic, body[5:end].decode(), body[end:])
        else:
            status = 404
        if self.fault != "lost":
            writer.write(http11.answer(status, answer))

    async def _read(self, topic, query):
        start = int(query["from"])
        now = asyncio.get_running_loop().time
        end = now() + int(query.get("wait_ms", 0)) / 1000
        records = self.topics[topic]
        while len(records) <= start and now() < end:
            await asyncio.sleep(0.01)
        answer = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            data = bytes([len(key)]) + key.encode() + (value or b"")
            answer += struct.pack(">I", len(data)) + data
        return answer

    def _newest(self, topic):
        records = self.topics[topic]
        items = [{"key": key, "offset": 0,
                  "value": base64.b64encode(value).decode()}
                 for key, value in dict(records).items() if value]
        return json.dumps({"items": items, "more": False,
                           "end": len(records)}).encode()
