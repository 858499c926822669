"""The fleet of one seed and its surroundings."""

import asyncio
import functools
import json
import random
import signal
import tempfile
from pathlib import Path

from soak_parts import entries, recovery, table
from soak_parts.callers import Caller
from soak_parts.catalogue import Catalogue, Prober
from soak_parts.engine import Engine, Trap
from soak_parts.ends import Ends, Kills
from soak_parts.faults import Faults
from soak_parts.host import Host
from soak_parts.ledger import Ledger
from soak_parts.protection import (CrashingPart, CrashingRequest,
                                   NamedLimit)
from soak_parts.relay import Relay
from soak_parts.restores import Restores
from soak_parts.server_states import ServerStates
from soak_parts.stand_ins import Store

# Without faults at the end: callers must be served again.
RECOVERY_SECONDS = 4.0
# As long as a version may take, with some questions after it.
CALM_SECONDS = 2.6
# Longer than a version may take.
SUSPENDED_SECONDS = 3
RESTART_SECONDS = 0.3


class World:
    """Plays one seed."""

    def __init__(self, arguments, seed):
        self.arguments = arguments
        self.seed = seed
        self.rng = random.Random(seed)
        self.ledger = Ledger()
        self.store = Store(self.clock)
        self.catalogue = Catalogue(self.clock)
        self.restores = Restores(self)
        self.trap = Trap(self.ledger)
        self.hosts = []
        self.engines = {}
        self.relays = []
        self.version = 0
        self.crashing = (CrashingRequest(self), CrashingPart(self))
        self.limit = NamedLimit(self)
        self.states = ServerStates(self)
        self.kills = Kills(self)
        self.is_over = False
        self._tasks = []

    def clock(self):
        return asyncio.get_running_loop().time()

    def random(self, name):
        """A generator of its own for each part, whatever the others draw."""
        return random.Random(f"{self.seed}/{name}")

    async def play(self):
        """The ledger of the seed, and how many faults were injected."""
        faults = Faults(self)
        with tempfile.TemporaryDirectory() as folder:
            if self.arguments.logs:
                folder = self.arguments.logs / str(self.seed)
                folder.mkdir(parents=True, exist_ok=True)
            try:
                await self._start(Path(folder))
                await self._run(faults)
            finally:
                await self._stop()
        return self.ledger, faults.count

    async def _start(self, folder):
        await self.store.start()
        await self.trap.start()
        self.publish(table.first)
        for number in range(self.arguments.engines):
            await self.add_engine(f"i-{number}")
        seeds = []
        for number in range(self.arguments.hosts):
            relay = await self.add_relay(self.store.port)
            host = Host(f"h{number}", self.arguments.programs /
                        "godwit-entry", folder, relay, seeds, self,
                        getattr(self.arguments, "entry_settings", None))
            seeds = seeds or [host.neighbours]
            self.hosts.append(host)
            await host.start()
        await asyncio.gather(*self._tasks)

    async def _run(self, faults):
        end = self.clock() + self.arguments.seconds
        callers = [Caller(f"s{self.seed}c{number}",
                          self.hosts[number % len(self.hosts)], self.ledger,
                          self.random(f"caller {number}"))
                   for number in range(self.arguments.callers)]
        probers = [Prober(self, host) for host in self.hosts]
        tasks = [asyncio.create_task(caller.run(self.clock))
                 for caller in callers]
        tasks += [asyncio.create_task(prober.run()) for prober in probers]
        faults_end = end - RECOVERY_SECONDS
        await asyncio.gather(faults.inject(faults_end),
                             *(each.send(faults_end)
                               for each in self.crashing),
                             self.limit.name(faults_end),
                             self.states.run(faults_end),
                             self.restores.run(faults_end),
                             self.kills.run(faults_end),
                             self._suspend_hosts(faults_end))
        await self.restores.run_last()
        for caller in callers:
            caller.is_steady = True
        quiet_from = self.clock() + RECOVERY_SECONDS / 2
        await asyncio.sleep(RECOVERY_SECONDS)
        await self._check_calm(probers)
        await asyncio.gather(*self._tasks)
        await recovery.use_engines(self)
        for each in (*callers, *probers):
            each.is_done = True
        await asyncio.gather(*tasks)
        recovery.check_served(self, callers, quiet_from)
        recovery.check_engines(self)
        for host in self.hosts:
            self.ledger.check("runs on", host.life.is_running(), host.name)

    async def _suspend_hosts(self, end):
        rng = self.random("suspensions")
        while self.clock() < end:
            await asyncio.sleep(rng.uniform(1.0, 5.0))
            await rng.choice(self.hosts).suspend(rng.choice((1, 2, 3)))

    async def _check_calm(self, probers):
        """Versions while nothing fails but one host, which is suspended."""
        rng = self.random("calm")
        suspended = asyncio.create_task(
            rng.choice(self.hosts).suspend(SUSPENDED_SECONDS))
        for gap in (0.0, 0.6):
            await asyncio.sleep(gap)
            self.publish(functools.partial(table.changed, rng=rng))
        await suspended
        await asyncio.sleep(CALM_SECONDS)
        self.publish(table.first)
        for prober in probers:
            self.ledger.check("asked in touch", prober.checked_in_touch,
                              prober.host.name)

    def host_started(self, host, life):
        """A host that started is ready soon."""
        self._tasks.append(asyncio.create_task(
            recovery.check_ready(self, host, life)))

    def host_ended(self, host, life):
        """A host ends only when it was told to."""
        if self.is_over:
            return
        self.ledger.check(
            "ends only when told to", life.ended_as_told(),
            f"{host.name} ended with {life.process.returncode}, told "
            f"{sorted(life.told)}, seed {self.seed}: {host.last_lines()}")
        if not host.is_ending:
            self._tasks.append(asyncio.create_task(self._restart(host)))

    async def _restart(self, host):
        await asyncio.sleep(RESTART_SECONDS)
        if not (self.is_over or host.is_ending or host.life.is_running()):
            await host.start()

    def publish(self, make):
        """A further version of the route table."""
        self.version += self.rng.randint(1, 3)
        made = make(self.version)
        self.catalogue.extend(self.version, made)
        self.store.put("keyed.op", "config", json.dumps(made))

    def list_engine(self, engine, state):
        engine.sequence += 1
        self.write_entry(engine, state)

    def write_entry(self, engine, state):
        """What the engine says of itself, at the store."""
        self.store.put("keyed.servers", engine.name,
                       json.dumps(entries.entry(engine, state)))

    async def add_relay(self, target):
        rng = self.random(f"relay {len(self.relays)}")
        relay = await Relay(target, rng).start()
        self.relays.append(relay)
        return relay

    async def add_engine(self, name, relay=None):
        """An engine, at the port of `relay` or at a new one."""
        engine = await Engine(name, self.ledger, self.clock,
                              self.random(f"engine {name}"),
                              Ends(self.random(f"ends {name}"),
                                   lambda: self.kills.is_over)).start()
        if relay is None:
            relay = await self.add_relay(engine.port)
        relay.target = engine.port
        engine.relay = relay
        engine.crashing = self.crashing
        engine.states = self.states
        self.engines[name] = engine
        self.list_engine(engine, "ready")
        return engine

    async def any_engine(self, rng):
        """A random engine; waits while all of them have crashed."""
        while not self.engines:
            await asyncio.sleep(0.05)
        return self.engines[rng.choice(sorted(self.engines))]

    def engine_crashes(self, engine, rng):
        """Stops an engine with all its runs and restarts it after a delay."""
        del self.engines[engine.name]
        engine.stop()
        self._tasks.append(asyncio.create_task(
            self._restart_engine(engine, rng.uniform(0.2, 1.0))))

    async def _restart_engine(self, engine, delay):
        await asyncio.sleep(delay)
        if not self.is_over and engine.name not in self.engines:
            await self.add_engine(engine.name, engine.relay)

    async def _stop(self):
        self.is_over = True
        for host in self.hosts:
            if host.life and host.life.is_running():
                await host.end(signal.SIGKILL)
            host.log.close()
