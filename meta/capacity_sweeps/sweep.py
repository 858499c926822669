"""Measured slopes and the files that keep them."""
import dataclasses
import datetime
import json
import os
import pathlib

from .line_fit import Line

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
FOLDER = ROOT / "docs" / "measurements"


@dataclasses.dataclass(frozen=True)
class Point:
    """One run: the size that was asked for, and x and y as measured."""

    size: float
    x: float
    y: float


@dataclasses.dataclass
class Slope:
    """One quantity against one size."""

    name: str
    title: str
    x_unit: str
    y_unit: str
    points: list

    def add(self, size, y, x=None):
        self.points.append(Point(size, size if x is None else x, y))

    def line(self):
        line = Line.through([(point.x, point.y) for point in self.points])
        return dataclasses.replace(line, spread=self.spread(),
                                   sizes=len(self.by_size()))

    def by_size(self):
        groups = {}
        for point in self.points:
            groups.setdefault(point.size, []).append(point.y)
        return groups

    def spread(self):
        return max((max(group) - min(group)) / 2
                   for group in self.by_size().values())


class Sweep:
    """The slopes that one sub-command measures, kept in one JSON file."""

    def __init__(self, name):
        self.name = name
        self.slopes = {}
        self.load_before = os.getloadavg()[0]

    def slope(self, name, title, x_unit, y_unit):
        if name not in self.slopes:
            self.slopes[name] = Slope(name, title, x_unit, y_unit, [])
        return self.slopes[name]

    @property
    def path(self):
        return FOLDER / f"capacity-{self.name}.json"

    def save(self):
        FOLDER.mkdir(parents=True, exist_ok=True)
        content = {
            "command": f"meta/capacity {self.name}",
            "date": datetime.datetime.now().isoformat(timespec="seconds"),
            "cores": os.cpu_count(),
            "load_average_before": round(self.load_before, 1),
            "load_average_after": round(os.getloadavg()[0], 1),
            "slopes": [
                {"name": slope.name, "title": slope.title,
                 "x_unit": slope.x_unit, "y_unit": slope.y_unit,
                 "fit": dataclasses.asdict(slope.line()),
                 "points": [dataclasses.asdict(point)
                            for point in slope.points]}
                for slope in self.slopes.values()],
        }
        self.path.write_text(json.dumps(content, indent=1) + "\n")


def saved_slopes():
    """Every slope on file, by name, with the command that made it."""
    found = {}
    for path in sorted(FOLDER.glob("capacity-*.json")):
        content = json.loads(path.read_text())
        for entry in content["slopes"]:
            points = [Point(**point) for point in entry["points"]]
            slope = Slope(entry["name"], entry["title"], entry["x_unit"],
                          entry["y_unit"], points)
            found[slope.name] = (slope, content["command"], content)
    return found
