"""The plan of faults of one seed: series that overlap, several at once."""

import asyncio
import functools
import signal

from soak_parts import entries, http11, manners, table
from soak_parts.relay import Relay

NOTICE_SECONDS = 1.8
FEWEST_ENGINES = 3
# What a settings file may hold while it is being written, or by mistake.
BROKEN_SETTINGS = ("", "{", "[]", "null", '{"entry": 7}', "\0\0",
                   '{"entry": {"stop_grace_s": "long"}, "store": 1}')
STRANGE_LINES = ("GET / HTTP/0.0", "GET / HTTP/9.9", "GET", "GET  HTTP/1.1",
                 "\0 / HTTP/1.1", "GET / HTTP/1.1\r\nA\0: b",
                 "GET / HTTP/1.1\r\nContent-Length: -1")
_STOP, _KILL = signal.SIGTERM, signal.SIGKILL
ENDS = ((_KILL,), (_KILL,), (_KILL,), (_STOP,), (_STOP,), (_STOP, _STOP),
        (_STOP, _STOP, _STOP), (_STOP, _KILL))
RETRY_TERMS = (None, {"share": 0.0, "allowance": 0.0},
               {"share": 1.0, "allowance": 1e6, "window_s": 0.1},
               {"window_s": 3600})


class Faults:
    """Injects faults into a world, drawn from its seed."""

    def __init__(self, world):
        self.world = world
        self.rng = world.random("faults")
        self.count = 0
        self.kinds = (
            self.relay_fails, self.relay_fails, self.store_fails,
            functools.partial(self.engine_goes, notice=NOTICE_SECONDS),
            functools.partial(self.engine_goes, gap=0.5),
            self.engine_starts_again,
            self.engine_spoils, self.engine_spoils, self.other_writer,
            self.host_pauses, self.host_ends, self.host_ends,
            self.stops_amid_reloads, self.reloads, self.tables_change,
            self.strange_caller)

    async def inject(self, end):
        """Faults until `end`; returns when the last one is over."""
        running = []
        while self.world.clock() < end:
            for _ in range(self.rng.choice((1, 1, 2, 3))):
                span = min(self.rng.uniform(0.3, 2.0),
                           max(end - self.world.clock(), 0.1))
                self.count += 1
                rng = self.world.random(f"fault {self.count}")
                running.append(asyncio.create_task(
                    self.rng.choice(self.kinds)(rng, span)))
            await asyncio.sleep(self.rng.uniform(0.1, 0.9))
        await asyncio.gather(*running)
        self.world.publish(table.first)
        for host in self.world.hosts:
            self._reload(host, host.write_settings)

    async def relay_fails(self, rng, span):
        relay = rng.choice(self.world.relays)
        relay.mode = rng.choice(Relay.MODES)
        if relay.mode == "reset":
            relay.reset()
        await asyncio.sleep(span)
        relay.mode = "pass"

    async def store_fails(self, rng, span):
        store = self.world.store
        store.fault = rng.choice(("503", "429", "slow", "lost"))
        await asyncio.sleep(span)
        store.fault = ""

    async def _end_engine(self, rng, notice, gap):
        """An engine that is gone now; None if there are too few."""
        engines = self.world.engines
        if len(engines) < FEWEST_ENGINES:
            return None
        engine = engines.pop(rng.choice(sorted(engines)))
        if notice:
            engine.left_at = self.world.clock()
            self.world.list_engine(engine, "draining")
            await asyncio.sleep(notice)
        engine.stop()
        await asyncio.sleep(gap)
        return engine

    async def engine_goes(self, rng, _, notice=0.0, gap=0.0):
        """Another one, under an id of its own, takes its place."""
        engine = await self._end_engine(rng, notice, gap)
        if engine:
            self.world.store.put("keyed.servers", engine.name, None)
            await self.world.add_engine(f"i-{rng.randrange(10**6)}")

    async def engine_starts_again(self, rng, span):
        """Under the id that it had, at its port or another one."""
        notice = rng.choice((0.0, 0.0, span / 2))
        engine = await self._end_engine(
            rng, notice, rng.choice((0.01, span / 2)))
        if engine:
            relay = engine.relay if rng.random() < 0.5 else None
            again = await self.world.add_engine(engine.name, relay)
            again.began_again_at = self.world.clock()

    async def engine_spoils(self, rng, span):
        """Answers in another style for a while."""
        engine = await self.world.any_engine(rng)
        engine.manner.style = rng.choice(manners.STYLES)
        await asyncio.sleep(span)
        engine.manner.style = manners.PLAIN

    async def other_writer(self, rng, span):
        """Entries that name no replica, some of them under an engine's id."""
        world = self.world
        engine = await world.any_engine(rng)
        name = engine.name
        good = {**entries.entry(engine, "ready"),
                "address": f"127.0.0.1:{world.trap.port}"}
        keys = [f"w-{rng.randrange(1000)}" for _ in range(rng.randint(1, 6))]
        if rng.random() < 0.25:
            keys.append(name)
        for key in keys:
            world.store.put("keyed.servers", key,
                            entries.of_another_writer(rng, good))
        await asyncio.sleep(span)
        for key in keys:
            if key != name:
                world.store.put("keyed.servers", key, None)
            elif world.engines.get(name) is engine:
                world.list_engine(engine, "ready")

    async def host_pauses(self, rng, span, host=None):
        host = host or rng.choice(self.world.hosts)
        rounds = rng.choice((1, 1, 2, 3))
        for _ in range(rounds):
            await host.pause(rng.uniform(0.0, span) / rounds)
            await asyncio.sleep(rng.uniform(0.0, span / 6))

    async def _end(self, host, span, *numbers, gap=0.0):
        """Ends a host by signals and starts it again; joins one that ends."""
        if host.is_ending or not host.is_up():
            return
        host.is_ending = True
        await host.end(*numbers, gap=gap)
        is_in_time = not host.life.is_late
        self.world.ledger.check("stops in time", is_in_time, host.name)
        await asyncio.sleep(span / 2)
        await host.start()
        host.is_ending = False

    async def host_ends(self, rng, span):
        await self._end(rng.choice(self.world.hosts),
                        rng.choice((0.0, span)), *rng.choice(ENDS),
                        gap=rng.choice((0.0, 0.05, 0.5)))

    async def stops_amid_reloads(self, rng, span):
        """SIGHUPs, changes of the file and pauses around a stop."""
        host = rng.choice(self.world.hosts)
        await asyncio.gather(
            self.reloads(rng, span, host),
            self.host_pauses(rng, span / 2, host),
            self._end(host, 0.0, *[_STOP] * rng.randint(1, 2),
                      gap=span / 4))

    async def reloads(self, rng, span, host=None):
        host = host or rng.choice(self.world.hosts)
        rounds = rng.randint(2, 10)
        for _ in range(rounds):
            write = self._changed_settings(rng, host)
            if rng.random() < 0.3:
                write = functools.partial(host.settings.write_text,
                                          rng.choice(BROKEN_SETTINGS))
            self._reload(host, write)
            await asyncio.sleep(rng.uniform(0.0, 2 * span / rounds))
        self._reload(host, self._changed_settings(rng, host))

    def _changed_settings(self, rng, host):
        others = [each.neighbours for each in self.world.hosts]
        return functools.partial(
            host.write_settings,
            seeds=rng.sample(others, rng.randint(0, min(len(others), 16))),
            grace=rng.choice((0.2, 2, 4, 6)),
            retry=rng.choice(RETRY_TERMS))

    def _reload(self, host, write):
        # A host that starts must find a whole file.
        if host.is_up():
            write()
            host.send(signal.SIGHUP)

    async def tables_change(self, rng, span):
        rounds = rng.choice((1, 3, 12))
        for _ in range(rounds):
            self.world.publish(functools.partial(table.changed, rng=rng))
            await asyncio.sleep(rng.uniform(0.0, span / rounds))

    async def strange_caller(self, rng, span):
        """Bytes that are no request, at any port of a host."""
        host = rng.choice(self.world.hosts)
        port = rng.choice((host.callers, host.callers, host.readiness,
                           host.operators, host.neighbours))
        chunked = {"Host": "soak.example", "Transfer-Encoding": "chunked"}
        strange = (
            rng.randbytes(rng.randint(1, 4000)),
            http11.head("POST /none/x HTTP/1.1", chunked)
            + rng.choice(manners.SPOILED_CHUNKS),
            http11.head(rng.choice(STRANGE_LINES), {"Host": "soak.example"}))
        try:
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            await http11.send(writer, rng.choice(strange), rng)
            await asyncio.sleep(rng.choice((0.0, span)))
        except OSError:
            return
        rng.choice((http11.reset, lambda each: each.close()))(writer)
