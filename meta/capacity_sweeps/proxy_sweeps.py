"""One godwit-proxy with its agent, engines of the stand-in's kind and a
platform, on loopback."""
import asyncio
import statistics
import time

from . import bench_fleet as fleets
from .process_usage import ProcessorWindow, resident_mb
from .socket_bytes import ByteWindow
from .sweep import Sweep
from .token_client import Tally, Target, generate

RUNS = 3
WINDOW_SECONDS = 4
LATENCY_SECONDS = 6
SETTLE_SECONDS = 2
FAST = {"tokens_per_second": 4000, "batch": 512, "memory_tokens": 50_000_000}
LONG_LENGTH = 8000


def start_entry_host(fleet, organisations=10):
    """Agent and proxy, ready, with a catalogue in force."""
    offset = fleet.publish_catalogue(organisations)
    fleet.start_entry_host(0)
    proxy = fleet.proxies[0]
    proxy.wait_ready()
    fleet.wait_in_force(proxy, offset)
    time.sleep(SETTLE_SECONDS)
    return proxy


def caller_of(proxy):
    return Target.of(proxy.address("callers"), fleets.TOKEN,
                     fleets.base.MODEL)


async def send_at_rate(target, rate, seconds, tally, length, stream,
                       names=None):
    """Requests evenly spaced, whatever became of the ones before."""
    running = set()
    begin = time.perf_counter()
    for number in range(int(rate * seconds)):
        wait = begin + number / rate - time.perf_counter()
        if wait > 0:
            await asyncio.sleep(wait)
        name = names(number) if names else ""
        running.add(asyncio.create_task(
            generate(target, length, tally, stream, name)))
        running = {task for task in running if not task.done()}
    return running


def check(tally, what):
    if tally.failed:
        raise SystemExit(f"{what}: {tally.failed} requests failed, the last "
                         f"with {tally.last_failure}")


def measure_requests(programs):
    """Processor time against short requests a second, 4 tokens each."""
    sweep = Sweep("proxy-requests")
    slope = sweep.slope("proxy_request_percent",
                        "proxy: short whole answers of 4 tokens",
                        "requests/s", "% of a core")
    with fleets.bench_fleet(programs) as fleet:
        fleet.start_engines(4, **FAST)
        proxy = start_entry_host(fleet)
        for rate in (10, 20, 40, 80, 160):
            for _ in range(RUNS):
                tally = Tally()
                window = ProcessorWindow(proxy.pid)
                asyncio.run(_send_all(caller_of(proxy), rate, tally))
                slope.add(rate, window.percent(), tally.finished
                          / (time.monotonic() - window.begin))
                check(tally, f"{rate} requests/s")
    sweep.save()


async def _send_all(target, rate, tally):
    running = await send_at_rate(target, rate, WINDOW_SECONDS, tally, 4,
                                 stream=False)
    await asyncio.gather(*running)


def measure_tokens(programs):
    """Processor time against tokens a second: 64 long streams, engines of
    five speeds."""
    sweep = Sweep("proxy-tokens")
    slope = sweep.slope("proxy_token_percent", "proxy: streamed tokens",
                        "tokens/s", "% of a core")
    for speed in (8, 16, 32, 64, 128):
        with fleets.bench_fleet(programs) as fleet:
            fleet.start_engines(8, tokens_per_second=speed, batch=512,
                                memory_tokens=50_000_000)
            proxy = start_entry_host(fleet)
            asyncio.run(_stream_windows(proxy, 64, slope, speed))
    sweep.save()


async def _stream_windows(proxy, streams, slope, size):
    tally = Tally()
    running = [asyncio.create_task(
        generate(caller_of(proxy), LONG_LENGTH, tally))
        for _ in range(streams)]
    await asyncio.sleep(SETTLE_SECONDS)
    for _ in range(RUNS):
        tokens = tally.tokens
        window = ProcessorWindow(proxy.pid)
        await asyncio.sleep(WINDOW_SECONDS)
        took = time.monotonic() - window.begin
        slope.add(size, window.percent(), (tally.tokens - tokens) / took)
    check(tally, "streams")
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)


def measure_streams(programs):
    """Memory and processor time against streams held by slow engines."""
    sweep = Sweep("proxy-streams")
    memory = sweep.slope("proxy_stream_mb", "proxy: streams held",
                         "streams", "MB")
    idle = sweep.slope("proxy_stream_percent", "proxy: streams held",
                       "streams", "% of a core")
    for _ in range(RUNS):
        with fleets.bench_fleet(programs) as fleet:
            fleet.proxy_settings = {"request": {"stall_ms": 600000}}
            fleet.start_engines(8, tokens_per_second=1, batch=512,
                                memory_tokens=50_000_000)
            proxy = start_entry_host(fleet)
            asyncio.run(_hold_streams(proxy, memory, idle))
    sweep.save()


