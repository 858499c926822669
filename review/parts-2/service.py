"""A stand-in for a replica of a plain service, as PROTOCOL.md describes it."""

import asyncio
import itertools
import time

from http11 import Server, format_response, read_request

numbers = itertools.count(1)


class Replica(Server):
    def __init__(self, store, service, zone, work_s=0.02, slots=6, **more):
        super().__init__(more.pop("host", "127.0.0.1"))
        number = next(numbers)
        self.id = f"i-{number:08x}"
        self.store, self.service, self.zone = store, service, zone
        self.work_s, self.slots = work_s, slots
        self.sequence = 1
        self.state = "ready"
        self.arrivals = []  # (moment, attempt id, method, target, headers)
        self.on_run = None

    def entry(self):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup_left_ms": 0,
            "sequence": self.sequence,
        }

    async def register(self):
        self.sequence += 1
        return await self.store.put("keyed.servers", self.id, self.entry())

    async def unregister(self):
        """Removes the entry, as a replica that never reports `draining`."""
        return await self.store.put("keyed.servers", self.id, None)

    async def serve(self, reader, writer):
        while True:
            method, target, headers, body = await read_request(reader)
            arrived = time.monotonic()
            expected = headers.get("X-Godwitworks-Expect-Replica")
            if expected is not None and expected != self.id:
                writer.write(
                    format_response(
                        421,
                        [
                            ("X-Godwitworks-Replica-Id", self.id),
                            ("X-Godwitworks-Not-Executed", "1"),
                        ],
                    )
                )
            elif target == "/health":
                writer.write(
                    format_response(
                        200, [("X-Godwitworks-Replica-Id", self.id)]
                    )
                )
            else:
                attempt = headers.get("X-Godwitworks-Attempt-Id", "")
                self.arrivals.append(
                    (arrived, attempt, method, target, headers)
                )
                await self.run(method, target, headers, body, writer, attempt)
            await writer.drain()

    async def run(self, method, target, headers, body, writer, attempt):
        await asyncio.sleep(self.work_s)
        writer.write(
            format_response(
                200,
                [
                    ("X-Godwitworks-Attempt-Id", attempt),
                    ("X-Godwitworks-Replica-Signature", f"{self.id}.{attempt}"),
                    ("X-Godwitworks-Replica-Load", f"1,0,{self.slots}"),
                ],
                f"{self.id} {attempt}".encode(),
            )
        )
