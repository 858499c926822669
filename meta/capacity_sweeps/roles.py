"""The table of roles and duties at the size."""
from .predictions import (CLAIM_LEDGER_LIMIT, CLAIM_RETENTION_SECONDS,
                          MICROSECONDS_IN_PERCENT)
from .text import markdown, shown, with_unit

HEADINGS = ("role or duty", "state", "messages", "processor", "memory",
            "carried by", "kind")
WORKED_OUT = "from slopes"
NOT_MEASURED = "not measured"


def table(predictions):
    return markdown(HEADINGS, [row(predictions) for row in ROWS])


def proxy_traffic(p):
    streams = p.size.streams_a_node
    seal = p.part("resume_token_us", p.size.tokens_a_node)
    seal_percent = None if seal is None else seal / MICROSECONDS_IN_PERCENT
    return (
        "proxy: requests and streams",
        f"{streams:.0f} streams in flight, a queue a service (512), 65,536 "
        "decisions for `/explain`",
        f"{p.size.requests_a_node:.1f} requests and "
        f"{p.size.tokens_a_node:,.0f} tokens a second, each token one event "
        "in and one out",
        f"{with_unit(p.traffic_percent(), '% of a core')}; of it "
        f"{with_unit(seal_percent, '%')} seals resume tokens",
        f"{with_unit(p.part('proxy_stream_mb', streams), 'MB')} for streams",
        "two traffic threads, bounded buffers, resume token in place of a "
        "session table", WORKED_OUT)


def proxy_dispatch(p):
    request = p.at("dispatch_request_us", p.size.replicas_a_model)
    report = p.at("dispatch_token_report_us", p.size.tokens_a_node / 50)
    if request is None or report is None:
        percent = None
    else:
        percent = (request * p.size.requests_a_node + report * 50) \
            / MICROSECONDS_IN_PERCENT
    return (
        "proxy: dispatch",
        "queues, one load a server of the subset, lengths by service and "
        "class; only organisations with requests",
        "no messages of its own; 50 reports of tokens a second",
        f"{with_unit(percent, '% of a core')} (within the line above)",
        "not measured apart", "own accounting advanced from lagging reports",
        WORKED_OUT)


def proxy_polling(p):
    servers = p.servers_polled
    asked = p.size.nodes * p.polls_a_second / p.size.replicas
    return (
        "proxy: load of servers",
        f"{servers:.0f} reports: the subset of 24 is for a service, and each "
        f"of 30 models has {p.size.replicas_a_model:.0f} replicas",
        f"{p.polls_a_second:.0f} `GET /load` a second, so a server's load is "
        f"up to {p.load_age_seconds:.0f} s old; each engine answers "
        f"{asked:.0f} a second; "
        f"{with_unit(p.poll_bytes(p.polls_as_servers), 'B/s')}",
        with_unit(p.part("proxy_server_percent", p.polls_as_servers),
                  "% of a core"),
        with_unit(p.part("proxy_server_mb", servers), "MB"),
        "subset by rendezvous, jittered polls, a bound of polls: **does not "
        "reach**", "from slopes, 4 to 64 servers")


def proxy_membership(p):
    return (
        "proxy: membership",
        f"{p.size.replicas} servers of the host list",
        "load reports and sightings; 10 ticks a second",
        _membership_cost(p), "not measured apart",
        "host list corrected by what is seen", WORKED_OUT)


def _membership_cost(p):
    tick = p.at("membership_tick_us", p.size.replicas)
    report = p.at("membership_report_us", p.size.replicas)
    if tick is None or report is None:
        return NOT_MEASURED
    percent = (10 * tick + p.polls_a_second * report) \
        / MICROSECONDS_IN_PERCENT
    return f"{shown(percent)} % of a core"


def log_follower(p):
    mean = p.changes(p.size.mean_changes_a_second)
    burst = p.part("change_percent", p.size.burst_changes_a_second)
    fold = p.at("fold_us", p.size.organisations)
    return (
        "agent: log follower and catalogue",
        f"{p.size.organisations:,} organisations, 30 models: "
        f"{with_unit(_mega(p.at('state_bytes', p.size.organisations)), 'MB')}",
        f"one long poll; {with_unit(mean, 'B/s')} for the mean day, "
        f"{with_unit(p.changes(p.size.burst_changes_a_second), 'B/s')} in a "
        "burst of a day's changes in a minute",
        f"fold {with_unit(fold, 'us')}; {with_unit(burst, '% of a core')} in "
        "the burst",
        with_unit(p.at("agent_organisation_mb", p.size.organisations),
                  "MB resident, whole agent"),
        "the same pure fold everywhere; long polls", WORKED_OUT)


