"""What following the claims stream costs an agent that claims nothing."""
import json
import time

from . import agent_sweeps, bench_fleet as fleets
from .process_usage import ProcessorWindow, resident_mb
from .socket_bytes import ByteWindow
from .sweep import Sweep

RUNS = 3
WINDOW_SECONDS = 8
CLAIMS_IN_RECORD = 8


class ClaimWriter:
    """Writes records as the agents of other entry hosts would
    (libraries/claims/src/record_writer.cpp)."""

    def __init__(self, platform):
        self.url = platform + "/v1/streams/claims/records"
        self.written = 0

    def write(self):
        holders = []
        entries = []
        for place in range(CLAIMS_IN_RECORD):
            number = self.written + place
            holders.append([f"entry-{number % 410}", f"{number % 410:032x}",
                            "10.0.0.1:8100"])
            entries.append(["claim", f"{number:048x}", f"{number:032x}",
                            place, f"{number:032x}"])
        text = json.dumps({"version": 1, "holders": holders,
                           "entries": entries}, separators=(",", ":"))
        fleets.base.call("POST", self.url, text.encode())
        self.written += CLAIMS_IN_RECORD


def measure_claims(programs):
    """Two agents that read so many claims a second of others."""
    sweep = Sweep("claims")
    with fleets.bench_fleet(programs) as fleet:
        agent_sweeps.start_agents(fleet, 2, fleet.publish_catalogue(10))
        writer = ClaimWriter(fleet.platform.address("platform"))
        for rate in (0, 40, 80, 160, 320):
            for _ in range(RUNS):
                for agent in fleet.agents:
                    _window(sweep, rate, writer, agent)
        for agent in fleet.agents:
            _check(fleet, agent, writer.written)
    sweep.save()


def _window(sweep, rate, writer, agent):
    traffic = ByteWindow(agent.pid)
    window = ProcessorWindow(agent.pid)
    memory = resident_mb(agent.pid)
    begin = time.monotonic()
    for number in range(rate * WINDOW_SECONDS // CLAIMS_IN_RECORD):
        due = begin + number * CLAIMS_IN_RECORD / rate
        time.sleep(max(0.0, due - time.monotonic()))
        writer.write()
    time.sleep(max(0.0, begin + WINDOW_SECONDS - time.monotonic()))
    percent = window.percent()
    took = time.monotonic() - begin
    for name, unit, value in (
            ("agent_claims_percent", "% of a core", percent),
            ("agent_claims_received", "B/s", traffic.bytes()[1] / took),
            ("agent_claims_growth", "MB/s",
             (resident_mb(agent.pid) - memory) / took)):
        sweep.slope(name, "agent: claims of others", "claims/s",
                    unit).add(rate, value)


def _check(fleet, agent, written):
    state = fleets.read_state(agent.address("agent"))["claims"]
    if state["bad_records"] or state["remembered"] != written:
        raise SystemExit(f"the agent took {state['remembered']} of {written} "
                         f"claims, {state['bad_records']} records were bad")
