"""The fleet of one seed and its surroundings."""

import asyncio
import json
import random
import signal
import tempfile
from pathlib import Path

from soak_parts import entries, table
from soak_parts.callers import Caller
from soak_parts.engine import Engine, Trap
from soak_parts.faults import Faults
from soak_parts.host import Host
from soak_parts.ledger import Ledger
from soak_parts.relay import Relay
from soak_parts.stand_ins import Store

# Without faults at the end: callers must be served again.
RECOVERY_SECONDS = 4.0
# An engine that started again this long before the end has been used.
REUSE_SECONDS = 6.0
RESTART_SECONDS = 0.3


class World:
    """Plays one seed."""

    def __init__(self, arguments, seed):
        self.arguments = arguments
        self.seed = seed
        self.rng = random.Random(seed)
        self.ledger = Ledger()
        self.store = Store()
        self.trap = Trap(self.ledger)
        self.hosts = []
        self.engines = {}
        self.relays = []
        self.version = 0
        self.is_over = False
        self._restarts = set()

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
            await self._start(Path(folder))
            try:
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
                        "godwit-entry", folder, relay.port, seeds,
                        self.host_ended)
            seeds = seeds or [host.neighbours]
            self.hosts.append(host)
            await host.start()
        for host in self.hosts:
            while host.life.is_running() and not await host.is_ready():
                await asyncio.sleep(0.05)

    async def _run(self, faults):
        end = self.clock() + self.arguments.seconds
        callers = [Caller(f"s{self.seed}c{number}",
                          self.hosts[number % len(self.hosts)], self.ledger,
                          self.random(f"caller {number}"), "k1")
                   for number in range(self.arguments.callers)]
        tasks = [asyncio.create_task(caller.run(self.clock))
                 for caller in callers]
        await faults.inject(end - RECOVERY_SECONDS)
        for caller in callers:
            caller.is_steady = True
        quiet_from = self.clock() + RECOVERY_SECONDS / 2
        await asyncio.sleep(RECOVERY_SECONDS)
        for caller in callers:
            caller.is_done = True
        await asyncio.gather(*tasks)
        self._check_recovery(callers, quiet_from)

    def _check_recovery(self, callers, quiet_from):
        late = [good for caller in callers
                for moment, good in caller.good if moment > quiet_from]
        self.ledger.check(
            "recovered", late and sum(late) >= 0.9 * len(late),
            f"{sum(late)} of {len(late)} served after the last fault")
        for host in self.hosts:
            self.ledger.check("runs on", host.life.is_running(), host.name)
        for engine in self.engines.values():
            is_due = (engine.began_again_at is not None and self.clock()
                      - engine.began_again_at > REUSE_SECONDS)
            self.ledger.check(
                "used again", not is_due or engine.served_at is not None,
                f"{engine.name}, which started again under its id")

    def host_ended(self, host, life):
        """A host ends only when it was told to."""
        if self.is_over:
            return
        self.ledger.check(
            "ends only when told to", life.ended_as_told(),
            f"{host.name} ended with {life.process.returncode}, told "
            f"{sorted(life.told)}, seed {self.seed}: {host.last_lines()}")
        if not host.is_ending:
            task = asyncio.create_task(self._restart(host))
            self._restarts.add(task)
            task.add_done_callback(self._restarts.discard)

    async def _restart(self, host):
        await asyncio.sleep(RESTART_SECONDS)
        if not (self.is_over or host.is_ending or host.life.is_running()):
            await host.start()

    def publish(self, make):
        """A further version of the route table."""
        self.version += self.rng.randint(1, 3)
        self.store.put("keyed.op", "config",
                       table.encoded(make(self.version)))

    def list_engine(self, engine, state):
        engine.sequence += 1
        self.store.put("keyed.servers", engine.name,
                       json.dumps(entries.entry(engine, state)))

    async def add_relay(self, target):
        name = f"relay {len(self.relays)}"
        relay = await Relay(target, self.random(name)).start()
        self.relays.append(relay)
        return relay

    async def add_engine(self, name, relay=None):
        """An engine, at the port of `relay` or at a new one."""
        engine = Engine(name, self.ledger, self.clock,
                        self.random(f"engine {name}"))
        await engine.start()
        if relay is None:
            relay = await self.add_relay(engine.port)
        relay.target = engine.port
        engine.relay = relay
        self.engines[name] = engine
        self.list_engine(engine, "ready")
        return engine

    async def _stop(self):
        self.is_over = True
        for host in self.hosts:
            if host.life.is_running():
                host.send(signal.SIGCONT)
                await host.end(signal.SIGKILL)
            host.log.close()
