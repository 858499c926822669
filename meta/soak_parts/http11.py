"""Just enough HTTP/1.1 over asyncio streams for stand-ins and callers."""

import asyncio


class Broken(Exception):
    """The peer closed, reset, or sent what is no HTTP."""


async def read_head(reader):
    """The first line and the fields of a message, names in lower case."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError,
            ConnectionError) as why:
        raise Broken(str(why)) from why
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
        try:
            line = await reader.readline()
            size = int(line, 16)
            data = await reader.readexactly(size + 2)
        except (asyncio.IncompleteReadError, ValueError,
                ConnectionError) as why:
            raise Broken(str(why)) from why
        if size == 0:
            return
        yield data[:-2]


async def read_body(reader, fields):
    """The whole body of a message."""
    if fields.get("transfer-encoding") == "chunked":
        return b"".join([part async for part in read_chunks(reader)])
    try:
        return await reader.readexactly(int(fields.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError) as why:
        raise Broken(str(why)) from why


def head(first_line, fields):
    """The bytes of a message's head."""
    lines = [first_line] + [f"{name}: {value}"
                            for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def answer(status, body=b"", fields=None):
    """The bytes of a whole answer."""
    return head(f"HTTP/1.1 {status} X",
                {**(fields or {}), "Content-Length": len(body)}) + body


def chunk(data):
    """The bytes of one chunk."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
