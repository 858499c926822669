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
# Reads come about every 0.75 s; a short window may hold one more or less.
LIST_WINDOW_SECONDS = 15
SETTLE_SECONDS = 3
AGENTS = 6
CHANGE_SECONDS = 10
CHECKPOINT_SECONDS = 120
WARM_UP_SECONDS = 15
COST_RATE = 10


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
    time.sleep(LIST_WINDOW_SECONDS)
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


def start_agents(fleet, count, offset):
    """Agents that have the catalogue up to `offset` and one checkpoint."""
    for index in range(count):
        fleet.start_agent(index)
    for agent in fleet.agents:
        fleet.wait_in_force(agent, offset)
        _wait_checkpoint(agent)
    time.sleep(SETTLE_SECONDS)


def _wait_checkpoint(agent):
    """Until the first checkpoint, of a megabyte, was written and read."""
    deadline = time.monotonic() + CHECKPOINT_SECONDS
    while time.monotonic() < deadline:
        state = fleets.read_state(agent.address("agent"))
        if state["catalogue"]["newest_checkpoint"]:
            return
        time.sleep(0.2)
    raise SystemExit(f"no checkpoint within {CHECKPOINT_SECONDS} s; read "
                     f"{agent.address('agent')}/state")


def measure_changes(programs):
    """Five agents and an agent with its proxy, 3,100 organisations, against
    changes a second; the time from the append to in force on each."""
    sweep = Sweep("changes")
    with fleets.bench_fleet(programs) as fleet:
        fleet.start_engines(1)
        offset = fleet.publish_catalogue(3100)
        fleet.start_entry_host(AGENTS)
        start_agents(fleet, AGENTS - 1, offset)
        _warm_up()
        for rate in (0, 1, 2, 4, 8, 13):
            for _ in range(RUNS):
                _change_window(sweep, rate, fleet)
    sweep.save()


def measure_agents(programs):
    """Agents of a fleet, 100 organisations and one change a second, against
    their number."""
    sweep = Sweep("agents")
    for size in (2, 6, 12, 24, 48):
        with fleets.bench_fleet(programs) as fleet:
            start_agents(fleet, size, fleet.publish_catalogue(100))
            _warm_up()
            for _ in range(RUNS):
                _change_window(sweep, 1, fleet, size)
    sweep.save()


def _warm_up():
    """First pulls, and checkpoints of a megabyte that more than one agent
    may write at the start, are no part of what a fleet costs from then on."""
    time.sleep(WARM_UP_SECONDS)


def measure_change_organisations(programs):
    """What a change costs an agent and a proxy against organisations."""
    sweep = Sweep("change-organisations")
    for size in (10, 100, 1000, 3100):
        with fleets.bench_fleet(programs) as fleet:
            fleet.start_engines(1)
            offset = fleet.publish_catalogue(size)
            fleet.start_entry_host(0)
            for process in (fleet.agents[0], fleet.proxies[0]):
                fleet.wait_in_force(process, offset)
            _warm_up()
            for _ in range(RUNS):
                _change_cost(sweep, size, fleet)
    sweep.save()


def _change_cost(sweep, size, fleet):
    """Processor time of a window with changes, less one without."""
    roles = (("agent", fleet.agents[0]), ("proxy", fleet.proxies[0]))
    used = {role: [] for role, _ in roles}
    for rate in (0, COST_RATE):
        windows = [(role, ProcessorWindow(process.pid))
                   for role, process in roles]
        _publish(fleet, rate, WINDOW_SECONDS)
        for role, window in windows:
            used[role].append(window.percent())
    for role, (idle, busy) in used.items():
        sweep.slope(f"{role}_change_ms", f"{role}: processor time of a change",
                    "organisations", "ms").add(
                        size, 10 * (busy - idle) / COST_RATE)


def _publish(fleet, rate, seconds):
    """Changes evenly spaced; takes `seconds` in all."""
    begin = time.monotonic()
    changes = []
    for number in range(rate * seconds):
        time.sleep(max(0.0, begin + number / rate - time.monotonic()))
        changes.append(fleet.publish_change())
    time.sleep(max(0.0, begin + seconds - time.monotonic()))
    return changes


def _change_window(sweep, rate, fleet, size=None):
    traffic = [ByteWindow(agent.pid) for agent in fleet.agents]
    windows = [ProcessorWindow(agent.pid) for agent in fleet.agents]
    proxies = [ProcessorWindow(proxy.pid) for proxy in fleet.proxies]
    begin = time.monotonic()
    changes = _publish(fleet, rate, CHANGE_SECONDS)
    percents = [window.percent() for window in windows]
    took = time.monotonic() - begin
    bytes_moved = [window.bytes() for window in traffic]
    values = [
        ("percent", "agent", "% of a core", statistics.fmean(percents)),
        ("mb", "agent", "MB", statistics.fmean(
            resident_mb(agent.pid) for agent in fleet.agents)),
        ("sent", "agent", "B/s", statistics.fmean(
            sent for sent, _ in bytes_moved) / took),
        ("received", "agent", "B/s", statistics.fmean(
            received for _, received in bytes_moved) / took)]
    values += [("proxy_percent", "proxy", "% of a core", window.percent())
               for window in proxies]
    delays = _delays(fleet, changes)
    if delays:
        values.append(("in_force_ms", "append to in force on all, longest",
                       "ms", 1000 * max(delays)))
    kind, x_unit = (("change", "changes/s") if size is None
                    else ("fleet", "agents"))
    for name, title, unit, value in values:
        sweep.slope(f"{kind}_{name}", f"{title}: {x_unit}", x_unit,
                    unit).add(rate if size is None else size, value)


def _delays(fleet, changes):
    """Seconds from each append to in force on each agent and proxy."""
    if not changes:
        return []
    delays = []
    for process in (*fleet.agents, *fleet.proxies):
        fleet.wait_in_force(process, changes[-1][1])
        reached = [(datetime.datetime.fromisoformat(text).timestamp(), offset)
                   for text, offset in fleets.in_force(process)]
        for moment, wanted in changes:
            at = min(when for when, offset in reached if offset >= wanted)
            delays.append(max(0.0, at - moment))
    return delays
