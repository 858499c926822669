"""The host that reads the list of replicas is restarted as a replica leaves."""

import asyncio
import os
import signal
import sys

folder = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(folder), "parts-2"))

import scene as deployment  # noqa: E402

DRAIN_S = 2.0  # `drain_ms`
STOP_S = 3.0  # How long a host needs to stop that has no long requests.
DOWN_S = 3.5  # How long it stays down.
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
    await scene.wait_until_ready()
    await scene.at(10.0)
    await scene.start_entries(SPARE)
    await scene.wait_until_ready()
    end = 38.0
    for entry in scene.entries:
        scene.spawn(scene.send_steadily(entry, "POST", "/pledges/1", 15, end))
    await scene.at(22.0)
    reader = scene.entries[0]
    if scene.trouble:
        reader.signal(signal.SIGTERM)
        scene.note(f"SIGTERM to {reader.name}")
        await asyncio.wait_for(reader.process.wait(), 8.0)
        scene.note(f"{reader.name} has stopped")
    else:
        await asyncio.sleep(STOP_S)
    leaving = replicas[0]
    removed = await leaving.unregister()
    scene.note(f"the entry of {leaving.id} is removed, acknowledged", removed)
    await asyncio.sleep(DOWN_S)
    if scene.trouble:
        await reader.start()
        scene.note(f"{reader.name} is started again")
    await scene.at(end + 1.5)
    scene.note_traffic()
    sent_by = {a[2]: a[0] for a in scene.answers}
    bound = removed + DRAIN_S + MEASURING_S
    late = [a for a in leaving.arrivals if a[0] > bound]
    for arrived, attempt, _, target, _ in late:
        scene.note(
            f"LATE: {attempt} {target} reached {leaving.id} from"
            f" {sent_by.get(attempt)} {arrived - removed:.3f} s after the"
            f" acknowledgement",
            arrived,
        )
    if len(leaving.arrivals) < 100:
        raise RuntimeError("too little traffic")
    scene.note(f"{len(late)} requests came later than {DRAIN_S} s")
    return deployment.BROKEN if late else deployment.HELD


deployment.run(folder, play)
