"""A real daemon with an engine stand-in: a graceful shutdown aborts no request, and the admin interface reports the
daemon's state."""

import hashlib
import http.client
import json
import pathlib
import signal
import subprocess
import sys
import threading
import time
import unittest

from processes import DaemonProcess, Fleet, call, wait_until

BINARIES = pathlib.Path(sys.argv.pop(1))
KEY, TOKEN = "sk-press", "operator"
STARTED, DRAINING, STOPPED = 100, 101, 102


def hash_secret(secret: str) -> str:
    return "5a$" + hashlib.sha256(f"5a${secret}".encode()).hexdigest()


def chat(stream: bool, tokens: int = 80) -> dict:
    return {"model": "m1", "stream": stream, "max_tokens": tokens,
            "messages": [{"role": "user", "content": "a manuscript that is long enough"}]}


class Answer(threading.Thread):
    """One request whose response is read to its end on a thread of its own."""

    def __init__(self, port: int, body: dict) -> None:
        super().__init__()
        self.port, self.body = port, body
        self.status, self.text = 0, ""
        self.first_byte = threading.Event()
        self.start()

    def run(self) -> None:
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=30)
        connection.request("POST", "/v1/chat/completions", json.dumps(self.body),
                           {"Authorization": f"Bearer {KEY}"})
        answer = connection.getresponse()
        self.status = answer.status
        first = answer.read(1)
        self.first_byte.set()
        self.text = (first + answer.read()).decode()
        connection.close()


def status_of(port: int) -> int:
    """Sends a short request and returns its status, which is 200 once the endpoint's slots are granted."""
    answer = Answer(port, chat(False, 1))
    answer.join(30)
    time.sleep(0 if answer.status == 200 else 0.05)
    return answer.status


class GatewayProcessTest(unittest.TestCase):
    def start(self, fleet: Fleet, slots: int = 16) -> tuple[DaemonProcess, int]:
        engine = fleet.add_standin("engine-standin")
        document = fleet.directory / "configuration.ini"
        document.write_text(
            "[tier high]\nrank = 0\n"
            f"[organisation press]\nkey.a = {hash_secret(KEY)}\ntiers = high\n"
            "[service m1]\nkind = model\n"
            f"[endpoint e1]\naddress = 127.0.0.1:{engine}\nregion = r\ndata_centre = d\nservices = m1\n"
            f"slots = {slots}\nkv_tokens = 400000\n")
        fleet.extra_settings = f"[configuration]\nfile = {document}\n"
        daemon = fleet.add("d0")
        daemon.settings.write_text(daemon.settings.read_text().replace(
            "[admin]\n", f"[admin]\ntoken_hash = {hash_secret(TOKEN)}\n"))
        daemon.kill()
        daemon.restart()
        wait_until(lambda: bool(daemon.events(STARTED)), f"the daemon starts: {daemon.text()}")
        wait_until(lambda: status_of(daemon.callers_port) == 200, "the daemon serves")
        return daemon, engine

    def run_ctl(self, daemon: DaemonProcess, *words: str) -> subprocess.CompletedProcess:
        token = daemon.settings.with_suffix(".token")
        token.write_text(TOKEN)
        return subprocess.run(
            [str(BINARIES / "lentilbayctl"), *words, f"--admin=http://127.0.0.1:{daemon.admin_port}",
             f"--token_file={token}"], capture_output=True, text=True, timeout=30, check=False)

    def open_requests(self, daemon: DaemonProcess) -> int:
        return json.loads(self.run_ctl(daemon, "status", "--json").stdout)["open_requests"]

    def test_graceful_shutdown_aborts_no_request(self) -> None:
        with Fleet(BINARIES) as fleet:
            daemon, engine = self.start(fleet, slots=4)
            streams = [Answer(daemon.callers_port, chat(True, 200)) for _ in range(8)]
            plain = [Answer(daemon.callers_port, chat(False, 200)) for _ in range(4)]
            wait_until(lambda: self.open_requests(daemon) == 12, "all requests are accepted and most of them wait")
            daemon.process.send_signal(signal.SIGTERM)
            wait_until(lambda: bool(daemon.events(DRAINING)), "the daemon drains")
            daemon.process.send_signal(signal.SIGTERM)
            status, body = call(daemon.callers_port, "POST", "/v1/chat/completions", chat(False),
                                {"Authorization": f"Bearer {KEY}"})
            self.assertEqual((status, json.loads(body)["error"]["code"]), (503, "LB-3008"))
            self.assertEqual(json.loads(body)["error"]["ran"], "no")
            for it in streams + plain:
                it.join(30)
                self.assertEqual(it.status, 200, it.text)
            for it in streams:
                self.assertTrue(it.text.rstrip().endswith("data: [DONE]"), it.text[-300:])
            for it in plain:
                self.assertGreater(json.loads(it.text)["usage"]["completion_tokens"], 0)
            self.assertEqual(daemon.process.wait(20), 0)
            self.assertTrue(daemon.events(STOPPED))
            records = json.loads(call(engine, "GET", "/records")[1])["records"]
            ids = [it["request_id"] for it in records]
            self.assertEqual(len(ids), len(set(ids)), "each request was dispatched once")
            self.assertEqual({it["end"] for it in records}, {"whole"})

    def test_admin_interface_reports_daemon_state(self) -> None:
        with Fleet(BINARIES) as fleet:
            daemon, _ = self.start(fleet)
            status = json.loads(self.run_ctl(daemon, "status", "--json").stdout)
            self.assertEqual((status["daemon"], status["configuration_version"], status["ready"]), ("d0", 1, True))
            table = self.run_ctl(daemon, "endpoints").stdout.splitlines()
            self.assertEqual(table[0].split()[:3], ["endpoint", "data_centre", "address"])
            self.assertEqual(table[1].split()[0], "e1")
            running = Answer(daemon.callers_port, chat(True))
            running.first_byte.wait(20)
            self.assertIn("press", self.run_ctl(daemon, "requests").stdout)
            running.join(30)
            _, metrics = call(daemon.admin_port, "GET", "/metrics")
            self.assertIn('lentilbay_requests_total{tier="high",code="LB-1000",in_time="yes"}', metrics.decode())
            self.assertEqual(call(daemon.admin_port, "GET", "/readyz")[0], 200)
            self.assertEqual(call(daemon.admin_port, "GET", "/admin/status")[0], 401)

    def test_drain_command_stops_the_daemon(self) -> None:
        with Fleet(BINARIES) as fleet:
            daemon, _ = self.start(fleet)
            drained = self.run_ctl(daemon, "drain")
            self.assertEqual((drained.returncode, drained.stderr), (0, ""))
            self.assertEqual(daemon.process.wait(20), 0)
            self.assertEqual(self.run_ctl(daemon, "status").returncode, 5, "no daemon responds")

    def test_log_contains_no_secret_or_prompt_text(self) -> None:
        with Fleet(BINARIES) as fleet:
            daemon, _ = self.start(fleet)
            call(daemon.callers_port, "POST", "/v1/chat/completions", chat(False), {"Authorization": "Bearer sk-wrong"})
            Answer(daemon.callers_port, chat(True)).join(30)
            self.assertEqual(daemon.stop(), 0)
            for secret in (KEY, TOKEN, "sk-wrong", "manuscript"):
                self.assertNotIn(secret, daemon.text())


if __name__ == "__main__":
    unittest.main()
