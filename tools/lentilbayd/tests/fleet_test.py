"""Membership of real daemons on the loopback interface: discovery, death, graceful shutdown, pause and restart."""

import pathlib
import sys
import unittest

from processes import DaemonProcess, Fleet, wait_until

BINARIES = pathlib.Path(sys.argv.pop(1))
ALIVE, DIED, LEAVING = 400, 402, 403


def subjects(daemon: DaemonProcess, event: int) -> list[str]:
    return [it["subject"] for it in daemon.events(event)]


class FleetTest(unittest.TestCase):
    def start(self, fleet: Fleet, count: int) -> list[DaemonProcess]:
        daemons = [fleet.add(f"d{i}") for i in range(count)]
        names = {it.name for it in daemons}
        for it in daemons:
            wait_until(lambda it=it: set(subjects(it, ALIVE)) == names - {it.name}, f"{it.name} sees all: {it.text()}")
        return daemons

    def test_daemons_discover_each_other_and_detect_death_and_restart(self) -> None:
        with Fleet(BINARIES) as fleet:
            first, second, third = self.start(fleet, 3)
            third.kill()
            for it in (first, second):
                wait_until(lambda it=it: "d2" in subjects(it, DIED), f"{it.name} detects the death")
            third.restart()
            for it in (first, second):
                wait_until(lambda it=it: subjects(it, ALIVE).count("d2") == 2, f"{it.name} sees the restart")

    def test_graceful_shutdown_is_announced(self) -> None:
        with Fleet(BINARIES) as fleet:
            first, second = self.start(fleet, 2)
            self.assertEqual(second.stop(), 0)
            wait_until(lambda: "d1" in subjects(first, LEAVING), "the departure is announced")
            wait_until(lambda: "d1" in subjects(first, DIED), "the stop is announced")

    def test_paused_daemon_is_declared_dead_and_rejoins(self) -> None:
        with Fleet(BINARIES) as fleet:
            first, _, third = self.start(fleet, 3)
            third.pause()
            wait_until(lambda: "d2" in subjects(first, DIED), "the paused daemon is declared dead")
            third.resume()
            wait_until(lambda: subjects(first, ALIVE).count("d2") == 2, "the daemon is alive again")

    def test_startup_fails_if_peer_port_is_in_use(self) -> None:
        with Fleet(BINARIES) as fleet:
            first = fleet.add("d0")
            wait_until(lambda: bool(first.events(100)), "the first daemon listens")
            second = fleet.add("d1")
            second.settings.write_text(second.settings.read_text().replace(
                f"address = 127.0.0.1:{second.peers_port}", f"address = 127.0.0.1:{first.peers_port}"))
            second.kill()
            second.restart()
            self.assertEqual(second.process.wait(20), 1)
            self.assertIn("LB-8002", second.text())


if __name__ == "__main__":
    unittest.main()
