"""A stand-in for the platform's metadata store: keyed topics of one partition.

It keeps what it has acknowledged and answers in the order of its log. Outages
are those that the pages name: it may be down, or lose answers. A connection on
which an answer was lost returns nothing further.
"""

import asyncio
import base64
import json
import struct
import time
from urllib.parse import parse_qs, unquote_to_bytes, urlsplit

from http11 import Server, format_response, read_request

CALL_S = 0.004  # The store answers in 4 ms.


class Store(Server):
    def __init__(self, host="127.0.0.1"):
        super().__init__(host)
        self.topics = {}
        self.changed = asyncio.Condition()
        self.is_up = True
        self.resets = False
        self.lost = set()  # Connections on which an answer was lost.
        self.pending = set()  # Connections whose call has no answer yet.
        self.on_call = None

    # What the operator and the replicas do.

    async def put(self, topic, key, value):
        """Appends a record; returns the moment of the acknowledgement."""
        async with self.changed:
            records = self.topics.setdefault(topic, [])
            data = b"" if value is None else value
            if isinstance(data, (dict, list)):
                data = json.dumps(data, separators=(",", ":")).encode()
            records.append((key.encode(), data))
            acknowledged = time.monotonic()
            self.changed.notify_all()
        return acknowledged

    def go_down(self, how="silent"):
        """Until `come_back`, answers nothing; calls under way lose theirs.

        With `reset`, it resets its connections and each new one.
        """
        self.is_up = False
        self.resets = how == "reset"
        if self.resets:
            self.reset_connections()
        else:
            self.lost |= self.pending

    def come_back(self):
        self.is_up = True

    # What the entry hosts see.

    async def serve(self, reader, writer):
        while True:
            method, target, _, body = await read_request(reader)
            self.pending.add(writer)
            try:
                if not self.is_up and self.resets:
                    writer.transport.abort()
                    return
                if not self.is_up:
                    self.lost.add(writer)
                answer = None
                if writer not in self.lost:
                    await asyncio.sleep(CALL_S)
                    answer = await self.answer(method, target, body, writer)
                if writer in self.lost or not self.is_up:
                    self.lost.add(writer)
                    await reader.read()  # Until the host gives up.
                    return
                writer.write(answer)
                await writer.drain()
            finally:
                self.pending.discard(writer)

    async def answer(self, method, target, body, writer):
        parts = urlsplit(target)
        query = {
            k: v[-1]
            for k, v in parse_qs(
                parts.query, encoding="latin-1", keep_blank_values=True
            ).items()
        }
        if self.on_call:
            self.on_call(method, parts.path, query, writer)
        topic = query.get("topic", "")
        records = self.topics.setdefault(topic, [])
        if parts.path == "/api/log-append":
            return await self.append(topic, query, body)
        if parts.path == "/api/log-newest":
            after = query.get("after", "").encode("latin-1")
            return self.newest(records, after)
        if parts.path == "/api/log-read":
            return await self.read(topic, query, writer)
        return format_response(404)

    async def append(self, topic, query, body):
        records = self.topics.setdefault(topic, [])
        if topic in ("keyed.op", "keyed.servers"):
            return format_response(403)
        if "at" in query and int(query["at"]) != len(records):
            return self.json(412, {"end": len(records)})
        first = len(records)
        while body:
            (size,) = struct.unpack(">I", body[:4])
            content, body = body[4 : 4 + size], body[4 + size :]
            key = content[1 : 1 + content[0]]
            value = content[1 + content[0] :]
            await self.put(topic, key.decode("latin-1"), value)
        return self.json(200, {"offset": first, "end": len(records)})

    def newest(self, records, after):
        latest = {}
        for offset, (key, value) in enumerate(records):
            latest.pop(key, None)
            if value:
                latest[key] = (value, offset)
        keys = sorted(k for k in latest if k > after)
        items = [
            {
                "key": key.decode("latin-1"),
                "value": base64.b64encode(latest[key][0]).decode(),
                "offset": latest[key][1],
            }
            for key in keys[:500]
        ]
        more = len(keys) > 500
        return self.json(
            200, {"items": items, "more": more, "end": len(records)}
        )

    async def read(self, topic, query, writer):
        offset = int(query["from"])
        end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        records = self.topics.setdefault(topic, [])
        async with self.changed:
            while len(records) <= offset and time.monotonic() < end:
                try:
                    await asyncio.wait_for(
                        self.changed.wait(), end - time.monotonic()
                    )
                except (asyncio.TimeoutError, TimeoutError):
                    break
        out = struct.pack(">QQ", len(records), 0)
        for key, value in records[offset:]:
            content = bytes([len(key)]) + key + value
            out += struct.pack(">I", len(content)) + content
        return format_response(200, body=out)

    @staticmethod
    def json(status, value):
        return format_response(
            status,
            [("Content-Type", "application/json")],
            json.dumps(value).encode(),
        )
