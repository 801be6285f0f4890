"""Idempotency keys with real daemons and the platform's table: per the endpoint's records, a key runs at most once."""

import concurrent.futures
import json
import pathlib
import random
import subprocess
import sys
import tempfile
import time
import unittest

from processes import DaemonProcess, Fleet, call, wait_until

ROOT = pathlib.Path(__file__).resolve().parents[3]
sys.path.insert(0, str(ROOT / "operator"))
from lentilbay import Configuration, Endpoint, Organisation, Service, Tier, hash_key, seconds

BINARIES = pathlib.Path(sys.argv.pop(1))
CALLER_KEY, TOKEN = "caller", "operator"
SLOW_CALL_US = 2_000_000


class Site:
    """Two daemons, the platform and one application endpoint with a non-idempotent service."""

    def __init__(self, call_time_us: int = 5_000) -> None:
        self.platform = 0
        self.fleet = Fleet(BINARIES)
        self.call_time_us = call_time_us

    def __enter__(self) -> "Site":
        self.fleet.__enter__()
        try:
            self.start()
        except BaseException:
            self.fleet.__exit__()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.fleet.__exit__()

    def start(self) -> None:
        self.platform = self.fleet.add_standin("platform-standin")
        self.service = self.fleet.add_standin("service-standin", f"--call_time_us={self.call_time_us}")
        url = f"http://127.0.0.1:{self.platform}"
        self.fleet.extra_settings = (f"[admin]\ntoken_hash = {hash_key(TOKEN, '00')}\n"
                                     f"[platform]\ntable = {url}\nobjects = {url}\n[claims]\nwrites_per_second = 200\n")
        self.daemons = [self.fleet.add(f"d{i}") for i in range(2)]
        for it in self.daemons:
            wait_until(lambda it=it: bool(it.events(100)) or not it.is_running(), f"{it.name} listens")
        self.apply()
        for it in self.daemons:
            wait_until(lambda it=it: self.send(it, f"first-{it.name}")[0] == 200, f"{it.name} serves: {it.text()}")

    def apply(self) -> None:
        document = Configuration()
        tier = document.add(Tier("t", 0))
        booking = document.add(Service("booking", "plain", idempotent=False, deadline=seconds(10), retries=0))
        document.add(Organisation("o", [tier], {"k": hash_key(CALLER_KEY, "00")}))
        document.add(Endpoint("e", f"127.0.0.1:{self.service}", "r", "d", [booking], slots=16))
        with tempfile.NamedTemporaryFile("w", suffix=".ini") as file:
            file.write(str(document))
            file.flush()
            applied = subprocess.run([str(BINARIES / "lentilbayctl"), "configuration", "apply", file.name, "--wait",
                                      f"--admin=http://127.0.0.1:{self.daemons[0].admin_port}"],
                                     env={"LENTILBAY_TOKEN": TOKEN}, capture_output=True, text=True, check=False)
        assert applied.returncode == 0, f"{applied.stdout}{applied.stderr}{self.daemons[0].text()}"

    def send(self, daemon: DaemonProcess, key: str, body: object = "lot", **headers: str) -> tuple[int, dict]:
        """Returns the status and the JSON body; the status is 0 if the connection failed."""
        fields = {"Authorization": f"Bearer {CALLER_KEY}", "Idempotency-Key": key, **headers}
        try:
            status, answer = call(daemon.callers_port, "POST", "/services/booking/lots", body, fields)
        except OSError:
            return 0, {}
        return status, json.loads(answer)

    def executions(self, key: str | None = None) -> int:
        """Returns the executions of one key, or the maximum over all keys."""
        _, body = call(self.service, "GET", "/records")
        by_key = json.loads(body)["executions_by_key"]
        return max(by_key.values(), default=0) if key is None else by_key.get(key, 0)

    def set_faults(self, **table: object) -> None:
        status, _ = call(self.platform, "POST", "/control", {"table": table})
        assert status == 200


def error_of(answer: dict) -> tuple[str, str]:
    return answer["error"]["code"], answer["error"]["ran"]


