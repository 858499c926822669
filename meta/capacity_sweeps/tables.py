"""The tables of docs/CAPACITY.md, as Markdown."""
from . import limits, roles, ways
from .predictions import Cost, Predictions
from .sweep import saved_slopes
from .text import markdown, shown

APPENDS_COMMAND = "meta/capacity appends"
HEADINGS = ("percent", "megabytes", "bytes_a_second")


def demands_table(predictions):
    return markdown(("what", "at the size", "from"),
                    predictions.size.demands())


def slopes_table(_):
    rows = []
    for slope, command, _content in saved_slopes().values():
        if command == APPENDS_COMMAND:
            continue
        line = slope.line()
        measured = sorted(point.x for point in slope.points)
        rows.append((
            f"`{slope.name}`", slope.title,
            f"{shown(measured[0])} to {shown(measured[-1])}",
            slope.x_unit, f"{shown(line.intercept)} {slope.y_unit}",
            f"{shown(line.slope)} ± {shown(line.slope_error)}",
            shown(line.residual), shown(line.spread),
            f"{line.sizes} / {line.runs}", f"`{command}`"))
    return markdown(("slope", "quantity", "sizes", "against", "at zero",
                     "slope ± its standard error", "residual",
                     "spread of runs", "sizes / runs", "command"), rows)


def appends_table(_):
    """These level off at the share of the log, so no line is drawn."""
    found = saved_slopes()
    if "appends_zone" not in found:
        return "not measured"
    columns = [{point.size: point.y for point in found[name][0].points}
               for name in ("appends_zone", "claim_p99_zone",
                            "appends_host", "claim_p99_host")]
    rows = [(shown(rate), *(shown(column[rate]) for column in columns))
            for rate in sorted(columns[0])]
    return markdown(("claims a second", "appends/s, one writer a zone",
                     "99 in 100 wait, ms", "appends/s, every host writes",
                     "99 in 100 wait, ms"), rows)


def runs_table(_):
    """When and on how busy a machine each sweep ran."""
    seen = {}
    for _, command, content in saved_slopes().values():
        seen[command] = (f"`{command}`", content["date"],
                         content["cores"], content["load_average_before"],
                         content["load_average_after"])
    return markdown(("command", "ended", "cores", "load before",
                     "load after"), seen.values())


def control_table(predictions):
    rows = []
    sums = {heading: 0.0 for heading in HEADINGS}
    for duty, cost in predictions.control():
        for heading in HEADINGS:
            sums[heading] += getattr(cost, heading) or 0.0
        rows.append((duty, *_cells(cost)))
    size = predictions.size
    rows.append(("**sum**", *_cells(Cost(**sums))))
    rows.append(("**limit**", *_cells(Cost(
        size.core_percent, size.memory_mb, size.bytes_a_second))))
    return markdown(("duty", "% of a core", "MB", "B/s"), rows)


def _cells(cost):
    return tuple("–" if getattr(cost, heading) is None
                 else shown(getattr(cost, heading)) for heading in HEADINGS)


def all_tables():
    """Each block's name and text."""
    predictions = Predictions()
    return {
        "demands": demands_table(predictions),
        "slopes": slopes_table(predictions),
        "appends": appends_table(predictions),
        "runs": runs_table(predictions),
        "control-today": control_table(predictions),
        "roles": roles.table(predictions),
        "limits": limits.table(predictions),
        "ways": ways.table(predictions),
    }
