#!/usr/bin/env python3
"""Starts a fleet of godwitworks with stand-ins on 127.0.0.1.

Two availability zones, each with entry hosts (one godwit-proxy and one
godwit-agent) and engines, one plain service and one platform. Every process
listens on a port that the operating system chooses and prints its addresses,
which this script reads; nothing waits on a fixed time. At the end every
process that was started is ended by its id.
"""
import argparse
import dataclasses
import hashlib
import json
import pathlib
import secrets
import signal
import subprocess
import sys
import tempfile
import threading
import urllib.request

START_SECONDS = 30
STOP_SECONDS = 20
ANSWER_SECONDS = 60
ZONES = ("zone-a", "zone-b")
MODEL = "gazetteer-lm"
SERVICE = "register"
ANY_PORT = "127.0.0.1:0"


@dataclasses.dataclass(frozen=True)
class Organisation:
    """An organisation of the sample catalogue and its bearer token."""

    name: str
    token: str

    def token_hash(self):
        return hashlib.sha256(self.token.encode()).hexdigest()


ORGANISATIONS = (Organisation("survey", "survey-demo-token"),
                 Organisation("clerks", "clerks-demo-token"))


class Process:
    """A program that prints NAME=ADDRESS lines and perhaps `ready`."""

    def __init__(self, command, log_path):
        self.command = [str(part) for part in command]
        self.name = pathlib.Path(self.command[0]).name
        self.addresses = {}
        self.listening = threading.Event()
        self.ready = threading.Event()
        self.ended = threading.Event()
        self._log = open(log_path, "wb")
        self._child = subprocess.Popen(
            self.command, stdin=subprocess.DEVNULL, stdout=subprocess.PIPE,
            stderr=self._log)
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()

    @property
    def pid(self):
        return self._child.pid

    def _read(self):
        for raw in self._child.stdout:
            line = raw.decode(errors="replace").strip()
            key, separator, value = line.partition("=")
            if separator:
                self.addresses[key] = value
                self.listening.set()
            elif line == "ready":
                self.ready.set()
        self.ended.set()

    def address(self, key):
        """The printed address, waited for; ends the script if none comes."""
        for _ in range(START_SECONDS * 20):
            if key in self.addresses:
                return self.addresses[key]
            if self.ended.wait(0.05):
                break
        if key in self.addresses:
            return self.addresses[key]
        raise SystemExit(f"{self.name} printed no {key}=; its log is "
                         f"{self._log.name}")

    def wait_ready(self):
        if not self.ready.wait(START_SECONDS):
            raise SystemExit(f"{self.name} did not become ready; its log is "
                             f"{self._log.name}")

    def stop(self):
        if self._child.poll() is None:
            self._child.send_signal(signal.SIGTERM)

    def join(self):
        try:
            self._child.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            self._child.kill()
            self._child.wait()
        self._log.close()


def call(method, url, body=None, headers=None):
    """One HTTP call whose failure ends the script with the answer's text."""
    data = body if isinstance(body, (bytes, type(None))) \
        else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method,
                                     headers=headers or {})
    request.add_header("Content-Type", "application/json")
    try:
        with urllib.request.urlopen(request, timeout=ANSWER_SECONDS) as answer:
            return answer.read().decode()
    except urllib.error.HTTPError as error:
        raise SystemExit(f"{method} {url}: {error.code} "
                         f"{error.read().decode()}") from error


def host_and_port(url):
    return url.split("//", 1)[1]


class Fleet:
    """All processes, in the order in which they were started."""

    def __init__(self, options, folder):
        self.options = options
        self.folder = folder
        self.processes = []
        self.proxies = []
        self.agents = []
        self.engines = []
        self.services = []
        self.platform = None
        self.resume_secret = secrets.token_hex(32)

    def start(self, program, *arguments):
        log = self.folder / f"{program}-{len(self.processes)}.log"
        process = Process(
            [pathlib.Path(self.options.programs) / program, *arguments], log)
        self.processes.append(process)
        return process

    def start_stand_ins(self):
        self.platform = self.start("godwit-fake-platform",
                                   "--listen", ANY_PORT)
        self.platform.address("platform")
        for index in range(self.options.engines):
            self.engines.append(self.start(
                "godwit-fake-engine", "--listen", ANY_PORT,
                "--service", MODEL,
                "--zone", ZONES[index % len(ZONES)],
                "--seed", str(index + 1)))
        self.services.append(self.start(
            "godwit-fake-service", "--listen", ANY_PORT))
        for index, engine in enumerate(self.engines):
            self.enter_host(engine.address("engine"), "engine",
                            f"engine-{index}", index, MODEL)
        for index, service in enumerate(self.services):
            self.enter_host(service.address("service"), "service",
                            f"service-{index}", index, SERVICE)

    def enter_host(self, url, kind, name, index, service="", peer=""):
        entry = {"kind": kind, "name": name, "state": "live",
                 "zone": ZONES[index % len(ZONES)], "service": service}
        if peer:
            entry["peer"] = peer
        platform = self.platform.address("platform")
        call("PUT", f"{platform}/v1/hosts/{host_and_port(url)}", entry)

    def write_settings(self, name, settings):
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        return path

    def start_entry_host(self, index):
        host = f"entry-{index}"
        zone = ZONES[index % len(ZONES)]
        agent = self.start("godwit-agent", "--config", self.write_settings(
            f"agent-{index}", {
                "host": host, "zone": zone,
                "listen": {"operators": ANY_PORT, "frames": ANY_PORT},
                "platform": host_and_port(self.platform.address("platform")),
            }))
        self.agents.append(agent)
        frames = host_and_port(agent.address("frames"))
        proxy = self.start("godwit-proxy", "--config", self.write_settings(
            f"proxy-{index}", {
                "host": host, "zone": zone, "agent": frames,
                "listen": {"callers": ANY_PORT, "operators": ANY_PORT},
                "resume_keys": [{"id": "k1", "secret": self.resume_secret}],
                "drain": {"readiness_ms": 200, "limit_ms": 15000},
            }))
        self.proxies.append(proxy)
        self.enter_host(proxy.address("callers"), "entry", host, index,
                        peer=frames)

    def publish(self, changes):
        path = self.write_settings("catalogue", changes)
        operators = ",".join(agent.address("agent") for agent in self.agents)
        command = [pathlib.Path(self.options.programs) / "godwitctl",
                   "publish", str(path), "--wait",
                   "--platform", self.platform.address("platform"),
                   "--operators", operators]
        done = subprocess.run(command, timeout=START_SECONDS, check=False,
                              capture_output=True, text=True)
        if done.returncode != 0:
            raise SystemExit(f"godwitctl publish failed: {done.stdout}"
                             f"{done.stderr}")
        return done.stdout.strip()

    def stop(self):
        # Entry hosts first, so that they can finish what runs.
        for group in (self.proxies, self.agents, self.processes):
            for process in group:
                process.stop()
            for process in group:
                process.join()


