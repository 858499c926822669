"""A fleet to measure on: meta/fleet.py with sizes and settings of our own."""
import argparse
import contextlib
import hashlib
import json
import pathlib
import re
import sys
import tempfile
import time
import urllib.request

from .sweep import ROOT

sys.path.insert(0, str(ROOT / "meta"))
import fleet as base  # noqa: E402  (the folder has no package)

CHANGES_IN_RECORD = 50
TOKEN = "capacity-token"
IN_FORCE = re.compile(
    r"^time=(\S+) .*event=(?:in_force next_offset|catalogue_in_force offset)"
    r"=(\d+)")


class BenchFleet(base.Fleet):
    """Starts only what a sweep asks for."""

    def __init__(self, programs, folder):
        super().__init__(argparse.Namespace(
            programs=programs, engines=0, entry_hosts=0, keep=False,
            quiet=True), folder)
        self.published = 0
        self.agent_settings = {}
        self.proxy_settings = {}

    def start_platform(self):
        self.platform = self.start(
            "godwit-fake-platform", "--listen", base.ANY_PORT,
            "--appends-per-second", "100000", "--host-list-lag-ms", "0")
        self.platform.address("platform")

    def start_engines(self, count, **options):
        arguments = [part for key, value in options.items()
                     for part in ("--" + key.replace("_", "-"), str(value))]
        first = len(self.engines)
        for index in range(first, first + count):
            self.engines.append(self.start(
                "godwit-fake-engine", "--listen", base.ANY_PORT,
                "--service", base.MODEL, "--zone", base.ZONES[0],
                *arguments))
        for index in range(first, first + count):
            self.enter_host(self.engines[index].address("engine"), "engine",
                            f"engine-{index}", 0, base.MODEL)

    def write_settings(self, name, settings):
        extra = self.agent_settings if name.startswith("agent") \
            else self.proxy_settings
        return super().write_settings(name, {**settings, **extra})

    def start_agent(self, index):
        """An entry host without a proxy."""
        host = f"entry-{index}"
        zone = base.ZONES[index % len(base.ZONES)]
        agent = self.start("godwit-agent", "--config", self.write_settings(
            f"agent-{index}", {
                "host": host, "zone": zone,
                "listen": {"operators": base.ANY_PORT,
                           "frames": base.ANY_PORT},
                "platform": base.host_and_port(
                    self.platform.address("platform"))}))
        self.agents.append(agent)
        frames = base.host_and_port(agent.address("frames"))
        self.enter_host(f"http://127.0.0.2:{1000 + index}", "entry", host,
                        index, peer=frames)
        return agent

    def append(self, record):
        """The wall-clock time before the append, and the next offset."""
        moment = time.time()
        url = (self.platform.address("platform")
               + "/v1/streams/catalogue/records")
        answer = json.loads(base.call("POST", url, record))
        return moment, answer["offset"] + 1

    def publish_catalogue(self, organisations):
        """The sample catalogue and so many organisations; the next offset."""
        sample = base.sample_catalogue()
        changes = [{"expected_version": 0, **change}
                   for change in sample["changes"]]
        self.append({"record": "change_set", "change_id": "sample",
                     "operator": "ana", "changes": changes})
        _, offset = self.append(
            self._change_set([self._organisation("bench", TOKEN)]))
        last = 0
        while last < organisations:
            upto = min(organisations, last + CHANGES_IN_RECORD)
            _, offset = self.append(self._change_set(
                [self._organisation(f"organisation-{index}", f"t-{index}")
                 for index in range(last, upto)]))
            last = upto
        return offset

    def publish_change(self):
        """One more organisation, as one catalogue change."""
        name = f"late-{self.published}"
        return self.append(self._change_set([self._organisation(name, name)]))

    def _change_set(self, changes):
        self.published += 1
        return {"record": "change_set", "operator": "ana",
                "change_id": f"change-{self.published}", "changes": changes}

    @staticmethod
    def _organisation(name, token):
        return {"entry": f"organisation/{name}", "expected_version": 0,
                "value": {"class": "interactive",
                          "token_hashes": [
                              hashlib.sha256(token.encode()).hexdigest()],
                          "limits": {"concurrency": 100000,
                                     "tokens_per_second": 10000000}}}

    def wait_in_force(self, process, offset, seconds=30):
        """Until the process logged that it has the catalogue up to offset."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if any(reached >= offset for _, reached in in_force(process)):
                return
            time.sleep(0.05)
        raise SystemExit(f"{process.name} did not reach offset {offset}; "
                         f"its log is {process._log.name}")


def in_force(process):
    """(time text, offset) of each catalogue that came into force."""
    with open(process._log.name, encoding="utf-8", errors="replace") as lines:
        return [(found[1], int(found[2]))
                for found in map(IN_FORCE.match, lines) if found]


def read_state(url):
    with urllib.request.urlopen(url + "/state", timeout=10) as answer:
        return json.loads(answer.read())


@contextlib.contextmanager
def bench_fleet(programs):
    with tempfile.TemporaryDirectory(prefix="godwit-capacity-") as folder:
        fleet = BenchFleet(programs, pathlib.Path(folder))
        try:
            fleet.start_platform()
            yield fleet
        finally:
            fleet.stop()
