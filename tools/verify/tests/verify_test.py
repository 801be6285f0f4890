"""Tests that lentilbay-verify passes a clean run, reports a violation and rejects a run that it cannot check."""

import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

PROGRAM = sys.argv.pop(1)

CALLER = {"request_id": "r1", "digest": 5, "daemon": "d0", "organisation": "press", "tier": "proof", "rank": 0,
          "service": "editor", "non_idempotent": False, "key": "", "prompt_tokens": 9, "shared_prefix_tokens": 0,
          "answer_tokens": 4, "deadline_us": None, "sent_us": 1_000, "ended_us": 9_000, "end": "answered",
          "code": "LB-1000", "ran": "unknown", "whole": True, "own": True}
DISPATCH = {"request_id": "r1", "digest": 5, "model": "editor", "arrived_us": 2_000, "first_token_us": 3_000,
            "ended_us": 8_000, "prompt_tokens": 9, "prefill_computed": 9, "prefill_cached": 0, "answer_tokens": 4,
            "tokens_produced": 4, "broken_streams": 0, "end": "whole"}


class VerifyTest(unittest.TestCase):
    def verify(self, callers: list[dict], dispatches: list[dict]) -> subprocess.CompletedProcess:
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            (folder / "run.json").write_text(json.dumps({"endpoints": [{"name": "e1", "services": ["editor"]}]}))
            (folder / "callers.jsonl").write_text("".join(json.dumps(it) + "\n" for it in callers))
            (folder / "e1.records.json").write_text(
                json.dumps({"kind": "engine", "leaving_since_us": None, "records": dispatches, "orders": []}))
            return subprocess.run([PROGRAM, f"--run={folder}"], capture_output=True, text=True, check=False)

    def test_passes_a_clean_run(self) -> None:
        result = self.verify([CALLER], [DISPATCH])
        self.assertEqual(result.returncode, 0, result.stdout + result.stderr)
        self.assertIn("0 breaches in 1 requests", result.stdout)

    def test_reports_a_second_dispatch(self) -> None:
        result = self.verify([CALLER], [DISPATCH, DISPATCH | {"arrived_us": 4_000}])
        self.assertEqual(result.returncode, 1)
        self.assertIn("0.003s dispatched-at-most-once: r1", result.stdout)

    def test_rejects_a_run_without_records(self) -> None:
        self.assertEqual(self.verify([], [DISPATCH]).returncode, 2)

    def test_rejects_an_incomplete_record(self) -> None:
        result = self.verify([CALLER, {"request_id": "r2"}], [DISPATCH])
        self.assertEqual(result.returncode, 2)
        self.assertIn("line 2", result.stderr)


if __name__ == "__main__":
    unittest.main()