def sample_catalogue():
    """The change set that the sample fleet starts from."""
    root = pathlib.Path(__file__).resolve().parent.parent
    example = root / "docs" / "examples" / "catalogue.json"
    changes = json.loads(example.read_text())
    for change in changes["changes"]:
        kind, _, name = change["entry"].partition("/")
        for organisation in ORGANISATIONS:
            if kind == "organisation" and name == organisation.name:
                change["value"]["token_hashes"] = [organisation.token_hash()]
    return changes


def show_requests(fleet):
    """One streamed generation, one short completion, one service call."""
    survey = {"Authorization": f"Bearer {ORGANISATIONS[0].token}"}
    clerks = {"Authorization": f"Bearer {ORGANISATIONS[1].token}",
              "Idempotency-Key": secrets.token_hex(8)}
    first = fleet.proxies[0].address("callers")
    last = fleet.proxies[-1].address("callers")
    print("== streamed generation")
    print(call("POST", f"{first}/v1/completions", {
        "model": MODEL, "stream": True, "max_tokens": 64,
        "prompt": "history of a hamlet length=6"}, survey).strip())
    print("== short completion")
    print(call("POST", f"{last}/v1/completions", {
        "model": MODEL, "stream": False, "max_tokens": 16,
        "prompt": "spelling of a village length=3"}, clerks).strip())
    print("== service call, not repeatable")
    clerks["Godwit-Repeatable"] = "no"
    print(call("POST", f"{first}/v1/services/{SERVICE}/entries",
               {"name": "Smarje"}, clerks).strip())


def print_addresses(fleet):
    for proxy in fleet.proxies:
        print(f"callers={proxy.address('callers')}")
        print(f"operators={proxy.address('operators')}")
    for key, group in (("agent", fleet.agents), ("platform", [fleet.platform]),
                       ("engine", fleet.engines),
                       ("service", fleet.services)):
        for process in group:
            print(f"{key}={process.address(key)}")
    print(f"model={MODEL}")
    for organisation in ORGANISATIONS:
        print(f"token={organisation.token}")


def run(options, folder):
    fleet = Fleet(options, folder)
    interrupted = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: interrupted.set())
    try:
        fleet.start_stand_ins()
        for index in range(options.entry_hosts):
            fleet.start_entry_host(index)
        print(fleet.publish(sample_catalogue()))
        for proxy in fleet.proxies:
            proxy.wait_ready()
        if not options.keep or not options.quiet:
            show_requests(fleet)
        print_addresses(fleet)
        if options.keep:
            print("ready", flush=True)
            interrupted.wait()
    finally:
        fleet.stop()
    print(f"stopped {len(fleet.processes)} processes")


def main():
    parser = argparse.ArgumentParser(prog="meta/run", description=__doc__)
    parser.add_argument("--keep", action="store_true",
                        help="leave the fleet running until Ctrl-C")
    parser.add_argument("--quiet", action="store_true",
                        help="with --keep: send no sample requests")
    parser.add_argument("--entry-hosts", type=int, default=2)
    parser.add_argument("--engines", type=int, default=2)
    parser.add_argument("--programs", default="build/release/bin",
                        help="folder of the built programs")
    parser.add_argument("--logs", help="folder for logs and settings; "
                        "a temporary one if left out")
    options = parser.parse_args()
    if options.logs:
        folder = pathlib.Path(options.logs)
        folder.mkdir(parents=True, exist_ok=True)
        run(options, folder)
        return
    with tempfile.TemporaryDirectory(prefix="godwit-") as folder:
        run(options, pathlib.Path(folder))


if __name__ == "__main__":
    sys.exit(main())
