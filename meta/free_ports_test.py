"""Two hosts of a soak never get the same port.

A soak ended at its start: where one host was asked whether it is ready, the
frames of another one answered ("BadStatusLine", "GDWT"). Each host's ports
were drawn when those of the host before were not bound yet.
"""

import unittest
from unittest import mock

from soak_parts import host


class FreePortsTest(unittest.TestCase):
    def test_no_port_is_given_twice(self):
        count = 16
        with mock.patch.object(host, "PORTS", range(32100, 32100 + 2 * count)):
            given = host.free_ports(count) + host.free_ports(count // 2)
        self.assertEqual(len(given), len(set(given)))


if __name__ == "__main__":
    unittest.main()
