"""Machines are added, and a replica leaves soon after."""

import asyncio
import os
import sys
import time

folder = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(folder), "parts-2"))

import scene as deployment  # noqa: E402

DRAIN_S = 2.0  # `drain_ms`
CONTACT_S = 3.0  # `contact_ms`
EXIT_S = 6.0  # When the replica exits: `drain_ms` and some seconds.
START_GAP_S = 0.15  # "All machines start within 0.3 s of each other".
MEASURING_S = 0.02
REGION = "dar-es-salaam"
# The machines of the site, and those that may be added.
MACHINES = ["kariakoo"] * 4 + ["msasani"] * 3 + ["ubungo"] * 2
SPARE = ["kariakoo", "msasani", "ubungo"]


async def play(scene):
    scene.zones = dict.fromkeys(SPARE, REGION)
    routes = [
        deployment.route("r-a", "/pledges/", "non_idempotent", "members"),
    ]
    await scene.publish(routes, [deployment.plain_service("members")])
    replicas = await scene.add_replicas("members", SPARE)
    await scene.start_entries(MACHINES)
    if not scene.trouble:
        await scene.start_entries(SPARE)
    await scene.wait_until_ready()
    end = 28.0

    async def send(entry):
        """Clients come to a host once it is ready."""
        while not await entry.is_ready():
            await asyncio.sleep(0.05)
        scene.note(f"{entry.name} is ready")
        await scene.send_steadily(entry, "POST", "/pledges/1", 20, end)

    await scene.at(10.0)
    for entry in scene.entries:
        scene.spawn(send(entry))
    await scene.at(12.0)
    if scene.trouble:
        for zone in SPARE:
            await scene.start_entries([zone])
            await asyncio.sleep(START_GAP_S)
        for entry in scene.entries[len(MACHINES) :]:
            scene.spawn(send(entry))
    added = time.monotonic()
    await scene.at(15.5)
    leaving = replicas[0]
    leaving.state = "draining"
    acked = await leaving.register()
    scene.note(f"{leaving.id} is draining, acknowledged", acked)
    await asyncio.sleep(EXIT_S)
    leaving.close()
    scene.note(f"{leaving.id} exits")
    await scene.at(end + 1.5)
    scene.note_traffic()
    sent = {a[2]: (a[0], a[3]) for a in scene.answers}
    new = {entry.name for entry in scene.entries[len(MACHINES) :]}
    late = []
    for arrived, attempt, _, target, _ in leaving.arrivals:
        by, sent_at = sent.get(attempt, ("?", 0.0))
        in_touch = by not in new or sent_at > added + CONTACT_S
        if arrived > acked + DRAIN_S + MEASURING_S and in_touch:
            late.append(attempt)
            scene.note(
                f"LATE: {attempt} {target} reached {leaving.id} from {by}"
                f" {arrived - acked:.3f} s after the acknowledgement",
                arrived,
            )
    if len(leaving.arrivals) < 100:
        raise RuntimeError("too little traffic")
    scene.note(f"{len(late)} requests came later than {DRAIN_S} s")
    return deployment.BROKEN if late else deployment.HELD


deployment.run(folder, play)
