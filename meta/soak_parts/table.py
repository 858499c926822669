"""Versions of the operator's route table."""

_KINDS = {"plain": "non_idempotent", "again": "idempotent",
          "stream": "streaming"}


def route(name, prefix, kind):
    """A route of the one host that callers know."""
    return {"name": name, "host": "soak.example", "path_prefix": prefix,
            "kind": kind, "timeout_ms": 9000, "target_latency_ms": 1000,
            "max_attempts": 2 if kind == "idempotent" else 1,
            "priority": 1, "service": "lm", "gap_aim_ms": 180}


# Each so many versions one is as large as a table that has grown for years.
_LARGE_EACH = 3
_LARGE_ROUTES = 1500


def first(version):
    """The table of a quiet fleet."""
    return {
        "version": version,
        "routes": [route(name, f"/{name}/", kind)
                   for name, kind in _KINDS.items()],
        "services": [{"name": "lm", "engine": {
            "slots": 24, "kv_cache_tokens": 30000, "moves": True}}],
        "tenants": [{"name": "north", "api_keys": ["k1"]}]}


def changed(version, rng):
    """One that serves the same callers, and differs in the rest."""
    table = first(version)
    for number in range(rng.randint(0, 20)):
        kind = rng.choice(sorted(_KINDS.values()))
        table["routes"].append(
            route(f"more{number}", f"/more{number}/", kind))
    rng.shuffle(table["routes"])
    for each in table["routes"]:
        each["priority"] = rng.randint(0, 3)
    if version % _LARGE_EACH == 0:
        table["routes"] += [route(f"large{number}", f"/large{number}/",
                                   "idempotent")
                            for number in range(_LARGE_ROUTES)]
    keys = [f"k{rng.randint(2, 99)}" for _ in range(rng.randint(0, 5))]
    table["tenants"].append({"name": "south", "api_keys": keys})
    table["limits"] = {
        "max_header_bytes": rng.choice((4096, 16384, 65536)),
        "max_body_bytes": rng.choice((65536, 1 << 20)),
        "header_timeout_ms": rng.choice((2000, 10000)),
        "idle_timeout_ms": rng.choice((30000, 60000))}
    return table