def _mega(value):
    return None if value is None else value / 1e6


def host_list(p):
    return (
        "agent: host list reader", f"{p.size.hosts_listed:,} entries",
        f"the whole list every second: {with_unit(p.host_list_bytes(), 'B/s')}",
        with_unit(p.part("agent_host_percent", p.size.hosts_listed),
                  "% of a core"),
        with_unit(p.part("agent_host_mb", p.size.hosts_listed), "MB"),
        "whole list each time: **does not reach**", WORKED_OUT)


def peer_exchange(p):
    sent, most = (p.agents.of_largest_fleet(f"sent_bytes_a_second_{which}")
                  for which in ("mean", "most"))
    return (
        "agent: peer exchange", "4 neighbours chosen, a window of records",
        f"a digest a second to each neighbour, whatever the number of nodes: "
        f"{with_unit(sent, 'B/s')} sent at 48 agents (at most "
        f"{with_unit(most, 'B/s')}, by one that many chose), level from 6 "
        "on, and as much received (`meta/measure-agents`)",
        f"{with_unit(p.agents.of_largest_fleet('core_percent_mean'), '%')} "
        "of a core at 48 agents, whole agent",
        f"{with_unit(p.agents.of_largest_fleet('resident_mb_mean'), 'MB')} "
        "at 48 agents, whole agent",
        "fixed number of neighbours, digest of constant size",
        "measured at 48 agents; that it stays level at 410 is the design, "
        "not measured")


def claims(p):
    return (
        "agent: claims",
        f"{p.claims_a_second:,.0f} claims a second (10% of requests, our "
        f"assumption) x {CLAIM_RETENTION_SECONDS} s retention = "
        f"{p.claims_remembered:,.0f} keys; the ledger takes "
        f"{CLAIM_LEDGER_LIMIT:,}",
        f"every agent reads every record: "
        f"{with_unit(p.claims_bytes(), 'B/s')}; a zone's writer takes in and "
        f"appends {2 * p.claims_a_second / p.size.zones:.0f} entries a "
        "second besides",
        with_unit(p.claims_percent(), "% of a core to fold"),
        f"{with_unit(p.claims_megabytes(p.claims_remembered), 'MB')}, at its "
        f"bound {with_unit(p.claims_megabytes(CLAIM_LEDGER_LIMIT), 'MB')}",
        "one batch writer a zone; one ledger on every host: **does not "
        "reach**", "from slopes; the share of claims is assumed")


def checkpoints(p):
    size = p.size.organisations
    write = p.at("checkpoint_write_us", size)
    return (
        "agent: checkpoints",
        f"{with_unit(_mega(p.at('checkpoint_bytes', size)), 'MB')} in "
        f"{with_unit(p.at('checkpoint_records', size), 'records')}",
        f"written once in 6 h by one agent, read by all: mean "
        f"{with_unit(p.checkpoint_bytes(), 'B/s')}",
        f"{with_unit(None if write is None else write / 1000, 'ms')} to "
        "write", "held while written",
        "rank by rank with a delay, never by election", WORKED_OUT)


def proxy_feed(p):
    burst = p.part("change_proxy_percent", p.size.burst_changes_a_second)
    return (
        "agent: feed to the proxy", "one proxy, the position it has in force",
        "snapshot at its start, then each change and server; loopback, so "
        "not on the network",
        f"proxy's side of the burst: "
        f"{with_unit(burst, '% of a core')}",
        "bounded queue of the link; not measured apart",
        "change by change over the host's own link",
        "CPU from slopes; bytes not measured")


def orders(p):
    leases = p.size.models
    return (
        "agent: orders",
        f"{leases} pools, a lease each; {p.size.replicas} engines' states at "
        "their holders: 23 a holder",
        f"`GET /orders` of 23 engines every 5 s at a holder: 4.6 a second; "
        f"at most {leases * 3 / 15:.0f} lease records a second if each holder "
        "renews three times in 15 s",
        "not measured apart; the idle agent's figure has two engines of one "
        "pool in it", NOT_MEASURED,
        "one holder a pool by rendezvous, fenced by the lease's offset",
        "messages counted by hand")


ROWS = (proxy_traffic, proxy_dispatch, proxy_polling, proxy_membership,
        log_follower, host_list, peer_exchange, claims, checkpoints,
        proxy_feed, orders)
