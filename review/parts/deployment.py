"""A small deployment on loopback: entry hosts, store, servers and clients.

The store is the stand-in of the project's own soak. Servers and clients follow
the users' PROTOCOL.md.
"""

import asyncio
import contextlib
import json
import os
import signal
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "meta"))
sys.dont_write_bytecode = True

from soak_parts import http11  # noqa: E402
from soak_parts.host import free_ports  # noqa: E402
from soak_parts.stand_ins import Service, Store  # noqa: E402

PROGRAM = ROOT / "target" / "bin" / "godwit-entry"
HEARTBEAT_SECONDS = 1.2
START_SECONDS = 15.0
STOP_SECONDS = 3.0
CLIENT_HOST = "clients.example"
KEY = "key-of-tenant-a"
TENANT = "tenant-a"
# The statuses that promise that a request has not run and never will.
PROMISES = {408, 421, 429, 503}


class CouldNotRun(Exception):
    """The case did not get to its check."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._start = time.monotonic()

    def line(self, text):
        self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
        self._file.flush()


class Host:
    """One godwit-entry, with the settings that the deploy template gives."""

    def __init__(self, name, folder, store_port, record):
        self.name = name
        (self.callers, self.readiness, self.operators, self.neighbours,
         self.tunnels) = free_ports(5)
        self._settings = folder / f"{name}.json"
        self._log = open(folder / f"{name}.log", "wb")
        self.log_path = folder / f"{name}.log"
        self._store_port = store_port
        self._record = record
        self.process = None

    def write_settings(self, seeds):
        ports = {"callers": self.callers, "readiness": self.readiness,
                 "operators": self.operators, "neighbours": self.neighbours,
                 "tunnels": self.tunnels}
        self._settings.write_text(json.dumps({
            "entry": {
                "host": self.name, "zone": "a", "zones": {"a": "region"},
                "log_level": "info",
                "listen": {name: f"127.0.0.1:{port}"
                           for name, port in ports.items()},
                "seeds": [f"127.0.0.1:{port}" for port in seeds],
                "link_mbps": 1000.0, "stop_grace_s": 8,
                "retry": {"share": 0.2, "allowance": 52, "window_s": 10}},
            "bounds": {
                "seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000,
                "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
                "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
                "rollback_slack_ms": 250, "max_skew_ms": 5000,
                "fail_closed": False, "revoke_ms": 5000,
                "retry_budget_ratio": 0.2, "budget_window_s": 10,
                "budget_slack": 52, "recover_s": 12, "pass_ms": 120,
                "again_s": 4.6},
            "store": f"127.0.0.1:{self._store_port}"}))

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            str(PROGRAM), "--config", str(self._settings), cwd=ROOT,
            stdin=asyncio.subprocess.DEVNULL, stdout=self._log,
            stderr=self._log)
        self._record.line(f"host {self.name} started")

    def signal(self, number):
        os.kill(self.process.pid, number)

    async def is_ready(self):
        status, _, _ = await get(self.readiness, "/api/ready")
        return status == 200

    async def wait_until_ready(self):
        end = time.monotonic() + START_SECONDS
        while time.monotonic() < end:
            with contextlib.suppress(OSError, http11.Broken):
                if await self.is_ready():
                    self._record.line(f"host {self.name} is ready")
                    return
            if self.process.returncode is not None:
                break
            await asyncio.sleep(0.1)
        raise CouldNotRun(f"host {self.name} did not get ready")

    async def end(self):
        if self.process is None or self.process.returncode is not None:
            return
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()


async def get(port, target):
    """Status, fields and body of a GET on a new connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(http11.head(f"GET {target} HTTP/1.1",
                                 {"Host": "x", "Connection": "close"}))
        line, fields = await http11.read_head(reader)
        body = await http11.read_body(reader, fields)
        return int(line.split()[1]), fields, body
    finally:
        writer.close()


def route(name, kind, service, timeout_ms, target_ms, **more):
    return {"name": name, "host": CLIENT_HOST, "path_prefix": f"/{name}/",
            "kind": kind, "timeout_ms": timeout_ms,
            "target_latency_ms": target_ms, "priority": 1,
            "service": service, "max_attempts": 1, "public": False,
            "sticky": kind == "streaming", "stream_resume": False,
            "gap_aim_ms": 180, **more}


def configuration(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
            "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}]}


class Server(Service):
    """A replica as the store lists it; `respond` is the subclass's."""

    def __init__(self, name, service, record, slots):
        super().__init__()
        self.name = name
        self.service = service
        self.record = record
        self.slots = slots
        self.state = "ready"
        self.sequence = 0

    def entry(self):
        return json.dumps({
            "service": self.service, "address": f"127.0.0.1:{self.port}",
            "zone": "a", "version": "v1", "slots": self.slots,
            "state": self.state, "warmup_left_ms": 0,
            "sequence": self.sequence})

    async def report(self, store):
        """Writes the entry each heartbeat."""
        while True:
            self.sequence += 1
            store.put("keyed.servers", self.name, self.entry())
            await asyncio.sleep(HEARTBEAT_SECONDS)


class Deployment:
    """Starts all parts, and ends them."""

    def __init__(self, record):
        self.record = record
        self.hosts = []
        self.servers = []
        self.store = None
        self._tasks = []
        self._folder = None

    async def start(self, config, servers, host_count):
        if not PROGRAM.is_file():
            raise CouldNotRun(f"{PROGRAM.name} is not built")
        self._folder = tempfile.TemporaryDirectory()
        folder = Path(self._folder.name)
        loop = asyncio.get_running_loop()
        self.store = await Store(loop.time).start()
        self.store.put("keyed.op", "config", json.dumps(config))
        self.servers = servers
        for server in servers:
            await server.start()
            self._tasks.append(asyncio.create_task(server.report(self.store)))
        self.hosts = [Host(f"host-{number}", folder, self.store.port,
                           self.record)
                      for number in range(1, host_count + 1)]
        seeds = [host.neighbours for host in self.hosts[:3]]
        for host in self.hosts:
            host.write_settings(seeds)
            await host.start()
        for host in self.hosts:
            await host.wait_until_ready()

    async def end(self):
        for task in self._tasks:
            task.cancel()
        for host in self.hosts:
            await host.end()
        for server in self.servers:
            server.stop()
        if self.store:
            self.store.stop()
        if self._folder:
            self._folder.cleanup()


def main(play, folder):
    """Runs a case; the exit code that the review asks for."""
    record = Record(Path(folder) / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line(f"trouble={int(has_trouble)}")

    async def guarded():
        deployment = Deployment(record)
        # Whoever ends the script ends its processes, too.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel)
        try:
            return await asyncio.wait_for(
                play(deployment, record, has_trouble), 100)
        finally:
            await deployment.end()

    try:
        broken = asyncio.run(guarded())
    except (CouldNotRun, OSError, asyncio.TimeoutError,
            asyncio.CancelledError) as why:
        record.line(f"could not run: {why!r}")
        print(f"could not run: {why!r}")
        return 2
    verdict = "the rule was broken" if broken else "the rule held"
    record.line(verdict)
    print(verdict)
    return 1 if broken else 0
