"""The ways in which an engine frames, cuts, spoils or doubles an answer."""

import asyncio

from soak_parts import http11

NOT_RUN = {"X-Godwitworks-Not-Executed": "1"}
PLAIN = "plain"
STYLES = ("length", "chunks", "empty", "until_close", "late", "spoiled",
          "interim", "cut")
LATEST_EXTRA = 0.15
# More than any peer takes for the head of a message.
LONG_FIELD = 300_000

_OK = "HTTP/1.1 200 OK"
_CHUNKED = {"Transfer-Encoding": "chunked"}
_FIRST_LINES = ("HTTP/0.0 200 OK", "HTTP/9.9 200 OK", "HTTP/1.1 20 OK",
                "HTTP/1.1 2000 OK", "HTTP/1.1 -20 OK", "HTTP/1.1  OK",
                "HTTP/1.1", "ICY 200 OK", "200", "", "\0\0\0\0",
                "HTTP/1.1 000 X", "HTTP/1.1 999 X", "HTTP/1.1 101 Switch")
_FIELDS = ({"Content-Length": "-5"}, {"Content-Length": "9" * 30},
           {"Content-Length": ""}, {"Content-Length": "1, 2"},
           {"Content-Length": "7", "content-length": "8"},
           {"Content-Length": "5", **_CHUNKED},
           {"Transfer-Encoding": "chunked, chunked"},
           {"Transfer-Encoding": "gzip"}, {"": "x", "Content-Length": "1"},
           {"A\0B": "\0", "Content-Length": "1"}, {"X": "y" * LONG_FIELD},
           {"Content-Length": "3\r\n folded"})
SPOILED_CHUNKS = (
    b"zz\r\n", b"-1\r\n", b"f" * 17 + b"\r\n", b"\r\n", b"5", b"5;\r\nab",
    b"2\r\nabcd\r\n", b"1\r\na\n", b"0\r\nno field\r\n\r\n", b"0\r\n\r",
    b"0\r\r\n", b"0;a=\"\r\n\r\n", b"0\r\n:\r\n\r\n", b"1;" + b"x" * LONG_FIELD)


def spoiled(rng, fields, body):
    """Bytes that are no whole answer, or none at all."""
    with_length = {**fields, "Content-Length": len(body)}
    return rng.choice((
        rng.randbytes(rng.randint(1, 2000)),
        http11.head(rng.choice(_FIRST_LINES), with_length) + body,
        http11.head(_OK, {**fields, **rng.choice(_FIELDS)}) + body,
        http11.head(_OK, {**fields, **_CHUNKED})
        + rng.choice((b"", http11.chunk(body or b"x")))
        + rng.choice(SPOILED_CHUNKS)))


class Manner:
    """Writes the answers of one engine in its style of the moment."""

    def __init__(self, rng):
        self.rng = rng
        self.style = PLAIN
        self._owed = {}

    def is_plain(self):
        return self.style == PLAIN

    async def answer(self, writer, body, signed, other):
        """Sends an answer; `other` is an earlier one to another request."""
        await http11.send(writer, self._owed.pop(writer, b""), self.rng)
        style = self.style
        whole = self._framed(body, signed)
        if style == "until_close":
            # In one piece: a cut would look like its end.
            writer.write(http11.head(
                _OK, {**signed, "Connection": "close"}) + body)
            writer.write_eof()
            raise http11.Broken(style)
        if style == "spoiled":
            await http11.send(writer, spoiled(self.rng, signed, body),
                              self.rng)
            # Kept open, the peer has to find out by itself.
            await asyncio.sleep(self.rng.choice((0.0, 0.0, 0.5)))
            raise http11.Broken(style)
        if style == "cut":
            writer.write(whole[:self.rng.randint(0, len(whole) - 1)])
            raise http11.Broken(style)
        if style == "interim":
            for status in self.rng.choices((100, 102, 103), k=2):
                writer.write(http11.head(f"HTTP/1.1 {status} X", {}))
        await http11.send(writer, whole,
                          None if style == PLAIN else self.rng)
        if style == "late" and other:
            await self._send_extra(writer, *other)

    def _framed(self, body, signed):
        if self.style in ("length", PLAIN) or (
                self.style != "chunks" and self.rng.random() < 0.5):
            return http11.answer(200, body, signed)
        return (http11.head(_OK, {**signed, **_CHUNKED})
                + http11.chunks(body, self.rng))

    async def _send_extra(self, writer, signed, body):
        """An answer to another request, now or where the next one belongs."""
        extra = self.rng.choice((
            self._framed(body, signed),
            http11.answer(503, b"", {**signed, **NOT_RUN})))
        if self.rng.random() < 0.5:
            self._owed[writer] = extra
        else:
            await asyncio.sleep(self.rng.uniform(0.0, LATEST_EXTRA))
            writer.write(extra)
