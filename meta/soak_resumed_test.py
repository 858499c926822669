"""A run goes on elsewhere only when the one before it is not at work.

A soak reported two runs of one stream: the source had written all 32 events,
the path to it was reset while the last nine were held up on the way, and the
stream went on from its copy. A run that is over does not write any more.
"""

import unittest

from soak_parts.engine import Run
from soak_parts.ledger import Ledger


class ResumedTest(unittest.TestCase):
    def broken_after(self, run):
        ledger = Ledger()
        if run:
            ledger.streams["a"] = run
        ledger.resumed("a")
        self.assertEqual(1, ledger.checks)
        return ledger.broken

    def test_a_run_at_work_has_a_single_place(self):
        self.assertTrue(self.broken_after(Run("a", 32, made=0)))
        self.assertTrue(self.broken_after(Run("a", 32, made=31)))

    def test_a_run_that_nobody_began_cannot_go_on(self):
        self.assertTrue(self.broken_after(None))

    def test_a_run_that_stopped_goes_on(self):
        self.assertFalse(self.broken_after(Run("a", 32, made=23, stopped=True)))

    def test_a_run_that_has_written_all_goes_on(self):
        self.assertFalse(self.broken_after(Run("a", 32, made=32)))


if __name__ == "__main__":
    unittest.main()
