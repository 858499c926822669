"""Single streams, each over a connection of its own."""

import asyncio
import zlib

from soak_parts import http11

# The first part of every prompt, and the number of sessions that share others.
FIRST_PART = "f1:30"
SESSIONS = 12


def prompt_parts(attempt):
    """The parts of a sound request's prompt: all share the first one, some the
    second, none the last."""
    number = zlib.crc32(attempt.encode())
    return f"{FIRST_PART},5e{number % SESSIONS}:10,{number:x}:10"


async def request_stream(world, attempt, host, body, parts):
    """Sends a request to a host and reads what comes, if anything."""
    world.ledger.sent[attempt] = body
    world.ledger.hosts[attempt] = host
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection("127.0.0.1", host.callers), 1)
    except (OSError, asyncio.TimeoutError):
        return
    try:
        writer.write(http11.head("POST /stream/x HTTP/1.1", {
            "Host": "soak.example",
            "X-Godwitworks-Attempt-Id": attempt,
            "X-Godwitworks-Token-Usage": "50,20",
            "X-Godwitworks-Prompt-Prefix": parts,
            "X-Godwitworks-Deadline-Ms": 2000,
            "Authorization": "Bearer k1",
            "Content-Length": len(body)}) + body)
        await asyncio.wait_for(reader.read(), 3)
    except (OSError, asyncio.TimeoutError):
        pass
    finally:
        http11.reset(writer)
