"""The table of limits: predicted, mechanism, what breaks first."""
from .text import markdown, shown, with_unit

HEADINGS = ("limit", "predicted at the size", "the mechanism that carries it",
            "breaks first", "reaches")


def table(predictions):
    return markdown(HEADINGS, [row(predictions) for row in ROWS])


def _sum(predictions, field):
    values = [getattr(cost, field) for _, cost in predictions.control()]
    return sum(value or 0.0 for value in values)


def _verdict(predictions, value, bound):
    """No is certain as soon as a part alone is above the bound."""
    if value > bound:
        return "**no**"
    return "yes" if predictions.has_whole_budget else "not all measured"


def processor(p):
    value = _sum(p, "percent")
    burst = p.changes_percent(p.size.burst_changes_a_second)
    without = value - (p.claims_percent() or 0.0)
    return ("2.1% of a core for control", f"{shown(value)}%; "
            f"{shown(without)}% without the claims of others; "
            f"{with_unit(burst, '%')} more in a burst of changes",
            "no all-to-all, no work for idle organisations; constant digests, "
            "load polls bounded in all",
            "reading and folding every claim on every node "
            f"({with_unit(p.claims_percent(), '%')}); in a burst the proxy, "
            "which works out its whole policy anew for each change",
            _verdict(p, value, p.size.core_percent))


def memory(p):
    value = _sum(p, "megabytes")
    streams = p.part("proxy_stream_mb", p.size.streams_a_node)
    return ("128 MB for control", f"{shown(value)} MB, agent and idle proxy; "
            f"streams take "
            f"{with_unit(streams, 'MB')} beside it",
            "one shared catalogue a process, bounded rings and tables",
            "the ledger of claims: the sum has it at its bound of 200,000 "
            "keys, beyond which claims are refused; an hour of 10% of all "
            f"requests is {p.claims_remembered / 1e6:.1f} million keys, "
            f"{with_unit(p.claims_megabytes(p.claims_remembered), 'MB')}",
            _verdict(p, value, p.size.memory_mb) + " for memory, **no** for "
            "the claims that it has to refuse")


def traffic(p):
    value = _sum(p, "bytes_a_second")
    return ("2 KB/s for control", f"{shown(value)} B/s: load polls "
            f"{with_unit(p.poll_bytes(p.polls_as_servers), 'B/s')}, claims "
            f"{with_unit(p.claims_bytes(), 'B/s')}, host list "
            f"{with_unit(p.host_list_bytes(), 'B/s')}, the rest "
            f"{with_unit(p.resting_bytes(), 'B/s')}; in a burst of changes "
            f"{with_unit(p.changes(p.size.burst_changes_a_second), 'B/s')} "
            "more",
            "digests of constant size to 4 neighbours carry only the rest",
            "each of the three alone: claims, then the host list, then load "
            f"polls (one server polled 4 times a second takes "
            f"{with_unit(p.poll_bytes(1), 'B/s')})",
            _verdict(p, value, p.size.bytes_a_second))


def appends(p):
    level = p.largest("appends_zone")
    entries = None if level is None else 2 * p.claims_a_second / level
    return ("several hundred appends a second (300 taken here)",
            f"claims level off at {with_unit(level, 'a second')} (table of "
            f"appends), so {with_unit(entries, 'entries')} a record at "
            f"{p.claims_a_second:.0f} claims a second. Changes "
            f"{shown(p.size.mean_changes_a_second)} a second, checkpoints "
            "and leases a few",
            "claims gathered by one writer a zone and key range; half of the "
            "log's rate kept for others",
            "not the rate but the writer of a zone: it takes in and appends "
            f"{2 * p.claims_a_second / p.size.zones:.0f} entries a second",
            "the rate yes, in virtual time with 6 hosts; with 410 hosts not "
            "measured")


def in_force(p):
    single, burst, cut = (with_unit(p.agents.worst_ms(case), "ms")
                          for case in ("one_by_one", "burst_770_in_60_s",
                                       "one_zone_on_peers_one_by_one"))
    return ("4 s in force everywhere",
            f"{with_unit(p.at('fleet_in_force_ms', p.size.nodes), 'ms')} at "
            "410 agents (line through 2 to 48, longest of all agents); "
            f"measured on 6 agents: {single} at most one by one, {burst} at "
            f"most in a burst of 770 in 60 s, {cut} at most in a zone that "
            "has only its peers "
            "(`meta/measure-agents`)",
            "every agent's long poll at the log; peers by digest a second "
            "apart where the log does not answer",
            "the platform: 410 long polls answered for each change; a zone "
            "cut off learns by hops of a digest each, as far as a link is "
            "left at all",
            "yes on one machine, without network delay")


def first_token(p):
    rate = p.size.requests_a_node
    return ("0.44 s to the first token, 95 in 100",
            f"the proxy adds "
            f"{with_unit(p.at('proxy_first_ms', rate), 'ms')} (median "
            f"{with_unit(p.at('proxy_first_median_ms', rate), 'ms')}) when "
            "nothing is queued",
            "direct connection, one dispatch decision, no hop to another "
            "entry host",
            "queueing for engines, which depends on them and is not on this "
            "page (`godwit-bench` measures it), and loads that are 17 s old",
            "the proxy's part yes; the whole not measured")


def token_gap(p):
    return ("64 ms between tokens, 95 in 100",
            f"the proxy adds "
            f"{with_unit(p.at('proxy_gap_ms', p.size.requests_a_node), 'ms')}"
            f"; its processor {with_unit(p.traffic_percent(), '% of a core')}",
            "each token forwarded as it comes, two traffic threads",
            "processor time a token: two cores' worth of traffic threads "
            f"hold {_tokens_of_two_cores(p)} tokens a second",
            "the proxy's part yes; the whole not measured")


def _tokens_of_two_cores(p):
    each = p.part("proxy_token_percent", 1)
    return "not measured" if each is None else f"{200 / each:,.0f}"


ROWS = (processor, memory, traffic, appends, in_force, first_token, token_gap)
