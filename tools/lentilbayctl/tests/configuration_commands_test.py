"""lentilbayctl configuration with a fake admin listener: outcomes, exit codes and lost responses."""

import json
import pathlib
import subprocess
import sys
import threading
import unittest
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ROOT = pathlib.Path(__file__).resolve().parents[3]
CTL = sys.argv.pop(1)
COOPERATIVE = ROOT / "examples/cooperative.ini"
DAEJEON = ROOT / "examples/daejeon.ini"


class FakeDaemon:
    """Keeps versions in memory; the next `drop_answers` changes take effect but get no response."""

    def __init__(self) -> None:
        self.versions: list[dict] = []
        self.accepted = 0
        self.drop_answers = 0
        self.unresolved_answers = 0
        self.tokens: list[str] = []
        self.polls = 0

    def apply(self, change: dict) -> tuple[int, dict]:
        for number, it in enumerate(self.versions, 1):
            if it["change"] == change["change"]:
                return 200, {"outcome": "committed", "version": number}
        if change["expect_version"] != len(self.versions):
            return 409, {"outcome": "conflict", "version": len(self.versions), "document": self.versions[-1]["document"]}
        self.versions.append(change)
        if self.unresolved_answers > 0:
            self.unresolved_answers -= 1
            return 503, {"outcome": "unresolved", "code": "LB-7002"}
        return 200, {"outcome": "committed", "version": len(self.versions)}

    def answer(self, path: str, body: dict | None) -> tuple[int, dict]:
        if body is not None:
            return self.apply(body)
        if path == "/admin/configuration":
            return 200, {"version": len(self.versions), "document": self.versions[-1]["document"] if self.versions else ""}
        if path == "/admin/configuration/progress":
            self.polls += 1
            if self.polls > 2:
                self.accepted = len(self.versions)
            waiting = [{"region": "lahore", "daemons": ["entry-3", "entry-4"]}]
            return 200, {"accepted": self.accepted, "acknowledged": 4, "daemons": 6, "waiting": waiting}
        if path.startswith("/admin/configuration/history"):
            return 200, {"versions": [{"version": n, "operator": "kim", "time": "T", "hash": "0" * 64}
                                      for n in range(len(self.versions), 0, -1)]}
        number = int(path.rsplit("/", 1)[1])
        if 1 <= number <= len(self.versions):
            return 200, {"version": number, "document": self.versions[number - 1]["document"]}
        return 404, {"code": "LB-6017", "message": "no such version"}


class Handler(BaseHTTPRequestHandler):
    daemon: FakeDaemon

    def respond(self, body: dict | None) -> None:
        self.daemon.tokens.append(self.headers.get("Authorization", ""))
        status, answer = self.daemon.answer(self.path, body)
        if body is not None and self.daemon.drop_answers > 0:
            self.daemon.drop_answers -= 1
            self.close_connection = True
            return
        data = json.dumps(answer).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def do_GET(self) -> None:
        self.respond(None)

    def do_POST(self) -> None:
        self.respond(json.loads(self.rfile.read(int(self.headers["Content-Length"]))))

    def log_message(self, *_: object) -> None:
        pass


class ConfigurationCommands(unittest.TestCase):
    def setUp(self) -> None:
        self.daemon = FakeDaemon()
        handler = type("BoundHandler", (Handler,), {"daemon": self.daemon})
        self.server = ThreadingHTTPServer(("127.0.0.1", 0), handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.address = f"http://127.0.0.1:{self.server.server_port}"

    def tearDown(self) -> None:
        self.server.shutdown()
        self.server.server_close()

    def run_ctl(self, *words: object, admin: str | None = None) -> subprocess.CompletedProcess[str]:
        command = [CTL, "configuration", *map(str, words), f"--admin={admin or self.address}"]
        return subprocess.run(command, capture_output=True, text=True, env={"LENTILBAY_TOKEN": "t0ken"})

    def test_apply_show_history_rollback(self) -> None:
        self.assertEqual(self.run_ctl("apply", COOPERATIVE).returncode, 0)
        result = self.run_ctl("apply", DAEJEON)
        self.assertEqual((result.returncode, result.stdout), (0, "committed: version 2\n"))
        shown = self.run_ctl("show")
        self.assertEqual(shown.stdout, "# version 2\n" + DAEJEON.read_text())
        result = self.run_ctl("rollback", 1)
        self.assertEqual((result.returncode, result.stdout), (0, "committed: version 3\n"))
        self.assertEqual(self.run_ctl("show").stdout, "# version 3\n" + COOPERATIVE.read_text())
        history = self.run_ctl("history").stdout.splitlines()
        self.assertEqual([line.split()[0] for line in history], ["3", "2", "1"])
        self.assertEqual(self.run_ctl("rollback", 9).returncode, 1)
        self.assertEqual(set(self.daemon.tokens), {"Bearer t0ken"})

    def test_conflict_shows_version_and_difference(self) -> None:
        self.run_ctl("apply", COOPERATIVE)
        result = self.run_ctl("apply", DAEJEON, "--expect_version=0")
        self.assertEqual(result.returncode, 3)
        self.assertIn("the present version is 1", result.stderr)
        self.assertIn("+ [tier proof]", result.stderr)
        result = self.run_ctl("apply", DAEJEON, "--expect_version=0", "--json")
        self.assertEqual(json.loads(result.stdout)["outcome"], "conflict")

    def test_lost_response_is_resolved_by_resending(self) -> None:
        self.daemon.drop_answers = 2
        result = self.run_ctl("apply", COOPERATIVE)
        self.assertEqual((result.returncode, result.stdout), (0, "committed: version 1\n"))
        self.daemon.unresolved_answers = 1
        result = self.run_ctl("apply", DAEJEON)
        self.assertEqual((result.returncode, result.stdout), (0, "committed: version 2\n"))
        self.assertEqual(len(self.daemon.versions), 2)

    def test_wait_shows_progress_until_accepted(self) -> None:
        result = self.run_ctl("apply", COOPERATIVE, "--wait")
        self.assertEqual(result.returncode, 0)
        self.assertIn("acknowledged 4 of 6, waiting for region lahore: entry-3, entry-4", result.stderr)
        self.assertEqual(result.stdout, "version 1 is accepted: in force everywhere\n")

    def test_wait_times_out_pending_and_names_the_region(self) -> None:
        self.daemon.polls = -1_000_000
        result = self.run_ctl("apply", COOPERATIVE, "--wait", "--wait_for=500ms")
        self.assertEqual(result.returncode, 4)
        self.assertEqual(result.stdout, "version 1 is pending: waiting for region lahore: entry-3, entry-4\n")

    def test_invalid_document_is_refused_without_a_request(self) -> None:
        command = [CTL, "configuration", "apply", "-", f"--admin={self.address}"]
        result = subprocess.run(command, input="[tier x]\n", capture_output=True, text=True)
        self.assertEqual(result.returncode, 1)
        self.assertIn("LB-6008 tier x.rank", result.stderr)
        self.assertEqual(self.daemon.tokens, [])

    def test_tries_next_daemon_and_reports_if_none_responds(self) -> None:
        unreachable = "http://127.0.0.1:1"
        self.assertEqual(self.run_ctl("show", admin=f"{unreachable},{self.address}").returncode, 0)
        result = self.run_ctl("show", admin=unreachable)
        self.assertEqual((result.returncode, result.stderr), (5, f"no daemon answered at {unreachable}\n"))
        self.assertEqual(self.run_ctl("frob").returncode, 2)


if __name__ == "__main__":
    unittest.main()