async def _hold_streams(proxy, memory, idle):
    tally = Tally()
    running = []
    for streams in (0, 100, 200, 400, 800):
        while len(running) < streams:
            running.append(asyncio.create_task(
                generate(caller_of(proxy), LONG_LENGTH, tally)))
            await asyncio.sleep(0.005)
        await asyncio.sleep(SETTLE_SECONDS)
        window = ProcessorWindow(proxy.pid)
        await asyncio.sleep(WINDOW_SECONDS)
        check(tally, f"{streams} streams")
        idle.add(streams, window.percent())
        memory.add(streams, resident_mb(proxy.pid))
    for task in running:
        task.cancel()
    await asyncio.gather(*running, return_exceptions=True)


def measure_servers(programs):
    """An idle proxy that polls the load of so many backend servers."""
    sweep = Sweep("proxy-servers")
    idle = sweep.slope("proxy_server_percent", "proxy: idle, servers polled",
                       "servers polled", "% of a core")
    memory = sweep.slope("proxy_server_mb", "proxy: idle, servers polled",
                         "servers polled", "MB")
    sent = sweep.slope("proxy_server_sent", "proxy: load polls sent",
                       "servers polled", "B/s")
    received = sweep.slope("proxy_server_received",
                           "proxy: load reports received",
                           "servers polled", "B/s")
    for servers in (4, 8, 16, 32, 64):
        with fleets.bench_fleet(programs) as fleet:
            # Without the bound of polls, so that the line is that of one.
            fleet.proxy_settings = {"backend": {
                "subset": 64, "polls_per_second": 100000}}
            fleet.start_engines(servers)
            proxy = start_entry_host(fleet)
            ports = {int(engine.address("engine").rsplit(":", 1)[1])
                     for engine in fleet.engines}
            for _ in range(RUNS):
                traffic = ByteWindow(proxy.pid, ports)
                window = ProcessorWindow(proxy.pid)
                time.sleep(WINDOW_SECONDS)
                idle.add(servers, window.percent())
                took = time.monotonic() - window.begin
                bytes_sent, bytes_received = traffic.bytes()
                sent.add(servers, bytes_sent / took)
                received.add(servers, bytes_received / took)
                memory.add(servers, resident_mb(proxy.pid))
    sweep.save()


def measure_latency(programs):
    """What the proxy adds to the first token and between tokens: the same
    client through the proxy and at the engine itself, in turns."""
    sweep = Sweep("proxy-latency")
    _first_tokens(programs, sweep)
    _gaps(programs, sweep)
    sweep.save()


def _first_tokens(programs, sweep):
    """Engines with steps of 1 ms: the wait for a step hardly counts."""
    slopes = [sweep.slope(f"proxy_first_{name}",
                          f"proxy: added to the first token, {text}",
                          "requests/s", "ms")
              for name, text in (("median_ms", "median"),
                                 ("ms", "95 in 100"))]
    with fleets.bench_fleet(programs) as fleet:
        fleet.start_engines(1, tokens_per_second=1000, batch=512,
                            memory_tokens=50_000_000)
        proxy = start_entry_host(fleet)
        for rate in (10, 20, 40, 80):
            for run in range(RUNS):
                tallies = _both_ways(fleet, proxy, rate, run, length=4)
                for slope, share in zip(slopes, (50, 95)):
                    slope.add(rate, _added(tallies, "first_token", share))


def _gaps(programs, sweep):
    """Streams of 40 tokens at 50/s, so of about a second."""
    gap = sweep.slope("proxy_gap_ms", "proxy: added between tokens, "
                      "95 in 100", "requests/s", "ms")
    with fleets.bench_fleet(programs) as fleet:
        fleet.start_engines(1, tokens_per_second=50, batch=512,
                            memory_tokens=50_000_000)
        proxy = start_entry_host(fleet)
        for rate in (5, 10, 20, 40):
            for run in range(RUNS):
                gap.add(rate, _added(_both_ways(fleet, proxy, rate, run, 40),
                                     "gaps", 95))


def _both_ways(fleet, proxy, rate, run, length):
    """What callers saw through the proxy, and at the engine itself."""
    engine = Target.of(fleet.engines[0].address("engine"), "",
                       fleets.base.MODEL)

    def name(number):
        return f"direct-{rate}-{run}-{number}"

    return (_timed(caller_of(proxy), rate, length, None),
            _timed(engine, rate, length, name))


def _added(tallies, what, share):
    """Difference of percentiles in ms, at most to the noise of a caller in
    Python."""
    through, alone = (statistics.quantiles(getattr(tally, what), n=100)
                      [share - 1] for tally in tallies)
    return 1000 * (through - alone)


def _timed(target, rate, length, names):
    tally = Tally(keeps_times=True)

    async def run():
        running = await send_at_rate(target, rate, LATENCY_SECONDS, tally,
                                     length, stream=True, names=names)
        await asyncio.gather(*running)

    asyncio.run(run())
    check(tally, f"{rate} streams/s")
    return tally
