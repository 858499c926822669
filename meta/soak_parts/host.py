"""One entry host's process."""

import asyncio
import collections
import contextlib
import dataclasses
import fcntl
import functools
import json
import os
import random
import signal
import socket
import tempfile
import urllib.request
from pathlib import Path

# Below the ports that the kernel gives to outgoing connections: those could
# take a host's port while it is down.
FIRST_PORT = 21000
PORTS_A_RUN = 1000
MOST_RUNS = 11
# A stop takes its grace; pauses that overlap it come on top.
LONGEST_STOP_SECONDS = 25.0
LOG_LINES = 8
# The ports of some hundred hosts: those of a run, and never all that are.
GIVEN_LATELY = 800
_given = collections.deque(maxlen=GIVEN_LATELY)


@functools.cache
def own_ports():
    """The ports of this run, until it ends: runs side by side share none."""
    for run in range(MOST_RUNS):
        file = open(Path(tempfile.gettempdir()) / f"godwit-soak-{run}", "w")
        with contextlib.suppress(BlockingIOError):
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            _locks.append(file)
            start = FIRST_PORT + run * PORTS_A_RUN
            return range(start, start + PORTS_A_RUN)
        file.close()
    raise SystemExit(f"soak: {MOST_RUNS} runs have all ports")


_locks = []


def free_ports(count):
    """Ports that were free a moment ago, none of them given lately: the host
    that got it may not have bound it yet."""
    ports = []
    with contextlib.ExitStack() as taken:
        while len(ports) < count:
            port = random.choice(own_ports())
            if port in _given:
                continue
            with contextlib.suppress(OSError):
                taken.enter_context(socket.create_server(("127.0.0.1", port)))
                ports.append(port)
                _given.append(port)
    return ports


@dataclasses.dataclass(frozen=True)
class Suspension:
    """When a host stood still, and since when it had run calmly before."""

    began_at: float = 0.0
    ended_at: float = 0.0
    calm_since: float = 0.0


class Life:
    """One process from its start to its end, and what it was told."""

    def __init__(self, name, process):
        self.name = name
        self.process = process
        self.told = set()
        self.is_up = self.is_late = False

    def is_running(self):
        return self.process.returncode is None

    def was_told(self):
        """Whether it was told to end."""
        return bool(self.told & {signal.SIGTERM, signal.SIGKILL})

    def ended_as_told(self):
        """Whether its exit code is one of what it was told."""
        code = self.process.returncode
        return (code == 0 and signal.SIGTERM in self.told
                or code == -signal.SIGKILL and signal.SIGKILL in self.told)


class Host:
    """Starts, signals and watches one godwit-entry."""

    def __init__(self, name, program, folder, store, seeds, watcher,
                 more_settings=None):
        self.name = name
        self.program = program
        (self.callers, self.readiness, self.operators,
         self.neighbours) = free_ports(4)
        self.life = None
        self.is_ending = False
        self._suspension = Suspension()
        self.store = store
        self.settings = folder / f"{name}.json"
        self.log_file = folder / f"{name}.log"
        self.log = open(self.log_file, "ab")
        self._seeds = seeds
        self._more_settings = more_settings or {}
        self._watcher = watcher
        self._pauses = 0
        self._paused_at = self._paused_seconds = 0.0
        self._disturbed_at = 0.0
        self._tasks = []

    def write_settings(self, seeds=None, grace=4, retry=None):
        """A settings file that can be read, with the terms that may change."""
        listen = {name: f"127.0.0.1:{getattr(self, name)}" for name in (
            "callers", "readiness", "operators", "neighbours")}
        seeds = self._seeds if seeds is None else seeds
        entry = {"host": self.name, "zone": "east", "listen": listen,
                 "seeds": [f"127.0.0.1:{port}" for port in seeds],
                 "stop_grace_s": grace, **self._more_settings}
        if retry:
            entry["retry"] = retry
        self.settings.write_text(json.dumps({
            "entry": entry, "store": f"127.0.0.1:{self.store.port}"}))

    async def start(self):
        self.write_settings()
        process = await asyncio.create_subprocess_exec(
            str(self.program), "--config", str(self.settings),
            stdin=asyncio.subprocess.DEVNULL, stdout=self.log,
            stderr=self.log)
        self.life = Life(self.name, process)
        self._tasks += [asyncio.create_task(self._watch(self.life)),
                        asyncio.create_task(self._wait_until_up(self.life))]
        self._watcher.host_started(self, self.life)

    async def suspend(self, seconds):
        """Stands still like a suspended machine."""
        calm_since = self._disturbed_at if self.calm_seconds() else None
        began_at = asyncio.get_running_loop().time()
        await self.pause(seconds)
        if calm_since is not None:
            self._suspension = Suspension(
                began_at, self._disturbed_at, calm_since)

    def last_suspension(self):
        """The last disturbance, if it was a suspension and is over."""
        is_last = self._suspension.ended_at == self._disturbed_at
        return self._suspension if is_last and self.calm_seconds() else None

    def send(self, number):
        # Not by the process's own method: it looks for an end first, and an
        # exit status that it takes is lost to who waits for it.
        if self.life.is_running():
            self.life.told.add(number)
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.life.process.pid, number)

    async def end(self, *numbers, gap=0.0):
        """Ends the process by signals; its exit code."""
        life = self.life
        for number in numbers:
            self.send(number)
            await asyncio.sleep(gap)
        ended = asyncio.create_task(life.process.wait())
        done, _ = await asyncio.wait({ended}, timeout=LONGEST_STOP_SECONDS)
        life.is_late = not done
        if life.is_late:
            self.send(signal.SIGKILL)
        return await ended

    def is_up(self):
        """Whether it listens, and so has read its settings."""
        return self.life.is_up and self.life.is_running()

    def last_lines(self):
        """The end of the log, as one line."""
        lines = self.log_file.read_text(errors="replace").splitlines()
        return " | ".join(lines[-LOG_LINES:])

    async def is_ready(self):
        def ask():
            try:
                with urllib.request.urlopen(
                        f"http://127.0.0.1:{self.readiness}/",
                        timeout=1) as got:
                    return got.status == 200
            except OSError:
                return False
        return await asyncio.get_running_loop().run_in_executor(None, ask)

    async def pause(self, seconds):
        """Freezes the process; pauses that overlap end with the last one."""
        now = asyncio.get_running_loop().time
        if not self._pauses:
            self._paused_at = now()
        self._pauses += 1
        self.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self._pauses -= 1
        if not self._pauses:
            self._paused_seconds += now() - self._paused_at
            self._disturbed_at = now()
            self.send(signal.SIGCONT)

    def calm_seconds(self):
        """Seconds since the last start or pause; 0 unless it runs normally."""
        if self._pauses or not self.is_up() or self.life.was_told():
            return 0.0
        return asyncio.get_running_loop().time() - self._disturbed_at

    def paused_seconds(self):
        """How long it was paused in all."""
        if not self._pauses:
            return self._paused_seconds
        now = asyncio.get_running_loop().time()
        return self._paused_seconds + now - self._paused_at

    async def _watch(self, life):
        await life.process.wait()
        self._watcher.host_ended(self, life)

    async def _wait_until_up(self, life):
        while life.is_running() and not life.is_up:
            try:
                _, writer = await asyncio.open_connection(
                    "127.0.0.1", self.operators)
                writer.close()
                life.is_up = True
                self._disturbed_at = asyncio.get_running_loop().time()
            except OSError:
                await asyncio.sleep(0.01)
