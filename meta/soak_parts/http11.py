"""Just enough HTTP/1.1 over asyncio streams for stand-ins and callers."""

import asyncio
import contextlib
import socket
import struct

LONGEST_GAP = 0.004
MOST_PIECES = 40


class Broken(Exception):
    """The peer closed, reset, or sent what is no HTTP."""


@contextlib.contextmanager
def _as_broken():
    try:
        yield
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError,
            ValueError, ConnectionError) as why:
        raise Broken(str(why)) from why


async def read_head(reader):
    """The first line and the fields of a message, names in lower case."""
    with _as_broken():
        raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.lower()] = value.strip()
    return lines[0], fields


async def read_chunks(reader):
    """Yields the chunks of a chunked body; ends only at its true end."""
    while True:
        with _as_broken():
            size = int(await reader.readline(), 16)
            data = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield data[:-2]


async def read_parts(reader, fields):
    """Yields the parts of a body as they come; ends only at its true end."""
    if fields.get("transfer-encoding") == "chunked":
        async for part in read_chunks(reader):
            yield part
        return
    size = int(fields.get("content-length", 0))
    with _as_broken():
        yield await reader.readexactly(size)


async def read_body(reader, fields):
    """The whole body of a message."""
    return b"".join([part async for part in read_parts(reader, fields)])


def head(first_line, fields):
    """The bytes of a message's head."""
    lines = [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join([first_line, *lines, "", ""]).encode("latin-1")


def answer(status, body=b"", fields=None):
    """The bytes of a whole answer."""
    return head(f"HTTP/1.1 {status} X",
                {**(fields or {}), "Content-Length": len(body)}) + body


def chunk(data):
    """The bytes of one chunk."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def chunks(data, rng):
    """The bytes of a whole body in chunks of random sizes."""
    encoded = b""
    while data:
        size = rng.randint(1, len(data))
        encoded += chunk(data[:size])
        data = data[size:]
    return encoded + chunk(b"")


def cut(data, rng):
    """The pieces of `data`, cut anywhere, often byte by byte at its end."""
    if len(data) < 2:
        return [data]
    inner = range(1, len(data))
    if rng.random() < 0.5:
        places = inner[-rng.randint(1, 12):]
    else:
        most = min(len(inner), MOST_PIECES)
        places = sorted(rng.sample(inner, rng.randint(1, most)))
    return [data[start:end]
            for start, end in zip((0, *places), (*places, len(data)))]


async def send(writer, data, rng=None):
    """Sends `data`; with `rng`, in pieces that mostly arrive apart."""
    for piece in cut(data, rng) if rng else (data,):
        writer.write(piece)
        await writer.drain()
        if rng:
            await asyncio.sleep(rng.uniform(0.0, LONGEST_GAP))


def reset(writer):
    """Ends a connection with a reset, not with an orderly end."""
    connected = writer.get_extra_info("socket")
    if connected is not None and not writer.transport.is_closing():
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                             struct.pack("ii", 1, 0))
    writer.transport.abort()
