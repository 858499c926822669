"""Every program says what it is and how it is used."""

import os
import subprocess
import unittest
from pathlib import Path

PROGRAMS = Path(__file__).parent.parent / "build" / os.environ.get(
    "GODWIT_PRESET", "release") / "bin"


class ProgramsTest(unittest.TestCase):
    def run_program(self, program, *arguments):
        return subprocess.run([str(program), *arguments], text=True,
                              stdin=subprocess.DEVNULL, timeout=20,
                              capture_output=True, check=False)

    def test_help_and_version(self):
        programs = sorted(PROGRAMS.iterdir())
        self.assertGreater(len(programs), 8)
        for program in programs:
            with self.subTest(program=program.name):
                helped = self.run_program(program, "--help")
                self.assertEqual(0, helped.returncode)
                self.assertIn("usage", helped.stdout.lower())
                version = self.run_program(program, "--version")
                self.assertEqual(0, version.returncode)
                self.assertIn(program.name, version.stdout)
                wrong = self.run_program(program, "--no-such-option")
                self.assertEqual(2, wrong.returncode)


if __name__ == "__main__":
    unittest.main()
