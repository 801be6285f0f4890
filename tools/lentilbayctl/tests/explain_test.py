"""explain finds the log lines of a request in any order, skips other lines, and fails if there are none."""

import subprocess
import sys
import tempfile
import unittest

CTL = sys.argv.pop(1)

LINES = [
    '  16.7 edge-2 {"time":"2026-01-01T00:00:02Z","level":"info","event":"LE-216","name":"RequestEnded","id":"a1",'
    '"code":"LB-5002","total_ms":40}',
    "not a log line about a1",
    '{"time":"2026-01-01T00:00:01Z","level":"info","event":"LE-212","name":"RequestSent","id":"a1","endpoint":"i-7"}',
    '{"time":"2026-01-01T00:00:01Z","level":"info","event":"LE-212","name":"RequestSent","id":"a12","endpoint":"i-9"}',
    '{"time":"2026-01-01T00:00:01Z","broken":"a1',
]


def explain(*arguments: str, text: str = "") -> subprocess.CompletedProcess:
    return subprocess.run([CTL, "explain", *arguments], input=text, capture_output=True, text=True, check=False)


class Explain(unittest.TestCase):
    def test_prints_events_in_order(self) -> None:
        with tempfile.NamedTemporaryFile("w") as log:
            log.write("\n".join(LINES))
            log.flush()
            result = explain("a1", log.name)
        self.assertEqual(result.returncode, 0)
        self.assertLess(result.stdout.index("endpoint: i-7"), result.stdout.index("LB-5002"))
        self.assertIn("broke off after the request was dispatched", result.stdout)
        self.assertNotIn("i-9", result.stdout)

    def test_reads_standard_input_and_prints_json(self) -> None:
        result = explain("a12", "--json", text="\n".join(LINES))
        self.assertEqual(result.returncode, 0)
        self.assertEqual(len(result.stdout.splitlines()), 1)
        self.assertIn('"endpoint":"i-9"', result.stdout)

    def test_fails_without_lines_file_or_arguments(self) -> None:
        result = explain("zz", text="\n".join(LINES))
        self.assertNotEqual(result.returncode, 0)
        self.assertIn("LB-1016", result.stderr)
        self.assertNotEqual(explain("a1", "/no/such/file").returncode, 0)
        self.assertNotEqual(explain().returncode, 0)


if __name__ == "__main__":
    unittest.main()
