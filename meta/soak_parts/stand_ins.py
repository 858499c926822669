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

    def kill(self):
        """Ends like a killed process: what the kernel has is still sent, and
        its connections end in the orderly way."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

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

    It is a status, `slow` or `lost`. `clock` tells the seconds.
    """

    def __init__(self, clock):
        super().__init__()
        self.topics = defaultdict(list)
        self.clock = clock
        self.era = 1
        self._fault = ""
        self._is_away = False
        self._disturbed_at = 0.0

    @property
    def fault(self):
        return self._fault

    @fault.setter
    def fault(self, fault):
        self._fault = fault
        self._disturbed_at = self.clock()

    @property
    def is_away(self):
        """Whether it refuses every call."""
        return self._is_away

    @is_away.setter
    def is_away(self, is_away):
        self._is_away = is_away
        self._disturbed_at = self.clock()

    def calm_seconds(self):
        """Seconds since the last fault; 0 during one."""
        if self.fault or self.is_away:
            return 0.0
        return self.clock() - self._disturbed_at

    def put(self, topic, key, value):
        """Appends a record; without a value, the key is dropped."""
        if isinstance(value, str):
            value = value.encode()
        self.topics[topic].append((key, value, self.clock()))

    def restore(self, seconds):
        """Goes back to the records of so many seconds ago, in the next era;
        those that are lost, by topic."""
        moment = self.clock() - seconds
        lost = defaultdict(list)
        for topic, records in self.topics.items():
            kept = sum(written <= moment for _, _, written in records)
            lost[topic] = [record[:2] for record in records[kept:]]
            del records[kept:]
        self.era += 1
        self._disturbed_at = self.clock()
        return lost

    def newest_values(self, topic):
        """The newest value of each key that has one."""
        newest = {key: value for key, value, _ in self.topics[topic]}
        return {key: value for key, value in newest.items() if value}

    async def respond(self, method, target, fields, body, writer):
        if self.is_away:
            raise http11.Broken("the store is away")
        if self.fault.isdigit():
            writer.write(self._answer(self.fault))
            return
        if self.fault == "slow":
            await asyncio.sleep(SLOW_SECONDS)
        url = urlparse(target)
        query = {name: value[0] for name, value in parse_qs(url.query).items()}
        topic = query.get("topic", "")
        status, answer = 200, b"{}"
        if url.path == "/api/log-read":
            status, answer = await self._read(topic, query)
        elif url.path == "/api/log-newest":
            answer = self._newest(topic)
        elif url.path == "/api/log-append":
            end = 5 + body[4]
            self.put(topic, body[5:end].decode(), body[end:])
        else:
            status = 404
        if self.fault != "lost":
            writer.write(self._answer(status, answer))

    def _answer(self, status, body=b""):
        return http11.answer(status, body, {"Store-Era": self.era})

    async def _read(self, topic, query):
        start = int(query["from"])
        now = asyncio.get_running_loop().time
        end = now() + int(query.get("wait_ms", 0)) / 1000
        records = self.topics[topic]
        while len(records) == start and now() < end:
            await asyncio.sleep(0.01)
        if len(records) < start:
            return 410, b"{}"
        answer = struct.pack(">QQ", len(records), 0)
        for key, value, _ in records[start:]:
            data = bytes([len(key)]) + key.encode() + (value or b"")
            answer += struct.pack(">I", len(data)) + data
        return 200, answer

    def _newest(self, topic):
        items = [{"key": key, "offset": 0,
                  "value": base64.b64encode(value).decode()}
                 for key, value in self.newest_values(topic).items()]
        return json.dumps({"items": items, "more": False,
                           "end": len(self.topics[topic])}).encode()
