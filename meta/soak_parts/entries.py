"""Entries of servers: an engine's own, and those of another writer."""

import json

_UNREADABLE = (b"", b"{", b"[]", b"null", b"7", b'"text"', b"\xff\xfe{\x00",
               b"\xef\xbb\xbf{}", b"{}x", b"\0" * 40, b"[" * 5000,
               b'{"a":' * 500, b'{"slots":1e999}', b'{"state":"\xc3"}',
               b'{"state":"\\ud800"}')
_OTHER_VALUES = (None, True, 0, -1, 1.5, 1e300, "", "x", "1", [], {},
                 ["ready"], {"state": "ready"})
_FIELDS = ("service", "address", "zone", "slots", "state", "sequence", "born")
_STATES = ("", "x", "1", "resting", "READY", "ready ")
_SERVICES = ("", "x", "1", "other", "LM", "lm ")
_ADDRESSES = ("", "x", "1", "localhost:80", "127.0.0.1", "127.0.0.1:", 
              "127.0.0.1:0", "127.0.0.1:99999", "127.0.0.1:-1", ":80",
              "999.1.1.1:80", "[::1", "\0", "a" * 70_000)


def entry(engine, state):
    """What an engine says of itself."""
    return {"service": "lm", "address": f"127.0.0.1:{engine.relay.port}",
            "zone": "east", "version": "1", "slots": 24, "state": state,
            "warmup_left_ms": 0, "sequence": engine.sequence,
            "born": engine.born}


def unreadable(rng):
    """Bytes that are no JSON object with the fields of a server."""
    if rng.random() < 0.3:
        return rng.randbytes(rng.randint(1, 300))
    return rng.choice(_UNREADABLE)


def of_another_writer(rng, good):
    """An entry that names no replica, made from a good one."""
    name = rng.choice(_FIELDS)
    retyped = [value for value in _OTHER_VALUES
               if value == -1 or type(value) is not type(good[name])]
    changes = ({"state": rng.choice(_STATES)},
               {"service": rng.choice(_SERVICES)},
               {"address": rng.choice(_ADDRESSES)},
               {name: rng.choice(retyped)}, {name: rng.choice(retyped)})
    which = rng.randrange(-2, len(changes))
    if which == -2:
        return unreadable(rng) or b"{"
    changed = {**good, **changes[which]}
    if which == -1:
        del changed[name]
    return json.dumps(changed).encode()
