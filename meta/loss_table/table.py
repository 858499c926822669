"""Tables of streams that were lost or late."""
import collections


def kind_of(stream, least_events):
    """Long or short, by what it wrote."""
    return "long" if stream.events >= least_events else "short"


def loss_table(streams, span, least_events):
    """Rows: a span of time, long or short streams; columns: reasons."""
    rows = collections.defaultdict(collections.Counter)
    reasons = collections.Counter()
    for stream in streams:
        at = (int(stream.arrived // span), kind_of(stream, least_events))
        reason = stream.reason()
        rows[at]["asked"] += 1
        if reason:
            rows[at][reason] += 1
            reasons[reason] += 1
    columns = ["asked", *[name for name, _ in reasons.most_common()]]
    widths = [max(len(name), 5) for name in columns]
    head = "  ".join(name.rjust(width)
                     for name, width in zip(columns, widths))
    text = [f"{'from s':>7} {'kind':<6} {head}"]
    for (at, kind), counts in sorted(rows.items()):
        cells = "  ".join(str(counts[name] or "-").rjust(width)
                          for name, width in zip(columns, widths))
        text.append(f"{at * span:7.1f} {kind:<6} {cells}")
    for kind in ("long", "short"):
        sums = collections.Counter()
        for (_, of), counts in rows.items():
            if of == kind:
                sums += counts
        cells = "  ".join(str(sums[name] or "-").rjust(width)
                          for name, width in zip(columns, widths))
        text.append(f"{'all':>7} {kind:<6} {cells}")
    return "\n".join(text)


def each_loss(streams, least_events):
    """A line for each stream that was not whole and in time."""
    text = []
    for one in streams:
        if not one.reason():
            continue
        text.append(
            f"{one.arrived:8.3f} s {one.request} "
            f"{kind_of(one, least_events)} {one.reason()}: "
            f"zone={one.zone} server_zone={one.server_zone} "
            f"moves={one.moves} waited_ms={one.waited_ms} "
            f"events={one.events} longest_pause_ms={one.longest_pause_ms} "
            f"{one.cause}".rstrip())
    return "\n".join(text)
