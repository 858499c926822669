"""A replica of a plain service, as PROTOCOL.md describes it."""

import asyncio
import secrets

from deployment import Server
from soak_parts import http11

WORK_SECONDS = 0.06


class Application(Server):
    """Answers each request after its work."""

    def __init__(self, name, service, record, slots):
        super().__init__(name, service, record, slots)
        self.has_run = {}

    async def respond(self, method, target, fields, body, writer):
        if target == "/health":
            writer.write(http11.answer(200, b"", {
                "X-Godwitworks-Replica-Id": self.name}))
            return
        attempt = fields["x-godwitworks-attempt-id"]
        signed = {"X-Godwitworks-Attempt-Id": attempt}
        if fields.get("x-godwitworks-expect-replica") != self.name:
            writer.write(http11.answer(421, b"", {
                "X-Godwitworks-Not-Executed": 1, **signed,
                "X-Godwitworks-Replica-Id": self.name}))
            return
        self.has_run[attempt] = self.has_run.get(attempt, 0) + 1
        self.record.line(f"{self.name} runs {attempt}, {len(body)} bytes")
        await asyncio.sleep(WORK_SECONDS)
        signature = f"{self.name}.{secrets.token_hex(4)}"
        writer.write(http11.answer(200, b"saved", {
            **signed, "X-Godwitworks-Replica-Signature": signature}))
