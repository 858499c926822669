"""A host survives servers that send bytes without end, in a head or a body.

Without a bound on what is read, such a server fills the memory of the host,
whose process is ended for it, or keeps its processor busy until the deadline.
"""

import argparse
import asyncio
import contextlib
import functools
import os
import random
import tempfile
import time
import unittest
from pathlib import Path

from soak_parts import http11
from soak_parts.world import World

BUILD = Path(__file__).parent.parent / "build" / os.environ.get(
    "GODWIT_PRESET", "release")
CALLS_OF_A_KIND = 12
# `memory_mb` of the smallest machines, over which a process is ended.
MEMORY_MB = 110
# A call may use its deadline where each byte might be part of an answer, but
# these bytes come as fast as the host reads them.
END_SECONDS = 5.0
CLOSE_SECONDS = 1.0
DEADLINE_MS = 9000
# The test ends by itself, whatever the host does.
LONGEST_SECONDS = 12.0
BLOCK = 64 * 1024

CHUNKED = "HTTP/1.1 200 OK\r\n{signed}Transfer-Encoding: chunked\r\n\r\n"
# What each kind of server sends first, and what it repeats.
HEADS = {
    "interim heads": ("", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "header fields": ("HTTP/1.1 200 OK\r\n", b"X-Field: value\r\n"),
    "a status line": ("HTTP/1.1 200 ", b"reason "),
    "no protocol": ("", b"\x00\xff\x17garbage"),
}
BODIES = {
    "a body to the end of the connection":
        ("HTTP/1.1 200 OK\r\n{signed}\r\n", b"abcdefgh"),
    "a body with a length":
        ("HTTP/1.1 200 OK\r\n{signed}Content-Length: 60000000\r\n\r\n",
         b"abcdefgh"),
    "chunks": (CHUNKED, http11.chunk(b"abcdefgh" * 512)),
    "a chunk's extension": (CHUNKED + "4;", b"extension"),
    "a trailer": (CHUNKED + "0\r\n", b"X-Field: value\r\n"),
    "a failure": ("HTTP/1.1 500 X\r\n{signed}\r\n", b"abcdefgh"),
    "an answer to another request":
        ("HTTP/1.1 200 OK\r\nX-Godwitworks-Attempt-Id: other\r\n\r\n",
         b"abcdefgh"),
}


class Endless:
    """Servers that answer each request with bytes without end."""

    def __init__(self, prefix, repeated):
        self.prefix = prefix
        self.block = repeated * (BLOCK // len(repeated))
        self.open = 0

    async def run(self, engine, target, fields, body, writer):
        signed = {
            "X-Godwitworks-Attempt-Id": fields["x-godwitworks-attempt-id"],
            "X-Godwitworks-Replica-Signature": engine.name}
        lines = "".join(f"{name}: {value}\r\n"
                        for name, value in signed.items())
        writer.write(self.prefix.replace("{signed}", lines).encode())
        self.open += 1
        end = time.monotonic() + LONGEST_SECONDS
        try:
            while time.monotonic() < end:
                writer.write(self.block)
                await writer.drain()
                await asyncio.sleep(0)
        finally:
            self.open -= 1


def highest_memory_mb(pid):
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    raise AssertionError("the process has no VmHWM")


async def call(host, kind, number):
    """The status, 0 if the answer is not whole, and the seconds to its end."""
    began = time.monotonic()
    reader, writer = await asyncio.open_connection("127.0.0.1", host.callers)
    writer.write(http11.head(f"POST /{kind}/x HTTP/1.1", {
        "Host": "soak.example", "X-Godwitworks-Attempt-Id": f"{kind}-{number}",
        "X-Godwitworks-Token-Usage": "50,50", "Authorization": "Bearer k1",
        "X-Godwitworks-Deadline-Ms": DEADLINE_MS, "Content-Length": 0}))
    status = 0
    with contextlib.suppress(http11.Broken, OSError):
        line, fields = await http11.read_head(reader)
        await http11.read_body(reader, fields)
        status = int(line.split()[1])
    writer.close()
    return status, time.monotonic() - began


class EntryEndlessTest(unittest.TestCase):
    def test_heads(self):
        for name, (prefix, repeated) in HEADS.items():
            with self.subTest(name):
                asyncio.run(self.play(Endless(prefix, repeated)))

    def test_bodies(self):
        for name, (prefix, repeated) in BODIES.items():
            with self.subTest(name):
                asyncio.run(self.play(Endless(prefix, repeated)))

    async def play(self, endless):
        world = World(argparse.Namespace(
            hosts=1, engines=2, callers=0, logs=None,
            programs=BUILD / "bin"), 1)
        world.rng = random.Random(1)
        with tempfile.TemporaryDirectory() as folder:
            await world._start(Path(folder))
            try:
                for engine in world.engines.values():
                    engine._run = functools.partial(endless.run, engine)
                await self.check(world.hosts[0], endless)
            finally:
                await world._stop()

    async def check(self, host, endless):
        results = await asyncio.gather(*(
            call(host, kind, number) for number in range(CALLS_OF_A_KIND)
            for kind in ("plain", "stream")))
        self.assertTrue(host.life.is_running())
        memory = highest_memory_mb(host.life.process.pid)
        statuses = sorted({status for status, _ in results})
        slowest = max(seconds for _, seconds in results)
        await asyncio.sleep(CLOSE_SECONDS)
        self.assertNotIn(200, statuses)
        self.assertLess(memory, MEMORY_MB)
        self.assertLess(slowest, END_SECONDS)
        self.assertEqual(0, endless.open)


if __name__ == "__main__":
    unittest.main()
