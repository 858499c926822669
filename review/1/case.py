"""A host is stopped while requests wait for room at crowded engines.

LOST: a process has read a whole request and, around the SIGTERM of its
machine, the connection ends without an answer. Without TROUBLE there is no
SIGTERM.
"""

import asyncio
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "parts"))

from client import Client  # noqa: E402
from deployment import (  # noqa: E402
    CouldNotRun, configuration, main, route)
from engine import Engine  # noqa: E402

SERVERS = 2
SLOTS = 6
QUEUE = 3 * SLOTS
DEADLINE_MS = 39000
# 400 events, each after a step of 35 ms: 14 s.
LONG_OUTPUT = 1600
STEP_SECONDS = 0.035
# Seconds after the SIGTERM at which clients send on their kept connections.
SENT_AT = (1.95, 2.05, 2.15, 2.25, 2.35, 2.45)
LOSS_SLACK_SECONDS = 0.2
GRACE_SECONDS = 8.0


async def play(deployment, record, has_trouble):
    profile = {"slots": SLOTS, "kv_cache_tokens": 34440,
               "kv_token_bytes": 18432, "link_mbps": 2700.0, "moves": True,
               "backups": True, "stride": 4, "most": 12, "pin_ms": 4000.0,
               "hold_ms": 2000.0, "handle_s": 5.0, "models": [{"name": "m"}]}
    config = configuration(
        1, [route("history", "streaming", "engines", DEADLINE_MS, 1800)],
        [{"name": "engines", "health_check": "/health",
          "max_connections": 232, "protocol": "h1", "tls": False,
          "engine": profile}])
    servers = [Engine(f"i-{number + 1}", "engines", record, SLOTS, QUEUE,
                      step_seconds=STEP_SECONDS)
               for number in range(SERVERS)]
    await deployment.start(config, servers, 2)
    stopped, other = deployment.hosts
    clients = [Client(stopped, record, DEADLINE_MS) for _ in SENT_AT]
    # Each client has a kept connection that has served a request.
    for client in clients:
        if await client.stream("/history/x", 300, 16) != 200:
            raise CouldNotRun("a short request was not served")
    crowd = [asyncio.create_task(Client(other, record, DEADLINE_MS).stream(
        "/history/x", 900, LONG_OUTPUT)) for _ in range(SERVERS * SLOTS)]
    while any(server.running < SLOTS for server in servers):
        await asyncio.sleep(0.02)
        if any(task.done() for task in crowd):
            raise CouldNotRun("the engines were not filled")
    record.line("all slots are taken")

    began = time.monotonic()
    if has_trouble:
        stopped.signal(signal.SIGTERM)
        record.line(f"SIGTERM to {stopped.name}")

    async def send(client, delay):
        await asyncio.sleep(delay)
        sent = time.monotonic()
        status = await client.stream("/history/x", 900, 160)
        return status, sent - began, time.monotonic() - sent

    results = await asyncio.gather(*(
        send(client, delay) for client, delay in zip(clients, SENT_AT)))
    if has_trouble:
        await asyncio.wait_for(stopped.process.wait(), 2 * GRACE_SECONDS)
        record.line(f"{stopped.name} ended with "
                    f"{stopped.process.returncode} after "
                    f"{time.monotonic() - began:.2f} s")
    if not all(server.running == SLOTS for server in servers):
        raise CouldNotRun("the engines did not stay full")
    for task in crowd:
        task.cancel()
    passed_on = set().union(*(server.got for server in servers))
    lost = 0
    for client, (status, sent, waited) in zip(clients, results):
        attempt = list(client.answers)[-1]
        is_lost = status == 0 and waited > LOSS_SLACK_SECONDS
        lost += is_lost
        record.line(
            f"{attempt}: sent {sent:.2f} s after the start of the stop, "
            f"status {status} after {waited:.2f} s, "
            f"passed on: {attempt in passed_on}"
            + (", LOST" if is_lost else ""))
    summary = f"{len(results)} requests, LOST broken {lost} times"
    record.line(summary)
    print(summary)
    return lost > 0


if __name__ == "__main__":
    sys.exit(main(play, HERE))
