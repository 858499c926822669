"""A small deployment: a store, replicas of a service, entry hosts, clients."""

import asyncio
import os
import signal
import sys
import tempfile
import time

from client import Client
from entry import Entry
from service import Replica
from store import Store

HELD, BROKEN, NOT_RUN = 0, 1, 2
# The zones of the site krajevnik-gaz, each with its region.
ZONES = {"bezigrad": "ljubljana", "vic": "ljubljana", "moste": "ljubljana"}
SITE_HOST = "register.example"
KEY = "key-of-tenant-a"


def route(name, prefix, kind, service, **more):
    one = {
        "name": name,
        "host": SITE_HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 1000,
        "target_latency_ms": 150,
        "priority": 2,
        "service": service,
        "max_attempts": 2 if kind == "idempotent" else 1,
        "public": False,
        "sticky": False,
        "stream_resume": False,
    }
    one.update(more)
    return one


def config(version, routes, services, tenants):
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": tenants,
    }


def plain_service(name):
    return {
        "name": name,
        "health_check": "/health",
        "max_connections": 96,
        "protocol": "h1",
        "tls": False,
    }


class Scene:
    """Owns everything that a case starts, and its record."""

    def __init__(self, folder):
        self.root = os.path.dirname(
            os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
        )
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = open(os.path.join(folder, "record.txt"), "w")
        self.temporary = tempfile.TemporaryDirectory()
        self.began = time.monotonic()
        self.store = None
        self.replicas, self.entries, self.tasks = [], [], []
        self.answers = []  # (entry, path, attempt, sent, status, answered)
        self.versions = 0
        self.zones = ZONES
        self.note(f"TROUBLE={1 if self.trouble else 0}")

    def now(self):
        return time.monotonic() - self.began

    def note(self, text, at=None):
        moment = self.now() if at is None else at - self.began
        self.record.write(f"{moment:8.3f} {text}\n")
        self.record.flush()

    async def at(self, moment):
        """Waits until so many seconds after the start of the case."""
        await asyncio.sleep(max(0.0, moment - self.now()))

    async def start_store(self):
        self.store = await Store().start()

    async def add_replicas(self, service, zones, **more):
        added = []
        for zone in zones:
            one = await Replica(self.store, service, zone, **more).start()
            await one.register()
            self.replicas.append(one)
            added.append(one)
        return added

    async def publish(self, routes, services, tenants=None):
        self.versions += 3
        if tenants is None:
            tenants = [{"name": "tenant-a", "api_keys": [KEY], "priority": 1}]
        at = await self.store.put(
            "keyed.op",
            "config",
            config(self.versions, routes, services, tenants),
        )
        self.note(f"configuration {self.versions} acknowledged", at)
        return at

    async def start_entries(self, zones, seeds=3):
        added = []
        for zone in zones:
            in_zone = [e for e in self.entries if e.zone == zone]
            name = f"front-{zone}-{len(in_zone) + 1}"
            one = Entry(self.root, self.temporary.name, name, zone, self.zones)
            self.entries.append(one)
            added.append(one)
        addresses = [e.address(e.control) for e in self.entries[:seeds]]
        for one in added:
            one.write_settings(self.store.address, addresses)
            await one.start()
            self.note(f"{one.name} started")

    async def wait_until_ready(self, longest=9.0):
        end = time.monotonic() + longest
        for one in self.entries:
            while not await one.is_ready():
                if time.monotonic() > end:
                    raise RuntimeError(one.name + " doesn't get ready")
                await asyncio.sleep(0.05)
        self.note("all entry hosts are ready")

    async def restart(self, entry, grace_s=8.0, pause_s=0.2):
        """Stops an entry host as the platform does, and starts it again."""
        self.restarting = getattr(self, "restarting", 0) + 1
        self.note(f"SIGTERM to {entry.name}")
        entry.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(entry.process.wait(), grace_s)
        except asyncio.TimeoutError:
            self.note(f"SIGKILL to {entry.name}")
            await entry.kill()
        await asyncio.sleep(pause_s)
        await entry.start()
        self.note(f"{entry.name} started again")
        while not await entry.is_ready():
            await asyncio.sleep(0.05)
        self.note(f"{entry.name} is ready again")
        self.restarting -= 1

    async def wait_for_restarts(self):
        while getattr(self, "restarting", 0):
            await asyncio.sleep(0.02)

    def spawn(self, coroutine):
        self.tasks.append(asyncio.ensure_future(coroutine))

    async def send_steadily(self, entry, method, path, per_s, end, **more):
        """One client that sends at a rate until a moment of the case."""
        client = Client(entry.address(entry.front), SITE_HOST, KEY)
        client.deadline_ms = more.pop("deadline_ms", 1000)
        body = b"x" * 600 if method == "POST" else b""
        due = time.monotonic()
        while self.now() < end:
            result = await client.send(method, path, body, **more)
            attempt, sent, status, headers, _ = result
            self.answers.append(
                (entry.name, path, attempt, sent, status, time.monotonic())
            )
            due += 1 / per_s
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            due = max(due, time.monotonic() - 1 / per_s)
        client.close()

    def note_traffic(self):
        """Writes to the record what was sent, answered and run."""
        lines = []
        for entry, path, attempt, sent, status, answered in self.answers:
            lines.append(
                (sent, f"sent {attempt} {path} to {entry}: answer {status}"
                       f" after {1000 * (answered - sent):.0f} ms")
            )
        for one in self.replicas:
            for arrived, attempt, method, target, _ in one.arrivals:
                lines.append((arrived, f"run {attempt} {target} by {one.id}"
                                       f" of {one.service}"))
        for moment, text in sorted(lines):
            self.note(text, moment)

    async def close(self):
        for task in self.tasks:
            task.cancel()
        for one in self.entries:
            await one.kill()
        for one in self.replicas:
            one.close()
        if self.store:
            self.store.close()
        await asyncio.sleep(0.1)
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for one in self.entries:
                os.makedirs(keep, exist_ok=True)
                with open(os.path.join(keep, one.name + ".log"), "wb") as to:
                    with open(one.log.name, "rb") as log:
                        to.write(log.read())
        self.temporary.cleanup()


def run(folder, play):
    """Plays a case and exits with 1 if the rule was broken, 0 if it held."""

    async def main():
        scene = Scene(folder)
        try:
            await scene.start_store()
            result = await asyncio.wait_for(play(scene), 100)
        except Exception as failure:  # The case couldn't run.
            scene.note(f"not run: {type(failure).__name__}: {failure}")
            result = NOT_RUN
        finally:
            await scene.close()
        words = {HELD: "the rule held", BROKEN: "the rule was broken"}
        scene.note(words.get(result, "the case could not run"))
        print(words.get(result, "the case could not run"))
        return result

    sys.exit(asyncio.run(main()))
