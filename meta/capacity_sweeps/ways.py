"""What the mechanisms that would reach the limits come to: arithmetic on the
measured slopes, for mechanisms that nobody has built yet."""
import dataclasses

from .predictions import BACKEND_SUBSET, LOAD_POLLS_A_SECOND
from .text import markdown, with_unit

HEADINGS = ("way", "bytes a node, mean", "worked out as")
LOAD_ENTRY_BYTES = 16      # server's index, running, waiting, memory, age
ASK_SECONDS = 4
RELAY_SECONDS = 8
LIST_READ_SECONDS = 10
DIGEST_SECONDS = 4
CLAIM_FOLLOWERS = 2
SMALL_CLAIM_BYTES = 96     # key 24, fingerprint 16, holder 16, the rest 40


@dataclasses.dataclass(frozen=True)
class Way:
    """A mechanism, its bytes a second on a node and where they come from."""

    name: str
    bytes_a_second: float | None
    how: str
    is_chosen: bool = False


def table(predictions):
    ways = _ways(predictions)
    chosen = [way.bytes_a_second for way in ways if way.is_chosen]
    rows = [("**" + way.name + "**" if way.is_chosen else way.name,
             with_unit(way.bytes_a_second, "B/s"), way.how) for way in ways]
    if None not in chosen:
        rows.append(("**sum of the ways in bold**",
                     with_unit(sum(chosen), "B/s"), "limit: 2,000 B/s"))
    return markdown(HEADINGS, rows)


def _ways(p):
    size = p.size
    full_poll = p.poll_bytes(1)
    poll = None if full_poll is None else full_poll / LOAD_POLLS_A_SECOND
    servers_a_zone = size.replicas / size.zones
    nodes_a_zone = size.nodes / size.zones
    claims_share = CLAIM_FOLLOWERS / size.nodes
    small_claims = 2 * SMALL_CLAIM_BYTES * p.claims_a_second
    return [
        Way("without a bound: every replica polled 4 times a second",
            p.poll_bytes(p.servers_polled), "slope x 690"),
        Way(f"today: at most {p.polls_a_second:.0f} polls a second in all",
            p.poll_bytes(p.polls_as_servers),
            f"bytes of a poll x {p.polls_a_second:.0f}"),
        Way("24 servers in all, 4 times a second",
            p.poll_bytes(BACKEND_SUBSET), "slope x 24"),
        Way(f"24 servers in all, every {ASK_SECONDS} s",
            _times(poll, BACKEND_SUBSET / ASK_SECONDS),
            f"bytes of a poll x 24 / {ASK_SECONDS}"),
        Way(f"each server asked every {ASK_SECONDS} s by one agent of its "
            "zone",
            _times(poll, servers_a_zone / nodes_a_zone / ASK_SECONDS),
            f"bytes of a poll x 115 servers / 68 agents / {ASK_SECONDS}",
            is_chosen=True),
        Way(f"and relayed in the zone every {RELAY_SECONDS} s, "
            f"{LOAD_ENTRY_BYTES} bytes a server",
            2 * servers_a_zone * LOAD_ENTRY_BYTES / RELAY_SECONDS,
            f"115 servers x {LOAD_ENTRY_BYTES} B, received once and sent on "
            f"once a node / {RELAY_SECONDS}; counted by hand",
            is_chosen=True),
        Way("load piggybacked on answers", 0.0,
            "a field in the heads and every n-th event that flow anyway: "
            "traffic, and needs engines that send it"),
        Way("today: every agent reads the host list", p.host_list_bytes(),
            "slope x 1,100"),
        Way(f"one reader a zone, every {LIST_READ_SECONDS} s, changes passed "
            "on",
            _times(p.host_list_bytes(),
                   size.zones / size.nodes / LIST_READ_SECONDS),
            f"slope x 1,100 x 6 / 410 / {LIST_READ_SECONDS}; the changes of "
            "70 hosts a day are next to nothing", is_chosen=True),
        Way("today: every agent reads every claim", p.claims_bytes(),
            "770 claims a second, and the ends of their runs"),
        Way("claims by key range, two followers a range",
            _times(p.claims_bytes(), claims_share), "x 2 / 410"),
        Way(f"the same with {SMALL_CLAIM_BYTES} bytes an entry, in binary",
            small_claims * claims_share, "counted by hand", is_chosen=True),
        Way("today: digests and heartbeats every second", p.resting_bytes(),
            "measured at 48 agents, and the long polls' requests"),
        Way(f"every {DIGEST_SECONDS} s while nothing changes",
            _times(p.resting_bytes(), 1 / DIGEST_SECONDS),
            f"/ {DIGEST_SECONDS}; the log's long poll brings changes at once",
            is_chosen=True),
    ]


def _times(value, factor):
    return None if value is None else value * factor
