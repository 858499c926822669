"""One entry host's process."""

import asyncio
import json
import random
import signal
import socket
import urllib.request

# Below the ports that the kernel gives to outgoing connections: those could
# take a host's port while it is down.
PORTS = range(21000, 32000)
# A stop takes its grace; pauses that overlap it come on top.
LONGEST_STOP_SECONDS = 25.0
LOG_LINES = 8


def free_ports(count):
    """Ports that were free a moment ago."""
    sockets = []
    while len(sockets) < count:
        each = socket.socket()
        try:
            each.bind(("127.0.0.1", random.choice(PORTS)))
        except OSError:
            each.close()
            continue
        sockets.append(each)
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Life:
    """One process from its start to its end, and what it was told."""

    def __init__(self, name, process):
        self.name = name
        self.process = process
        self.told = set()
        self.is_up = False

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

    def __init__(self, name, program, folder, store_port, seeds, on_end):
        self.name = name
        self.program = program
        (self.callers, self.readiness, self.operators,
         self.neighbours) = free_ports(4)
        self.life = None
        self.is_ending = False
        self.on_end = on_end
        self.settings = folder / f"{name}.json"
        self.log_file = folder / f"{name}.log"
        self.log = open(self.log_file, "ab")
        self._store_port = store_port
        self._seeds = seeds
        self._paused = 0
        self._paused_at = 0.0
        self._paused_seconds = 0.0
        self._tasks = set()

    def write_settings(self, seeds=None, grace=4, retry=None):
        """A settings file that can be read, with the terms that may change."""
        listen = {"callers": self.callers, "readiness": self.readiness,
                  "operators": self.operators, "neighbours": self.neighbours}
        entry = {"host": self.name, "zone": "east",
                 "listen": {key: f"127.0.0.1:{port}"
                            for key, port in listen.items()},
                 "seeds": [f"127.0.0.1:{port}" for port in
                           (self._seeds if seeds is None else seeds)],
                 "stop_grace_s": grace}
        if retry:
            entry["retry"] = retry
        self.settings.write_text(json.dumps({
            "entry": entry, "store": f"127.0.0.1:{self._store_port}"}))

    async def start(self):
        self.write_settings()
        process = await asyncio.create_subprocess_exec(
            str(self.program), "--config", str(self.settings),
            stdin=asyncio.subprocess.DEVNULL, stdout=self.log,
            stderr=self.log)
        self.life = Life(self.name, process)
        self._later(self._watch(self.life))
        self._later(self._wait_until_up(self.life))

    def send(self, number):
        if self.life.is_running():
            self.life.told.add(number)
            self.life.process.send_signal(number)

    async def end(self, *numbers, gap=0.0):
        """Ends the process by signals; whether it ended in time."""
        life = self.life
        for number in numbers:
            self.send(number)
            await asyncio.sleep(gap)
        try:
            await asyncio.wait_for(life.process.wait(), LONGEST_STOP_SECONDS)
            return True
        except asyncio.TimeoutError:
            self.send(signal.SIGKILL)
            await life.process.wait()
            return False

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
        if not self._paused:
            self._paused_at = now()
        self._paused += 1
        self.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self._paused -= 1
        if not self._paused:
            self._paused_seconds += now() - self._paused_at
            self.send(signal.SIGCONT)

    def paused_seconds(self):
        """How long it was paused in all."""
        running = 0.0
        if self._paused:
            running = asyncio.get_running_loop().time() - self._paused_at
        return self._paused_seconds + running

    def _later(self, work):
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _watch(self, life):
        await life.process.wait()
        self.on_end(self, life)

    async def _wait_until_up(self, life):
        while life.is_running() and not life.is_up:
            try:
                _, writer = await asyncio.open_connection(
                    "127.0.0.1", self.operators)
                writer.close()
                life.is_up = True
            except OSError:
                await asyncio.sleep(0.01)