class ClaimsTest(unittest.TestCase):
    def test_two_daemons_run_a_key_once_and_return_the_same_response(self) -> None:
        with Site(call_time_us=300_000) as site, concurrent.futures.ThreadPoolExecutor() as pool:
            sent = [pool.submit(site.send, it, "k") for it in site.daemons * 2]
            answers = [it.result() for it in sent]
            self.assertEqual([status for status, _ in answers], [200] * 4, answers)
            self.assertEqual(len({json.dumps(answer) for _, answer in answers}), 1)
            self.assertEqual(site.executions("k"), 1)
            for it in site.daemons:
                status, answer = site.send(it, "k", "another lot")
                self.assertEqual((status, error_of(answer)[0]), (422, "LB-1017"))

    def test_killed_claim_holder_gives_unknown_outcome(self) -> None:
        with Site(call_time_us=SLOW_CALL_US) as site, concurrent.futures.ThreadPoolExecutor() as pool:
            running = pool.submit(site.send, site.daemons[0], "k")
            wait_until(lambda: site.executions("k") == 1, "the request runs")
            site.daemons[0].kill()
            running.result()
            status, answer = site.send(site.daemons[1], "k")
            self.assertEqual((status, error_of(answer)), (409, ("LB-4002", "unknown")))
            site.daemons[0].restart()
            wait_until(lambda: site.send(site.daemons[0], "other")[0] == 200, "the restarted daemon serves")
            status, answer = site.send(site.daemons[0], "k")
            self.assertEqual((status, error_of(answer)), (409, ("LB-4002", "unknown")))
            self.assertEqual(site.executions("k"), 1)

    def test_paused_claim_holder_keeps_the_claim(self) -> None:
        with Site(call_time_us=SLOW_CALL_US) as site, concurrent.futures.ThreadPoolExecutor() as pool:
            running = pool.submit(site.send, site.daemons[0], "k")
            wait_until(lambda: site.executions("k") == 1, "the request runs")
            site.daemons[0].pause()
            status, answer = site.send(site.daemons[1], "k")
            self.assertEqual((status, error_of(answer)), (409, ("LB-4002", "unknown")))
            site.daemons[0].resume()
            running.result()
            self.assertEqual(site.executions("k"), 1)

    def test_lost_table_replies_run_no_key_twice(self) -> None:
        with Site() as site:
            for number, fault in enumerate(({"lose_answers": 1}, {"lose_requests": 1}, {"lose_answers": 2})):
                key = f"k{number}"
                site.set_faults(**fault)
                status, answer = site.send(site.daemons[number % 2], key)
                self.assertEqual(status, 200, answer)
                self.assertEqual(site.send(site.daemons[1 - number % 2], key)[0], 200)
                self.assertEqual(site.executions(key), 1)

    def test_table_outage_refuses_keyed_requests_as_not_run(self) -> None:
        with Site() as site:
            site.set_faults(outage=True)
            status, answer = site.send(site.daemons[0], "k", **{"Lentilbay-Deadline": "1500"})
            self.assertEqual((status, error_of(answer)[1]), (503, "no"), answer)
            self.assertEqual(site.executions("k"), 0)
            site.set_faults(outage=False)
            wait_until(lambda: site.send(site.daemons[0], "k")[0] == 200, "the key runs after the outage")
            self.assertEqual(site.executions("k"), 1)

    def test_kills_and_lost_replies_under_load_run_no_key_twice(self) -> None:
        rng = random.Random(7)
        with Site() as site, concurrent.futures.ThreadPoolExecutor(16) as pool:
            sent = []
            for number in range(150):
                for daemon in rng.sample(site.daemons * 2, 3):
                    sent.append((f"k{number}", pool.submit(site.send, daemon, f"k{number}")))
                if number % 20 == 10:
                    site.set_faults(lose_answers=rng.randrange(1, 4), lose_requests=rng.randrange(2))
                if number % 50 == 25:
                    victim = rng.choice(site.daemons)
                    victim.kill()
                    victim.restart()
                time.sleep(0.02)
            answered = {key for key, it in sent if it.result()[0] == 200}
            self.assertEqual(site.executions(), 1)
            self.assertGreater(len(answered), 75)
            for key in answered:
                self.assertEqual(site.executions(key), 1, key)


if __name__ == "__main__":
    unittest.main()
