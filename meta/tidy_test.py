"""Tests of the clang-tidy result cache."""

import importlib.machinery
import importlib.util
import pathlib
import tempfile
import unittest

FOLDER = pathlib.Path(__file__).parent


def load_tidy():
    loader = importlib.machinery.SourceFileLoader("tidy", str(FOLDER / "tidy"))
    spec = importlib.util.spec_from_loader("tidy", loader)
    module = importlib.util.module_from_spec(spec)
    loader.exec_module(module)
    return module


class TidyTest(unittest.TestCase):
    def setUp(self):
        self.tidy = load_tidy()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.source = self.write("a.cpp", "int a;")
        self.header = self.write("a.hpp", "int b;")

    def write(self, name, text):
        path = self.folder / name
        path.write_text(text)
        return str(path)

    def key(self, version="14", config="-*", arguments=("--quiet",),
            command="c++ -c a.cpp", files=None):
        self.tidy.file_digest.cache_clear()
        return self.tidy.result_key(
            version, config, list(arguments), command,
            [self.source, self.header] if files is None else files)

    def test_key_changes_with_each_input(self):
        before = self.key()
        self.assertEqual(before, self.key())
        self.assertNotEqual(before, self.key(version="15"))
        self.assertNotEqual(before, self.key(config="*"))
        self.assertNotEqual(before, self.key(arguments=("--quiet", "x")))
        self.assertNotEqual(before, self.key(command="c++ -DX -c a.cpp"))
        self.write("a.hpp", "int c;")
        self.assertNotEqual(before, self.key())
        self.write("a.hpp", "int b;")
        self.write("a.cpp", "int d;")
        self.assertNotEqual(before, self.key())

    def test_key_is_independent_of_the_checkout_path(self):
        root = str(self.tidy.ROOT)
        self.assertEqual(self.key(command="c++ -I./include"),
                         self.key(command=f"c++ -I{root}/include"))

    def test_missing_or_unreadable_files_have_no_key(self):
        self.assertIsNone(self.key(files=[]))
        self.assertIsNone(self.key(files=[self.source, "/no/such/file"]))

    def test_stale_dependencies_are_ignored(self):
        text = ("a.o: #deps 2, deps mtime 7 (VALID)\n    a.cpp\n    a.hpp\n\n"
                "b.o: #deps 1, deps mtime 7 (STALE)\n    b.cpp\n")
        self.assertEqual({"a.o": ["a.cpp", "a.hpp"]},
                         self.tidy.parse_dependencies(text))

    def test_only_clean_results_are_cached(self):
        runs = []

        class Run:
            def __init__(self, code):
                self.returncode = code
                self.stdout = "warning\n" if code else ""
                self.stderr = ""

        linter = self.tidy.Linter.__new__(self.tidy.Linter)
        linter.build = self.folder
        linter.cache = self.folder
        linter.key = lambda source: f"key-of-{source}"

        def run(arguments, **_):
            runs.append(arguments[-1])
            return Run(1 if arguments[-1] == "bad" else 0)

        self.tidy.options_for_source = lambda source: []
        self.tidy.subprocess = type("S", (), {"run": staticmethod(run)})
        self.assertEqual("", linter.check("good"))
        self.assertEqual("", linter.check("good"))
        self.assertEqual("warning\n", linter.check("bad"))
        self.assertEqual("warning\n", linter.check("bad"))
        self.assertEqual(["good", "bad", "bad"], runs)


if __name__ == "__main__":
    unittest.main()
