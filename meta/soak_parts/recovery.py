"""Checks that what failed or started again is used again."""

import asyncio

from soak_parts.streams import prompt_parts, request_stream

# Hosts must be ready this long after their start, without the time in which
# they are paused or their store is out of reach.
READY_SECONDS = 5.0
STEP_SECONDS = 0.1
# An engine that started again this long before the end has been used.
REUSE_SECONDS = 6.0
SERVED_SHARE = 0.9
STREAMS_AT_ONCE = 24


async def check_ready(world, host, life):
    """Checks that a host that started is ready in time."""
    free = 0.0
    is_ready = False
    while free < READY_SECONDS and not is_ready:
        if life.was_told() or not life.is_running():
            return
        was_free = _has_store(world, host)
        began = world.clock() - host.paused_seconds()
        is_ready = await host.is_ready()
        await asyncio.sleep(STEP_SECONDS)
        if was_free and _has_store(world, host):
            free += world.clock() - host.paused_seconds() - began
    world.ledger.check("ready again", is_ready,
                       f"{host.name}: {host.last_lines()}")


def _has_store(world, host):
    return host.store.mode == "pass" and not world.store.fault


def check_served(world, callers, quiet_from):
    """Checks that callers are served after the last fault, at each host."""
    late = [(caller.host.name, good) for caller in callers
            for moment, good in caller.good if moment > quiet_from]
    served = [name for name, good in late if good]
    world.ledger.check(
        "recovered", late and len(served) >= SERVED_SHARE * len(late),
        f"{len(served)} of {len(late)} served after the last fault")
    for name in sorted({caller.host.name for caller in callers}):
        world.ledger.check("serves again", name in served, name)


async def use_engines(world):
    """Sends each host more streams than some engines take. With fewer, a host
    uses those that it prefers among equal ones."""
    await asyncio.gather(*(
        request_stream(world, attempt, host, b"", prompt_parts(attempt))
        for host in world.hosts
        for attempt in (f"s{world.seed}{host.name}u-{number}"
                        for number in range(STREAMS_AT_ONCE))))


def check_engines(world):
    """Checks that engines that started again under their id are used."""
    for engine in world.engines.values():
        began = engine.began_again_at
        if began is not None and world.clock() - began > REUSE_SECONDS:
            world.ledger.check(
                "used again", engine.served_at is not None,
                f"{engine.name}, which started again under its id")
