"""Agents, and an entry host's two programs while nothing is asked of them,
against the catalogue, its changes and the host list."""
import datetime
import statistics
import time

from . import bench_fleet as fleets
from .process_usage import ProcessorWindow, resident_mb
from .socket_bytes import ByteWindow
from .sweep import Sweep

RUNS = 3
WINDOW_SECONDS = 5
SETTLE_SECONDS = 3
AGENTS = 6
CHANGE_SECONDS = 10


def measure_organisations(programs):
    """Agent and proxy of one entry host against organisations in force."""
    sweep = Sweep("organisations")
    for size in (10, 100, 1000, 3100):
        with fleets.bench_fleet(programs) as fleet:
            fleet.start_engines(2)
            offset = fleet.publish_catalogue(size)
            fleet.start_entry_host(0)
            fleet.wait_in_force(fleet.proxies[0], offset)
            time.sleep(SETTLE_SECONDS)
            for _ in range(RUNS):
                _idle_window(sweep, size, fleet)
    sweep.save()


def _idle_window(sweep, size, fleet):
    roles = (("agent", fleet.agents[0]), ("proxy", fleet.proxies[0]))
    windows = [ProcessorWindow(process.pid) for _, process in roles]
    time.sleep(WINDOW_SECONDS)
    for (role, process), window in zip(roles, windows):
        sweep.slope(f"{role}_organisation_percent",
                    f"{role}: idle, organisations", "organisations",
                    "% of a core").add(size, window.percent())
        sweep.slope(f"{role}_organisation_mb",
                    f"{role}: idle, organisations", "organisations",
                    "MB").add(size, resident_mb(process.pid))


def measure_host_list(programs):
    """An agent that reads a host list of so many entries."""
    sweep = Sweep("host-list")
    for size in (10, 100, 400, 1100):
        with fleets.bench_fleet(programs) as fleet:
            fleet.publish_catalogue(10)
            for index in range(size):
                fleet.enter_host(
                    f"http://127.0.{2 + index // 250}.{index % 250}:8000",
                    "engine", f"engine-{index}", index,
                    f"model-{index % 30}")
            agent = fleet.start_agent(0)
            agent.wait_ready()
            time.sleep(SETTLE_SECONDS)
            port = int(fleet.platform.address("platform").rsplit(":", 1)[1])
            for _ in range(RUNS):
                _host_list_window(sweep, size, agent, port)
    sweep.save()


def _host_list_window(sweep, size, agent, port):
    traffic = ByteWindow(agent.pid, {port})
    window = ProcessorWindow(agent.pid)
    time.sleep(WINDOW_SECONDS)
    percent = window.percent()
    took = time.monotonic() - window.begin
    sent, received = traffic.bytes()
    for name, unit, value in (
            ("agent_host_percent", "% of a core", percent),
            ("agent_host_mb", "MB", resident_mb(agent.pid)),
            ("agent_host_sent", "B/s", sent / took),
            ("agent_host_received", "B/s", received / took)):
        sweep.slope(name, "agent: host list read every second",
                    "hosts listed", unit).add(size, value)


def measure_changes(programs):
    """Six agents with 3,100 organisations against changes a second, and the
    time from the append to in force on each."""
    sweep = Sweep("changes")
    with fleets.bench_fleet(programs) as fleet:
        offset = fleet.publish_catalogue(3100)
        for index in range(AGENTS):
            fleet.start_agent(index)
        for agent in fleet.agents:
            fleet.wait_in_force(agent, offset)
        time.sleep(SETTLE_SECONDS)
        for rate in (0, 1, 4, 13):
            for _ in range(RUNS):
                _change_window(sweep, rate, fleet)
    sweep.save()


def _change_window(sweep, rate, fleet):
    traffic = [ByteWindow(agent.pid) for agent in fleet.agents]
    windows = [ProcessorWindow(agent.pid) for agent in fleet.agents]
    begin = time.monotonic()
    changes = []
    for number in range(rate * CHANGE_SECONDS):
        wait = begin + number / rate - time.monotonic()
        if wait > 0:
            time.sleep(wait)
        changes.append(fleet.publish_change())
    time.sleep(max(0.0, begin + CHANGE_SECONDS - time.monotonic()))
    percents = [window.percent() for window in windows]
    took = time.monotonic() - begin
    bytes_moved = [window.bytes() for window in traffic]
    values = [
        ("agent_change_percent", "% of a core", statistics.fmean(percents)),
        ("agent_change_mb", "MB", statistics.fmean(
            resident_mb(agent.pid) for agent in fleet.agents)),
        ("agent_change_sent", "B/s", statistics.fmean(
            sent for sent, _ in bytes_moved) / took),
        ("agent_change_received", "B/s", statistics.fmean(
            received for _, received in bytes_moved) / took)]
    delays = _delays(fleet, changes)
    if delays:
        values.append(("agent_in_force_ms", "ms", 1000 * max(delays)))
    for name, unit, value in values:
        title = ("agent: append to in force on all 6, longest"
                 if name == "agent_in_force_ms"
                 else "agent: changes, 3,100 organisations, 6 agents")
        sweep.slope(name, title, "changes/s", unit).add(rate, value)


def _delays(fleet, changes):
    """Seconds from each append to in force on each agent."""
    if not changes:
        return []
    for agent in fleet.agents:
        fleet.wait_in_force(agent, changes[-1][1])
    delays = []
    for agent in fleet.agents:
        reached = [(datetime.datetime.fromisoformat(text).timestamp(), offset)
                   for text, offset in fleets.in_force(agent)]
        for moment, wanted in changes:
            at = min(when for when, offset in reached if offset >= wanted)
            delays.append(max(0.0, at - moment))
    return delays
