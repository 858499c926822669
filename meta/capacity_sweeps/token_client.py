"""A caller: sends generations and counts what comes back."""
import asyncio
import dataclasses
import json
import time

LINE_LIMIT = 1 << 20


@dataclasses.dataclass
class Tally:
    """What came back so far, over all callers of a sweep."""

    tokens: int = 0
    started: int = 0
    finished: int = 0
    failed: int = 0
    last_failure: str = ""
    first_token: list = dataclasses.field(default_factory=list)
    gaps: list = dataclasses.field(default_factory=list)
    keeps_times: bool = False

    def fail(self, reason):
        self.failed += 1
        self.last_failure = reason


@dataclasses.dataclass(frozen=True)
class Target:
    """Where to send: a proxy, or an engine itself with `generation`."""

    host: str
    port: int
    token: str
    model: str

    @staticmethod
    def of(url, token, model):
        host, _, port = url.split("//", 1)[1].partition(":")
        return Target(host, int(port), token, model)

    def request(self, length, stream, generation):
        content = {"model": self.model, "prompt": f"bench length={length}",
                   "max_tokens": length + 8, "stream": stream}
        if generation:
            content.update(generation_id=generation, priority=5,
                           organisation="bench")
        body = json.dumps(content)
        return (f"POST /v1/completions HTTP/1.1\r\nHost: bench\r\n"
                f"Authorization: Bearer {self.token}\r\n"
                f"Content-Type: application/json\r\n"
                f"Godwit-Deadline-Ms: 900000\r\n"
                f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
                f"{body}").encode()


async def generate(target, length, tally, stream=True, generation=""):
    """One generation on a connection of its own, read to its end."""
    reader, writer = await asyncio.open_connection(
        target.host, target.port, limit=LINE_LIMIT)
    try:
        begin = time.perf_counter()
        writer.write(target.request(length, stream, generation))
        status = await reader.readline()
        if b" 200 " not in status:
            rest = await reader.read(2000)
            tally.fail(status.decode().strip()
                       + rest.decode(errors="replace")[-600:])
            return
        tally.started += 1
        await (_read_stream(reader, tally, begin) if stream
               else reader.read())
        tally.finished += 1
    except (ConnectionError, OSError) as error:
        tally.fail(repr(error))
    finally:
        writer.close()


async def _read_stream(reader, tally, begin):
    last = None
    while line := await reader.readline():
        if line.startswith(b"data: [DONE]"):
            return
        if line.startswith(b"event: error"):
            tally.fail((await reader.readline()).decode())
            return
        if not line.startswith(b"data: "):
            continue
        tally.tokens += 1
        if tally.keeps_times:
            now = time.perf_counter()
            if last is None:
                tally.first_token.append(now - begin)
            else:
                tally.gaps.append(now - last)
            last = now
