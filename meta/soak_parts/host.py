"""One entry host's process."""

import asyncio
import json
import signal
import socket
import urllib.request


def free_ports(count):
    """Ports that were free a moment ago."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Host:
    """Starts, signals and watches one godwit-entry."""

    GRACE_SECONDS = 4

    def __init__(self, name, program, folder, store_port, seeds):
        self.name = name
        self.program = program
        (self.callers, self.readiness, self.operators,
         self.neighbours) = free_ports(4)
        self.expected_to_run = False
        self.process = None
        self.settings = folder / f"{name}.json"
        self.log = open(folder / f"{name}.log", "ab")
        listen = {"callers": self.callers, "readiness": self.readiness,
                  "operators": self.operators, "neighbours": self.neighbours}
        self.settings.write_text(json.dumps({
            "entry": {
                "host": name, "zone": "east",
                "listen": {key: f"127.0.0.1:{port}"
                           for key, port in listen.items()},
                "seeds": [f"127.0.0.1:{port}" for port in seeds],
                "stop_grace_s": self.GRACE_SECONDS},
            "store": f"127.0.0.1:{store_port}"}))

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            str(self.program), "--config", str(self.settings),
            stdin=asyncio.subprocess.DEVNULL, stdout=self.log,
            stderr=self.log)
        self.expected_to_run = True

    def send(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self, number):
        """Ends the process by a signal; its exit code."""
        self.expected_to_run = False
        self.send(number)
        return await self.process.wait()

    def died(self):
        """Whether the process ended by itself."""
        return self.expected_to_run and self.process.returncode is not None

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
        self.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.send(signal.SIGCONT)
