"""Streams as the log lines of entry hosts tell of them."""
import dataclasses
import datetime
import re

PAIR = re.compile(r'(\w+)=("[^"]*"|\S+)')
ENDS = ("stream_completed", "cut", "caller_left", "refused")


@dataclasses.dataclass
class Stream:
    """One request, from the first line that names it to its end."""
    request: str
    route: str = ""
    arrived: float = 0.0      # Seconds since the first line of the logs.
    zone: str = ""
    server_zone: str = ""
    moves: int = 0
    waited_ms: int = 0
    events: int = 0
    end: str = "running"      # Or one of ENDS.
    cause: str = ""
    late_first: bool = False
    longest_pause_ms: int = 0
    paused: bool = False

    def reason(self):
        """Why it was not whole and in time; empty if it was."""
        if self.end == "cut":
            return "cut"
        if self.end == "caller_left":
            return "caller left" if self.events else "left waiting"
        if self.end == "refused":
            return f"refused {self.cause}"
        if self.end == "running":
            return "no end"
        if self.late_first:
            return "late, waited" if self.waited_ms > 500 else "late, reading"
        return "paused" if self.paused else ""


def read_pairs(line):
    """The key=value pairs of a line; empty for lines of another kind."""
    at = line.find("time=")
    if at < 0:
        return {}
    return {key: value.strip('"') for key, value in PAIR.findall(line[at:])}


def seconds_of(stamp):
    """The time of a line in seconds; None if it cannot be read."""
    try:
        return datetime.datetime.fromisoformat(stamp.rstrip("Z")).timestamp()
    except ValueError:
        return None


def take(stream, pairs):
    """Adds what one line says."""
    event = pairs.get("event")
    stream.route = pairs.get("route", stream.route)
    if event == "placed":
        stream.zone = pairs.get("zone", "")
        stream.server_zone = pairs.get("server_zone", "")
        stream.waited_ms = int(pairs.get("waited_ms", 0))
    elif event == "migration" and pairs.get("verdict") == "resumed":
        stream.moves += 1
    elif event == "late_event":
        pause = int(pairs.get("pause_ms", 0))
        is_first = pairs.get("first") == "true"
        stream.late_first = stream.late_first or is_first
        stream.paused = stream.paused or not is_first
        stream.longest_pause_ms = max(stream.longest_pause_ms, pause)
        stream.events = max(stream.events, 1)
    elif event in ENDS:
        stream.end = event
        stream.cause = pairs.get("cause", pairs.get("reason", ""))
        stream.events = max(
            stream.events,
            int(pairs.get("events", pairs.get("last_event", 0))))


def read_streams(lines):
    """The requests of which the lines tell, in the order of their arrival.
    Whole answers, of which no line tells events, are left out."""
    streams = {}
    is_stream = set()
    begin = None
    for line in lines:
        pairs = read_pairs(line)
        now = seconds_of(pairs.get("time", ""))
        if now is None:
            continue
        begin = now if begin is None else min(begin, now)
        request = pairs.get("request")
        if request is None:
            continue
        if request not in streams:
            waited = int(pairs.get("waited_ms", 0)) / 1000
            streams[request] = Stream(request, arrived=now - waited)
        take(streams[request], pairs)
        if pairs.get("event") in ("stream_completed", "cut", "caller_left",
                                  "late_event", "migration", "hold_failed"):
            is_stream.add(request)
    found = [one for one in streams.values() if one.request in is_stream]
    for one in found:
        one.arrived -= begin
    return sorted(found, key=lambda one: one.arrived)
