"""A straight line through measured points."""
import dataclasses
import math
import statistics


@dataclasses.dataclass(frozen=True)
class Line:
    """y = intercept + slope * x by least squares, with its errors."""

    intercept: float
    slope: float
    slope_error: float   # standard error of the slope
    residual: float      # root mean square distance of points from the line
    spread: float        # largest half-range of y among runs at one x
    sizes: int
    runs: int

    @staticmethod
    def through(points):
        """Of (x, y) pairs; at least four different sizes are wanted."""
        count = len(points)
        mean_x = statistics.fmean(x for x, _ in points)
        mean_y = statistics.fmean(y for _, y in points)
        sum_xx = sum((x - mean_x) ** 2 for x, _ in points)
        sum_xy = sum((x - mean_x) * (y - mean_y) for x, y in points)
        slope = sum_xy / sum_xx
        intercept = mean_y - slope * mean_x
        squares = sum((y - intercept - slope * x) ** 2 for x, y in points)
        error = math.sqrt(squares / max(1, count - 2) / sum_xx)
        return Line(intercept, slope, error, math.sqrt(squares / count),
                    0.0, len({x for x, _ in points}), count)

    def at(self, x):
        return self.intercept + self.slope * x
