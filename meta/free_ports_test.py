"""Two hosts of a soak never get the same port.

A soak ended at its start: where one host was asked whether it is ready, the
frames of another one answered ("BadStatusLine", "GDWT"). Each host's ports
were drawn when those of the host before were not bound yet.
"""

import subprocess
import sys
import unittest
from pathlib import Path
from unittest import mock

from soak_parts import host

META = Path(__file__).parent


class FreePortsTest(unittest.TestCase):
    def test_no_port_is_given_twice(self):
        count = 16
        with mock.patch.object(host, "own_ports",
                               lambda: range(32100, 32100 + 2 * count)):
            given = host.free_ports(count) + host.free_ports(count // 2)
        self.assertEqual(len(given), len(set(given)))

    def test_runs_side_by_side_share_no_port(self):
        command = [sys.executable, "-c",
                   "from soak_parts import host; print(host.own_ports().start,"
                   " flush=True); input()"]
        runs = [subprocess.Popen(command, cwd=META, text=True,
                                 stdin=subprocess.PIPE, stdout=subprocess.PIPE)
                for _ in range(2)]
        first_ports = {int(run.stdout.readline()) for run in runs}
        for run in runs:
            run.communicate("\n")
        self.assertEqual(2, len(first_ports))


if __name__ == "__main__":
    unittest.main()
