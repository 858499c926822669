"""HTTP/1.1 over asyncio streams: what the stand-ins and the clients share."""

import asyncio


class Headers:
    """Header fields in the order received; names compare without case."""

    def __init__(self, pairs=()):
        self.pairs = list(pairs)

    def get(self, name, default=None):
        for key, value in self.pairs:
            if key.lower() == name.lower():
                return value
        return default

    def all(self, name):
        return [v for k, v in self.pairs if k.lower() == name.lower()]


async def read_head(reader):
    """Returns (start line, headers); raises when the connection ends."""
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    pairs = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            pairs.append((name.strip(), value.strip()))
    return lines[0], Headers(pairs)


async def read_body(reader, headers, until_end=False):
    if "chunked" in (headers.get("Transfer-Encoding") or "").lower():
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += data[:-2]
    length = headers.get("Content-Length")
    if length is not None:
        return await reader.readexactly(int(length))
    return await reader.read() if until_end else b""


async def read_request(reader):
    """Returns (method, target, headers, body)."""
    start, headers = await read_head(reader)
    method, target, _ = start.split(" ", 2)
    return method, target, headers, await read_body(reader, headers)


def format_response(status, fields=(), body=b"", reason="Status"):
    head = f"HTTP/1.1 {status} {reason}\r\n"
    for name, value in fields:
        head += f"{name}: {value}\r\n"
    head += f"Content-Length: {len(body)}\r\n\r\n"
    return head.encode("latin-1") + body


def format_request(method, target, fields=(), body=b""):
    head = f"{method} {target} HTTP/1.1\r\n"
    for name, value in fields:
        head += f"{name}: {value}\r\n"
    if body or method == "POST":
        head += f"Content-Length: {len(body)}\r\n"
    return (head + "\r\n").encode("latin-1") + body


class Server:
    """Listens on a loopback address and handles each connection in a task."""

    def __init__(self, host="127.0.0.1"):
        self.host = host
        self.port = 0
        self.server = None
        self.writers = set()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self, port=0):
        self.server = await asyncio.start_server(
            self._accept, self.host, port or self.port, limit=1 << 20
        )
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _accept(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader, writer):
        raise NotImplementedError

    def reset_connections(self):
        for writer in list(self.writers):
            writer.transport.abort()

    def close(self):
        if self.server:
            self.server.close()
        self.reset_connections()
