"""A host survives crowds of clients that use each limit to its end.

Each client stays inside the limits. Without a bound on what all of them hold
together, their sum fills the memory or the descriptors of the host, whose
process is ended for it or serves nobody else.
"""

import argparse
import asyncio
import contextlib
import functools
import os
import random
import socket
import tempfile
import unittest
from pathlib import Path

from soak_parts import http11
from soak_parts.world import World

PROGRAMS = Path(os.environ.get(
    "GODWIT_PROGRAMS", Path(__file__).parents[2] / "build/release/bin"))

CROWD = 40
# What the kernel has received for each of these is less.
UNREAD_CROWD = 100
# With room for all of them at once.
ENGINES = 5
BODY_BYTES = 4 * 1024 * 1024
ANSWER_BYTES = 8 * 1024 * 1024
STREAM_EVENTS = 2000
EVENT_BYTES = 16 * 1024
# `memory_mb` of the smallest machines, over which a process is ended, in the
# smaller reading of the unit.
MEMORY_BYTES = 88_000_000
# Lowered for crowds of connections.
CONNECTIONS = 64
CONNECTION_CROWD = 200
HEAD_BYTES = 12 * 1024
# Beside its callers' connections, and as many to servers, a host has its
# listeners, its log, and connections to the store and the servers that it
# keeps.
OTHER_DESCRIPTORS = 100
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": BODY_BYTES,
          "header_timeout_ms": 60000, "idle_timeout_ms": 60000}
LOOK_SECONDS = 0.01
# How long a crowd stays after its last byte.
STAY_SECONDS = 2.5
# The test ends by itself, whatever the host does.
LONGEST_SECONDS = 30.0
SMALL_WINDOW = 4096
PIECE_BYTES = 64 * 1024
TRICKLE_BYTES = 512
TRICKLE_SECONDS = 0.2
PIPELINE_SECONDS = 0.05


class CrowdWorld(World):
    """One host, with the operator's limits of the pages."""

    def publish(self, make):
        super().publish(lambda version: make(version) | {"limits": LIMITS})


async def run(engine, target, fields, _body, writer):
    """Answers of the size that the path names, or a long stream."""
    signed = {
        "X-Godwitworks-Attempt-Id": fields["x-godwitworks-attempt-id"],
        "X-Godwitworks-Replica-Signature": engine.name}
    kind, size = target.split("/")[1:3]
    if size == "held":
        await asyncio.sleep(LONGEST_SECONDS)
    if kind == "plain":
        writer.write(http11.answer(200, b"x" * int(size), signed))
        return
    writer.write(http11.head("HTTP/1.1 200 OK", {
        **signed, "Transfer-Encoding": "chunked"}))
    for number in range(1, int(size) + 1):
        event = f"id: {number}\ndata: {'x' * EVENT_BYTES}\n\n".encode()
        writer.write(http11.chunk(event))
        await writer.drain()
    writer.write(http11.chunk(b""))


def request_head(kind, attempt, more):
    return http11.head(f"POST /{kind} HTTP/1.1", {
        "Host": "soak.example", "X-Godwitworks-Attempt-Id": attempt,
        "X-Godwitworks-Token-Usage": "50,50", "Authorization": "Bearer k1",
        "X-Godwitworks-Deadline-Ms": int(LONGEST_SECONDS * 1000), **more})


async def connect(host, window=None):
    """A raw connection; a small window leaves an unread answer at the host."""
    client = socket.socket()
    client.setblocking(False)
    if window:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
    await asyncio.get_running_loop().sock_connect(
        client, ("127.0.0.1", host.callers))
    return client


async def send(client, data):
    """Sends what the host takes; it may refuse or close the connection."""
    with contextlib.suppress(OSError):
        await asyncio.get_running_loop().sock_sendall(client, data)


async def receive(client, size):
    with contextlib.suppress(OSError):
        return await asyncio.get_running_loop().sock_recv(client, size)
    return b""


