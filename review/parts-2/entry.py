"""Starts entry hosts with the commands of the deploy file."""

import asyncio
import json
import os
import random
import re
import shlex
import signal
import socket
import tomllib


# Below the ports that the kernel gives to outgoing connections, which could
# take one of these before its host listens.
PORTS = range(12000, 32000)
chosen_ports = set()


def free_ports(count, host="127.0.0.1"):
    """Returns ports that nobody listens on and that weren't returned before."""
    ports = []
    while len(ports) < count:
        port = random.choice(PORTS)
        if port in chosen_ports:
            continue
        with socket.socket() as one:
            try:
                one.bind((host, port))
            except OSError:
                continue
        chosen_ports.add(port)
        ports.append(port)
    return ports


def fill(template, fields):
    """Fills in the placeholders that the template of this project uses."""

    def value_of(path):
        at = fields
        for name in path.split("."):
            at = at[int(name)] if isinstance(at, list) else at[name]
        return at

    def replace(match):
        path, _, kind = match.group(1).partition("|")
        value = value_of(path)
        if kind == "json" or isinstance(value, (dict, list)):
            return json.dumps(value, separators=(",", ":"))
        return str(value)

    return re.sub(r"\{\{([^}]+)\}\}", replace, template)


# The bounds of the site krajevnik-gaz, as its sheet names them.
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 5000,
    "fail_closed": False,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 52,
    "recover_s": 12,
    "pass_ms": 120,
    "again_s": 4.6,
}


class Entry:
    """One entry host: a real process of `target/bin/godwit-entry`."""

    def __init__(self, root, folder, name, zone, zones):
        self.root, self.folder, self.name, self.zone = root, folder, name, zone
        self.zones = zones
        front, ready, control, low, high = free_ports(5)
        self.host = "127.0.0.1"
        self.front, self.ready, self.control = front, ready, control
        self.internal = [low, high]
        self.process = None
        self.log = open(os.path.join(folder, name + ".log"), "ab")

    def address(self, port):
        return f"{self.host}:{port}"

    def write_settings(self, store, seeds):
        with open(os.path.join(self.root, "deploy/system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"]["entry"]
        with open(os.path.join(self.root, self.role["template"])) as file:
            template = file.read()
        fields = {
            "node_name": self.name,
            "zone": self.zone,
            "zones": self.zones,
            "ip": self.host,
            "internal_port_range": self.internal,
            "seeds": seeds,
            "listen": {
                "front": self.address(self.front),
                "ready": self.address(self.ready),
                "control": self.address(self.control),
            },
            "limits": {
                "memory_mb": 110,
                "max_fds": 4100,
                "link_mbps": 1000.0,
            },
            "bounds": BOUNDS,
            "platform": {"address": store},
        }
        self.settings = os.path.join(self.folder, self.name + ".json")
        with open(self.settings, "w") as file:
            file.write(fill(template, fields))

    async def start(self):
        words = [
            self.settings if w.startswith("/etc/") else w
            for w in shlex.split(self.role["run"])
        ]
        self.process = await asyncio.create_subprocess_exec(
            *words,
            cwd=self.root,
            env={"PATH": os.environ["PATH"], "HOME": self.folder},
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )

    def signal(self, number):
        self.process.send_signal(number)

    async def kill(self):
        if self.process and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                self.host, self.ready
            )
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: r\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False
