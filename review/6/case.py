"""A key is removed after a rolling restart and a short outage of the store."""

import asyncio
import os
import sys

folder = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(folder), "parts-2"))

import scene as deployment  # noqa: E402

APPLY_S = 2.0  # `config_apply_ms`
CONTACT_S = 3.0  # `contact_ms`
ROLL_AT = 12.0
ROLL_GAP_S = 1.0
OUTAGE_S = 1.5
OLD_KEY = deployment.KEY
NEW_KEY = "key-that-came-later"


def tenants(keys):
    return [{"name": "tenant-a", "api_keys": keys, "priority": 1}]


async def play(scene):
    routes = [
        deployment.route("r-a", "/names/", "non_idempotent", "register"),
    ]
    services = [deployment.plain_service("register")]
    zones = list(deployment.ZONES)
    await scene.publish(routes, services, tenants([OLD_KEY, NEW_KEY]))
    await scene.add_replicas("register", zones)
    await scene.start_entries(zones)
    await scene.wait_until_ready()
    await scene.at(10.0)
    end = 36.0
    for entry in scene.entries:
        scene.spawn(scene.send_steadily(entry, "POST", "/names/1", 20, end))
        scene.spawn(
            scene.send_steadily(
                entry, "POST", "/names/2", 20, end, key=NEW_KEY
            )
        )
    await scene.at(ROLL_AT)
    for entry in scene.entries:
        scene.spawn(scene.restart(entry))
        await asyncio.sleep(ROLL_GAP_S)
    await scene.wait_for_restarts()
    await asyncio.sleep(0.5)
    if scene.trouble:
        scene.store.go_down()
        scene.note("the store is down: it answers nothing")
    await asyncio.sleep(OUTAGE_S)
    if scene.trouble:
        scene.store.come_back()
        scene.note("the store is back")
    back = scene.now()
    await scene.at(back + CONTACT_S + 0.1)
    revoked = await scene.publish(routes, services, tenants([NEW_KEY]))
    scene.note(f"{OLD_KEY} is in no newer configuration", revoked)
    await scene.at(end + 1.5)
    scene.note_traffic()
    bound = revoked + APPLY_S
    ran = {a[1] for one in scene.replicas for a in one.arrivals}
    late = [
        a
        for a in scene.answers
        if a[1] == "/names/1" and a[3] > bound and a[2] in ran
    ]
    for entry, path, attempt, sent, status, _ in late:
        scene.note(
            f"STALE: {attempt} {path} sent to {entry} {sent - revoked:.3f} s"
            f" after the acknowledgement ran with the removed key",
            sent,
        )
    if len(scene.answers) < 1000:
        raise RuntimeError("too little traffic")
    scene.note(f"{len(late)} requests ran with the removed key")
    return deployment.BROKEN if late else deployment.HELD


deployment.run(folder, play)
