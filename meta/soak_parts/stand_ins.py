"""Services on one port, and the platform's store as a host sees it."""

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
        """Appends a record; without a value, the key is dropped."""
        if isinstance(value, str):
            value = value.encode()
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
            self.put(topic, body[5:5 + size].decode(), body[5 + size:])
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
            data = bytes([len(key)]) + key.encode() + (value or b"")
            answer += struct.pack(">I", len(data)) + data
        return answer

    def _newest(self, topic):
        records = self.topics.get(topic, [])
        items = [{"key": key, "offset": 0,
                  "value": base64.b64encode(value).decode()}
                 for key, value in dict(records).items() if value]
        return json.dumps({"items": items, "more": False,
                           "end": len(records)}).encode()
