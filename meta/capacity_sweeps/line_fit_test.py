"""python3 -m unittest discover -s meta -p '*_test.py' -t meta"""
import unittest

from capacity_sweeps.line_fit import Line
from capacity_sweeps.sweep import Slope
from capacity_sweeps.text import shown


class LineTest(unittest.TestCase):
    def test_exact_line_has_no_error(self):
        line = Line.through([(x, 3 + 2 * x) for x in (0, 1, 2, 5)])
        self.assertAlmostEqual(line.intercept, 3)
        self.assertAlmostEqual(line.slope, 2)
        self.assertAlmostEqual(line.residual, 0)
        self.assertAlmostEqual(line.at(100), 203)

    def test_residual_and_error_of_known_points(self):
        line = Line.through([(0, 1), (1, 1), (2, 1), (3, 2.2)])
        self.assertAlmostEqual(line.slope, 0.36)
        self.assertAlmostEqual(line.residual ** 2 * 4,
                               sum((y - line.at(x)) ** 2 for x, y in
                                   ((0, 1), (1, 1), (2, 1), (3, 2.2))))
        self.assertAlmostEqual(line.slope_error,
                               (line.residual ** 2 * 4 / 2 / 5) ** 0.5)

    def test_spread_is_that_of_the_worst_size(self):
        slope = Slope("name", "title", "x", "y", [])
        for size, value in ((1, 10), (1, 12), (2, 5), (2, 11)):
            slope.add(size, value)
        self.assertEqual(slope.spread(), 3)


class ShownTest(unittest.TestCase):
    def test_three_digits_and_absent(self):
        self.assertEqual(shown(1234.5), "1,234")
        self.assertEqual(shown(0.012345), "0.0123")
        self.assertEqual(shown(None), "not measured")


if __name__ == "__main__":
    unittest.main()