async def ask(host, kind, attempt, body=b"", is_chunked=False):
    """The status and the size of the answer's body; 0 if it is not whole."""
    reader, writer = await asyncio.open_connection("127.0.0.1", host.callers)
    framing = ({"Transfer-Encoding": "chunked"} if is_chunked
               else {"Content-Length": len(body)})
    status, size = 0, 0
    with contextlib.suppress(http11.Broken, OSError):
        writer.write(request_head(kind, attempt, framing))
        if is_chunked:
            for start in range(0, len(body), PIECE_BYTES):
                writer.write(http11.chunk(body[start:start + PIECE_BYTES]))
            writer.write(http11.chunk(b""))
        else:
            writer.write(body)
        line, fields = await http11.read_head(reader)
        size = len(await http11.read_body(reader, fields))
        status = int(line.split()[1])
    writer.close()
    return status, size


class Usage:
    """The most that the process held of memory and of descriptors.

    Bytes that the kernel has received for it and nobody has read count, also
    of connections that wait to be accepted.
    """

    def __init__(self, host):
        self.pid = host.life.process.pid
        self.port = f":{host.callers:04X}"
        self.memory = self.descriptors = 0

    async def watch(self):
        while True:
            self.look()
            await asyncio.sleep(LOOK_SECONDS)

    def look(self):
        with contextlib.suppress(OSError, ValueError):
            sockets = self._sockets()
            self.descriptors = max(self.descriptors, sockets.pop("all"))
            self.memory = max(
                self.memory, self._resident() + self._unread(sockets))

    def _resident(self):
        for line in Path(f"/proc/{self.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
        raise ValueError("the process has no VmRSS")

    def _sockets(self):
        """The inodes of its sockets, and the number of its descriptors."""
        names = os.listdir(f"/proc/{self.pid}/fd")
        sockets = {"all": len(names)}
        for name in names:
            with contextlib.suppress(OSError):
                target = os.readlink(f"/proc/{self.pid}/fd/{name}")
                if target.startswith("socket:["):
                    sockets[target[8:-1]] = True
        return sockets

    def _unread(self, sockets):
        unread = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            columns = line.split()
            waits = columns[9] == "0" and columns[1].endswith(self.port)
            is_listening = columns[3] == "0A"
            if not is_listening and (waits or columns[9] in sockets):
                unread += int(columns[4].partition(":")[2], 16)
        return unread


class CrowdsTest(unittest.TestCase):
    """Each test fails when the sum of what one crowd holds has no bound."""

    def test_whole_bodies(self):
        self.play(self.send_whole_body)

    def test_chunked_bodies(self):
        self.play(self.send_chunked_body)

    def test_pipelined_bodies(self):
        self.play(self.pipeline_body, UNREAD_CROWD)

    def test_heads(self):
        self.play(self.send_head, CONNECTION_CROWD, CONNECTIONS)

    def test_silent_connections(self):
        self.play(self.say_nothing, CONNECTION_CROWD, CONNECTIONS)

    def test_whole_answers(self):
        self.play(self.read_answer_slowly)

    def test_streams(self):
        self.play(self.read_stream_slowly, UNREAD_CROWD)

    # What one client of each crowd does. They begin one after the other: the
    # next one when the one before has done this.

    async def send_whole_body(self, host, number):
        client = await connect(host)
        await send(client, request_head("plain/8", f"crowd-{number}", {
            "Content-Length": BODY_BYTES}))
        await send(client, b"x" * (BODY_BYTES - 1))
        return client

    async def send_chunked_body(self, host, number):
        client = await connect(host)
        await send(client, request_head("plain/8", f"crowd-{number}", {
            "Transfer-Encoding": "chunked"}))
        for _ in range(BODY_BYTES // PIECE_BYTES):
            await send(client, http11.chunk(b"x" * PIECE_BYTES))
        return client

    async def pipeline_body(self, host, number):
        """A request that the server holds, and a further one behind it. The
        first body widens the window of the connection."""
        client = await connect(host)
        whole = {"Content-Length": BODY_BYTES}
        await send(client, request_head("plain/8", f"first-{number}", whole))
        await send(client, b"x" * BODY_BYTES)
        await receive(client, PIECE_BYTES)
        await send(client, request_head(
            "plain/held", f"held-{number}", {"Content-Length": 0}))
        await send(client, request_head("plain/8", f"next-{number}", whole))
        # What the host does not read waits here, not at the host.
        task = asyncio.create_task(send(client, b"x" * (BODY_BYTES - 1)))
        self.tasks.append(task)
        await asyncio.wait({task}, timeout=PIPELINE_SECONDS)
        return client

    async def send_head(self, host, number):
        client = await connect(host)
        whole = request_head("plain/8", f"crowd-{number}", {
            "X-Field": "x" * HEAD_BYTES})
        await send(client, whole[:-2])
        return client

    async def say_nothing(self, host, _):
        return await connect(host)

    async def read_answer_slowly(self, host, number):
        return await self.read_slowly(
            host, number, f"plain/{ANSWER_BYTES}")

    async def read_stream_slowly(self, host, number):
        return await self.read_slowly(host, number, f"stream/{STREAM_EVENTS}")

    async def read_slowly(self, host, number, kind):
        """Reads the head; then nothing, or a few bytes now and then."""
        client = await connect(host, SMALL_WINDOW)
        await send(client, request_head(
            kind, f"crowd-{number}", {"Content-Length": 0}))
        await receive(client, TRICKLE_BYTES)
        if number % 2:
            self.tasks.append(asyncio.create_task(self.trickle(client)))
        return client

    async def trickle(self, client):
        while await receive(client, TRICKLE_BYTES):
            await asyncio.sleep(TRICKLE_SECONDS)

    def play(self, begin, crowd=CROWD, connections=None):
        asyncio.run(self.play_in(begin, crowd, connections))

    async def play_in(self, begin, crowd, connections):
        self.tasks = []
        settings = {"caller_connections": connections} if connections else {}
        world = CrowdWorld(argparse.Namespace(
            hosts=1, engines=ENGINES, callers=0, logs=None,
            programs=PROGRAMS,
            entry_settings=settings), 1)
        world.rng = random.Random(1)
        with tempfile.TemporaryDirectory() as folder:
            await world._start(Path(folder))
            try:
                for engine in world.engines.values():
                    engine._run = functools.partial(run, engine)
                await self.check(
                    world.hosts[0], begin, crowd, connections or crowd)
            finally:
                await world._stop()

    async def check(self, host, begin, crowd, connections):
        usage = Usage(host)
        watch = asyncio.create_task(usage.watch())
        clients = []
        for number in range(crowd):
            clients.append(await asyncio.wait_for(
                begin(host, number), LONGEST_SECONDS))
        await asyncio.sleep(STAY_SECONDS)
        beside, _ = await asyncio.wait_for(
            ask(host, "plain/8", "ordinary"), LONGEST_SECONDS)
        for task in self.tasks:
            task.cancel()
        for client in clients:
            client.close()
        watch.cancel()
        usage.look()
        summary = (f"{usage.memory >> 20} MiB, {usage.descriptors} "
                   f"descriptors, {beside} beside the crowd")
        print(summary, flush=True)
        self.assertTrue(host.life.is_running(), summary)
        self.assertLess(usage.memory, MEMORY_BYTES, summary)
        self.assertLess(usage.descriptors,
                        2 * connections + OTHER_DESCRIPTORS, summary)
        self.assertEqual(200, beside, summary)
        await self.check_calm(host)

    async def check_calm(self, host):
        """The largest legal request and answer, after the crowd has gone."""
        await asyncio.sleep(STAY_SECONDS)
        body = b"x" * BODY_BYTES
        for attempt, size, sent, is_chunked in (
                ("whole", 8, body, False), ("chunked", 8, body, True),
                ("answer", ANSWER_BYTES, b"", False)):
            answered = await asyncio.wait_for(
                ask(host, f"plain/{size}", attempt, sent, is_chunked),
                LONGEST_SECONDS)
            self.assertEqual((200, size), answered, attempt)


if __name__ == "__main__":
    unittest.main()
