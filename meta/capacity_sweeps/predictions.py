"""What the slopes come to at the size to work towards."""
import dataclasses
import statistics

from .agent_figures import AgentFigures
from .size import Size
from .sweep import saved_slopes

# Settings of today on which the figures depend.
BACKEND_SUBSET = 24
LOAD_POLLS_A_SECOND = 4          # of one server
LOAD_POLLS_LIMIT = 40            # of one proxy, `backend.polls_per_second`
CLAIM_SHARE = 0.1         # of requests; godwit-load's mix krajevnik
CLAIM_RETENTION_SECONDS = 3600
CLAIM_LEDGER_LIMIT = 200_000
CHECKPOINT_SECONDS = 6 * 3600
MICROSECONDS_IN_PERCENT = 1e4   # of one core, a second
BUDGET_SLOPES = (
    "agent_organisation_percent", "agent_host_percent", "change_percent",
    "change_proxy_percent", "agent_claims_percent", "claims_memory_bytes",
    "checkpoint_bytes", "proxy_organisation_percent", "proxy_server_percent")


@dataclasses.dataclass(frozen=True)
class Cost:
    """What one duty costs a node; None where it was not measured."""

    percent: float | None = None
    megabytes: float | None = None
    bytes_a_second: float | None = None


class Predictions:
    """Figures at `size`, each None when a slope it needs is not on file."""

    def __init__(self, size=Size()):
        self.size = size
        self.slopes = {name: found[0].line()
                       for name, found in saved_slopes().items()}
        self.agents = AgentFigures()

    @property
    def has_whole_budget(self):
        """Whether every slope behind a node's control budget is on file."""
        return all(name in self.slopes for name in BUDGET_SLOPES)

    def at(self, name, x):
        line = self.slopes.get(name)
        return None if line is None else line.at(x)

    def part(self, name, x):
        """The slope's part alone, without the intercept."""
        line = self.slopes.get(name)
        return None if line is None else line.slope * x

    def base(self, name):
        line = self.slopes.get(name)
        return None if line is None else line.intercept

    @property
    def servers_polled(self):
        """The bound of polled servers is for each service, and there are
        fewer replicas of a model than it allows: every one is polled."""
        return self.size.models * min(BACKEND_SUBSET,
                                      self.size.replicas_a_model)

    @property
    def claims_a_second(self):
        return CLAIM_SHARE * self.size.requests

    def poll_bytes(self, servers):
        sent = self.part("proxy_server_sent", servers)
        received = self.part("proxy_server_received", servers)
        return None if sent is None else sent + received

    @property
    def polls_a_second(self):
        """Of one proxy, all servers together."""
        return min(LOAD_POLLS_A_SECOND * self.servers_polled,
                   LOAD_POLLS_LIMIT)

    @property
    def polls_as_servers(self):
        """So many servers polled at the full rate cost as much."""
        return self.polls_a_second / LOAD_POLLS_A_SECOND

    @property
    def load_age_seconds(self):
        """Between two reports of one server."""
        return self.servers_polled / self.polls_a_second

    def host_list_bytes(self):
        return self.part("agent_host_received", self.size.hosts_listed)

    def changes(self, rate):
        """Bytes of following changes, all routes."""
        return total(self.part("change_sent", rate),
                     self.part("change_received", rate))

    def changes_percent(self, rate):
        """Agent and proxy together."""
        return total(self.part("change_percent", rate),
                     self.part("change_proxy_percent", rate))

    def largest(self, name):
        """Mean at the largest size of a sweep, for what levels off."""
        found = saved_slopes().get(name)
        if found is None:
            return None
        groups = found[0].by_size()
        return statistics.fmean(groups[max(groups)])

    def resting_bytes(self):
        """Digests and heartbeats both ways in the largest fleet measured,
        and the requests of long polls."""
        peers = self.agents.of_largest_fleet("sent_bytes_a_second_mean")
        return None if peers is None else total(
            2 * peers, self.base("agent_host_sent"))

    def checkpoint_bytes(self):
        written = self.at("checkpoint_bytes", self.size.organisations)
        return None if written is None else written / CHECKPOINT_SECONDS

    def claims_bytes(self):
        """Every agent reads the whole stream: each claim, and the end of
        its run, an entry of about the same size."""
        claims = self.part("agent_claims_received", self.claims_a_second)
        return None if claims is None else 2 * claims

    def claims_percent(self):
        claims = self.part("agent_claims_percent", self.claims_a_second)
        return None if claims is None else 2 * claims

    def claims_megabytes(self, remembered):
        each = self.part("claims_memory_bytes", remembered)
        return None if each is None else each / 1e6

    @property
    def claims_remembered(self):
        return self.claims_a_second * CLAIM_RETENTION_SECONDS

    def traffic_percent(self):
        """Requests and tokens of one proxy at the peak. Each request of the
        sweep carried four tokens, which are not counted twice."""
        token = self.part("proxy_token_percent", 1)
        request = self.part("proxy_request_percent", 1)
        if token is None or request is None:
            return None
        return (request * self.size.requests_a_node
                + token * (self.size.tokens_a_node
                           - 4 * self.size.requests_a_node))

    def control(self):
        """(duty, cost) rows of one node's control budget."""
        size = self.size
        at_rate = self.polls_as_servers
        return [
            ("agent: idle with the catalogue",
             Cost(self.at("agent_organisation_percent", size.organisations),
                  self.at("agent_organisation_mb", size.organisations),
                  self.resting_bytes())),
            ("agent: host list, 1,100 entries every second",
             Cost(self.part("agent_host_percent", size.hosts_listed),
                  self.part("agent_host_mb", size.hosts_listed),
                  self.host_list_bytes())),
            ("agent and proxy: changes, mean of a day",
             Cost(self.changes_percent(size.mean_changes_a_second),
                  None, self.changes(size.mean_changes_a_second))),
            ("agent: checkpoints, four a day",
             Cost(None, None, self.checkpoint_bytes())),
            ("agent: claims, every record read (10% of requests)",
             Cost(self.claims_percent(),
                  self.claims_megabytes(CLAIM_LEDGER_LIMIT),
                  self.claims_bytes())),
            ("proxy: idle with the catalogue",
             Cost(self.at("proxy_organisation_percent", size.organisations),
                  self.at("proxy_organisation_mb", size.organisations),
                  0.0)),
            (f"proxy: load of {self.servers_polled:.0f} servers, "
             f"{self.polls_a_second:.0f} polls a second in all",
             Cost(self.part("proxy_server_percent", at_rate),
                  self.part("proxy_server_mb", self.servers_polled),
                  self.poll_bytes(at_rate))),
        ]


def total(*values):
    """Sum of what is known; None when nothing is."""
    known = [value for value in values if value is not None]
    return sum(known) if known else None
