"""The size to work towards and what it asks of one node."""
import dataclasses

KILO = 1000.0


@dataclasses.dataclass(frozen=True)
class Size:
    """The size on the developers' page, and the limits of a node."""

    nodes: int = 410
    replicas: int = 690
    accelerators: int = 5500
    requests: float = 7700.0
    tokens: float = 2.3e6
    first_token_seconds: float = 0.44
    token_gap_seconds: float = 0.064
    organisations: int = 3100
    models: int = 30
    zones: int = 6
    regions: int = 2
    changes_a_day: int = 770
    in_force_seconds: float = 4.0
    core_percent: float = 2.1
    memory_mb: float = 128.0
    bytes_a_second: float = 2000.0
    hosts_failed_a_day: int = 8
    hosts_replaced_a_day: int = 62

    @property
    def requests_a_node(self):
        return self.requests / self.nodes

    @property
    def tokens_a_node(self):
        return self.tokens / self.nodes

    @property
    def tokens_a_request(self):
        return self.tokens / self.requests

    @property
    def stream_seconds(self):
        """An upper estimate: every stream as slow as the 95th of 100."""
        return (self.first_token_seconds
                + self.tokens_a_request * self.token_gap_seconds)

    @property
    def streams(self):
        return self.requests * self.stream_seconds

    @property
    def streams_a_node(self):
        return self.streams / self.nodes

    @property
    def hosts_listed(self):
        return self.nodes + self.replicas

    @property
    def replicas_a_model(self):
        return self.replicas / self.models

    @property
    def hosts_changed_a_day(self):
        return self.hosts_failed_a_day + self.hosts_replaced_a_day

    @property
    def mean_changes_a_second(self):
        return self.changes_a_day / 86400

    @property
    def burst_changes_a_second(self):
        """A day's changes within one minute, as after a freeze."""
        return self.changes_a_day / 60

    def demands(self):
        """Name, value and how it follows from the size."""
        return [
            ("requests a second, a proxy", f"{self.requests_a_node:.1f}",
             "7,700 / 410"),
            ("tokens a second, a proxy", f"{self.tokens_a_node:,.0f}",
             "2.3 million / 410"),
            ("tokens a request", f"{self.tokens_a_request:.0f}",
             "2.3 million / 7,700"),
            ("time of a mean stream, at most", f"{self.stream_seconds:.1f} s",
             "0.44 s + tokens a request x 64 ms; the 95th of 100 taken for "
             "all, so an upper estimate"),
            ("streams in flight, at most", f"{self.streams:,.0f}",
             "requests a second x time of a stream"),
            ("streams in flight, a proxy", f"{self.streams_a_node:.0f}",
             "/ 410"),
            ("streams in flight, a replica",
             f"{self.streams / self.replicas:.0f}", "/ 690"),
            ("replicas a model", f"{self.replicas_a_model:.0f}", "690 / 30"),
            ("accelerators a replica",
             f"{self.accelerators / self.replicas:.1f}", "5,500 / 690"),
            ("tokens a second, a replica",
             f"{self.tokens / self.replicas:,.0f}", "2.3 million / 690"),
            ("nodes an availability zone", f"{self.nodes / self.zones:.0f}",
             "410 / 6"),
            ("entries of the host list", f"{self.hosts_listed:,}",
             "410 + 690"),
            ("catalogue changes a second, mean",
             f"{self.mean_changes_a_second:.4f}", "770 / 86,400 s"),
            ("catalogue changes a second, burst",
             f"{self.burst_changes_a_second:.1f}",
             "770 in one minute: the worst case that we plan for"),
            ("hosts that come or go, an hour",
             f"{self.hosts_changed_a_day / 24:.1f}",
             "(8 + 62) / 24"),
        ]
