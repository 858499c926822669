"""What the mechanisms that would reach the limits come to: arithmetic on the
measured slopes, for mechanisms that nobody has built yet."""
from .predictions import BACKEND_SUBSET, LOAD_POLLS_A_SECOND
from .text import markdown, with_unit

HEADINGS = ("way", "bytes a node", "worked out as")
LOAD_ENTRY_BYTES = 16      # address index, running, waiting, memory, age
RELAY_SECONDS = 4
LIST_READ_SECONDS = 5
CLAIM_FOLLOWERS = 2
SMALL_CLAIM_BYTES = 96     # key 24, fingerprint 16, holder 16, attempt 16...


def table(predictions):
    return markdown(HEADINGS, [(name, with_unit(value, "B/s"), how)
                               for name, value, how in _rows(predictions)])


def _rows(p):
    size = p.size
    poll = p.poll_bytes(1)
    poll = None if poll is None else poll / LOAD_POLLS_A_SECOND
    servers_a_zone = size.replicas / size.zones
    nodes_a_zone = size.nodes / size.zones
    relayed = 2 * servers_a_zone * LOAD_ENTRY_BYTES / RELAY_SECONDS
    list_read = p.host_list_bytes()
    claims = p.claims_bytes()
    share = CLAIM_FOLLOWERS / size.nodes
    small = 2 * SMALL_CLAIM_BYTES * p.claims_a_second
    return [
        ("without a bound: every replica polled 4 times a second",
         p.poll_bytes(p.servers_polled), "slope x 690"),
        (f"today: at most {p.polls_a_second:.0f} polls a second in all",
         p.poll_bytes(p.polls_as_servers),
         f"bytes of a poll x {p.polls_a_second:.0f}"),
        ("24 servers in all, 4 times a second",
         p.poll_bytes(BACKEND_SUBSET), "slope x 24"),
        (f"24 servers in all, every {RELAY_SECONDS} s",
         _times(poll, BACKEND_SUBSET / RELAY_SECONDS),
         "bytes of a poll x 24 / 4"),
        ("load relayed in the zone: each server asked once a second by one "
         "agent",
         _times(poll, servers_a_zone / nodes_a_zone),
         "bytes of a poll x 115 servers / 68 agents"),
        (f"and passed on every {RELAY_SECONDS} s as {LOAD_ENTRY_BYTES} bytes "
         "a server", relayed,
         "115 servers x 16 B, received once and sent on once a node / 4 s; "
         "counted by hand"),
        ("load piggybacked on answers", 0.0,
         "a field in the heads and every n-th event that flow anyway; it is "
         "traffic, and needs engines that send it"),
        ("today: every agent reads the host list", list_read,
         "slope x 1,100"),
        (f"one reader a zone, every {LIST_READ_SECONDS} s, changes passed on",
         _times(list_read, size.zones / size.nodes / LIST_READ_SECONDS),
         "slope x 1,100 x 6 / 410 / 5; 70 hosts a day change, so passing on "
         "costs next to nothing"),
        ("today: every agent reads every claim", claims,
         "770 claims a second, two records' entries each"),
        ("claims by key range, two followers a range",
         _times(claims, share), "x 2 / 410"),
        (f"the same with {SMALL_CLAIM_BYTES} bytes an entry, in binary",
         small * share, "counted by hand"),
    ]


def _times(value, factor):
    return None if value is None else value * factor
