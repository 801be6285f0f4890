"""Three daemons, the platform stand-in and lentilbayctl as processes: configuration changes are accepted, conflict, are
rolled back, and survive platform outages, lost replies, killed daemons and restarts."""

import json
import pathlib
import subprocess
import sys
import time
import unittest

from processes import DaemonProcess, Fleet, call, wait_until

BINARIES = pathlib.Path(sys.argv.pop(1))
EXAMPLES = pathlib.Path(__file__).resolve().parents[3] / "examples"
COOPERATIVE = EXAMPLES / "cooperative.ini"
DAEJEON = EXAMPLES / "daejeon.ini"
TOKEN = "operators-token"
sys.path.insert(0, str(EXAMPLES.parent / "operator"))
from lentilbay import hash_key  # noqa: E402


class Deployment:
    """Daemons in three regions with one platform."""

    def __init__(self, count: int) -> None:
        self.fleet = Fleet(BINARIES)
        self.fleet.__enter__()
        self.platform = self.fleet.add_standin("platform-standin")
        url = f"http://127.0.0.1:{self.platform}"
        self.fleet.extra_settings = f"[platform]\ntable = {url}\nobjects = {url}\n"
        self.fleet.admin_settings = f"token_hash = {hash_key(TOKEN, 'salt')}\n"
        self.daemons = [self.fleet.add(f"d{n}", f"r{n % 3}", f"r{n % 3}-1") for n in range(count)]

    def close(self) -> None:
        self.fleet.__exit__(None, None, None)

    def ctl(self, *words: object, daemon: int | None = None) -> subprocess.CompletedProcess[str]:
        chosen = self.daemons if daemon is None else [self.daemons[daemon]]
        admin = ",".join(f"http://127.0.0.1:{it.admin_port}" for it in chosen)
        command = [str(BINARIES / "lentilbayctl"), "configuration", *map(str, words), f"--admin={admin}"]
        return subprocess.run(command, capture_output=True, text=True, env={"LENTILBAY_TOKEN": TOKEN}, timeout=90)

    def set_faults(self, **faults: object) -> None:
        status, text = call(self.platform, "POST", "/control", faults)
        assert status == 200, text

    def wait_for_daemons(self) -> None:
        for it in self.daemons:
            wait_until(lambda it=it: bool(it.events(100)), f"{it.name} listens: {it.text()}")


def status_of(daemon: DaemonProcess) -> dict:
    _, text = call(daemon.admin_port, "GET", "/admin/status", headers={"Authorization": f"Bearer {TOKEN}"})
    return json.loads(text)


class ConfigurationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.deployment = Deployment(3)
        self.addCleanup(self.deployment.close)
        self.deployment.wait_for_daemons()

    def apply(self, path: pathlib.Path, *flags: str, daemon: int | None = None) -> subprocess.CompletedProcess[str]:
        result = self.deployment.ctl("apply", path, "--wait", *flags, daemon=daemon)
        self.assertEqual(result.returncode, 0, result.stdout + result.stderr)
        return result

    def assert_versions(self, version: int) -> None:
        for it in self.deployment.daemons:
            status = status_of(it)
            self.assertEqual((status["configuration_version"], status["ready"]), (version, True), it.name)

    def test_apply_conflict_history_rollback(self) -> None:
        self.assertFalse(any(status_of(it)["ready"] for it in self.deployment.daemons), "ready without a configuration")
        self.assertIn("version 1 is accepted", self.apply(COOPERATIVE).stdout)
        self.assert_versions(1)
        self.apply(DAEJEON, daemon=1)
        self.assert_versions(2)
        result = self.deployment.ctl("apply", COOPERATIVE, "--expect_version=1", daemon=2)
        self.assertEqual(result.returncode, 3, result.stderr)
        self.assertIn("the present version is 2", result.stderr)
        self.assertIn("- [tier proof]", result.stderr)
        result = self.deployment.ctl("rollback", 1, "--wait", "--operator_name=kim")
        self.assertEqual(result.returncode, 0, result.stderr)
        self.assert_versions(3)
        self.assertEqual(self.deployment.ctl("show").stdout, "# version 3\n" + COOPERATIVE.read_text())
        history = self.deployment.ctl("history").stdout.splitlines()
        self.assertEqual([line.split()[0] for line in history], ["3", "2", "1"])
        self.assertEqual(history[0].split()[2], "kim")
        again = self.deployment.ctl("apply", COOPERATIVE, "--wait")
        self.assertEqual(again.returncode, 0, again.stderr)
        self.assert_versions(3)

    def test_invalid_document_and_missing_token_are_refused(self) -> None:
        daemon = self.deployment.daemons[0]
        body = {"document": "[tier x]\n", "expect_version": 0, "change": "c1"}
        status, text = call(daemon.admin_port, "POST", "/admin/configuration", body,
                            {"Authorization": f"Bearer {TOKEN}"})
        self.assertEqual(status, 400)
        self.assertIn("LB-6008", text.decode())
        self.assertEqual(call(daemon.admin_port, "POST", "/admin/configuration", body)[0], 401)

    def test_dead_daemon_is_reported_and_serves_newest_version_after_restart(self) -> None:
        self.apply(COOPERATIVE)
        dead = self.deployment.daemons[2]
        dead.kill()
        result = self.deployment.ctl("apply", DAEJEON, "--wait", "--wait_for=3s", daemon=0)
        self.assertEqual(result.returncode, 4, "all daemons of its region are silent: " + result.stdout)
        self.assertIn("region r2: d2", result.stdout)
        dead.restart()
        wait_until(lambda: status_or_none(dead) == (2, True), f"the restarted daemon serves: {dead.text()}")

    def test_platform_outage_and_lost_replies(self) -> None:
        self.apply(COOPERATIVE)
        self.deployment.set_faults(table={"outage": True}, objects={"outage": True})
        time.sleep(6)
        for it in self.deployment.daemons:
            self.assertTrue(status_of(it)["ready"], "an outage fences no daemon")
            self.assertLess(len(it.text().splitlines()), 40, "an outage does not flood the log")
        self.deployment.set_faults(table={"outage": False, "lose_answers": True}, objects={"outage": False})
        command = [str(BINARIES / "lentilbayctl"), "configuration", "apply", str(DAEJEON), "--wait",
                   f"--admin=http://127.0.0.1:{self.deployment.daemons[0].admin_port}"]
        running = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True,
                                   env={"LENTILBAY_TOKEN": TOKEN})
        time.sleep(1)
        self.deployment.set_faults(table={"lose_answers": False})
        out, err = running.communicate(timeout=90)
        self.assertEqual(running.returncode, 0, out + err)
        self.assert_versions(2)

    def test_stopped_daemon_does_not_block_changes(self) -> None:
        self.apply(COOPERATIVE)
        self.assertEqual(self.deployment.daemons.pop().stop(), 0)
        self.apply(DAEJEON)
        self.assert_versions(2)


def status_or_none(daemon: DaemonProcess) -> tuple[int, bool] | None:
    try:
        status = status_of(daemon)
    except OSError:
        return None
    return status["configuration_version"], status["ready"]


if __name__ == "__main__":
    unittest.main()
