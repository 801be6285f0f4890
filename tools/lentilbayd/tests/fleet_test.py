"""Real daemons on loopback: they find each other, notice a death, a leaving and a restart."""

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

    def test_daemons_see_each_other_and_a_death(self) -> None:
        with Fleet(BINARIES) as fleet:
            first, second, third = self.start(fleet, 3)
            third.kill()
            for it in (first, second):
                wait_until(lambda it=it: "d2" in subjects(it, DIED), f"{it.name} notices the death")
            third.restart()
            for it in (first, second):
                wait_until(lambda it=it: subjects(it, ALIVE).count("d2") == 2, f"{it.name} sees the restart")

    def test_a_leaving_daemon_announces_it_and_ends(self) -> None:
        with Fleet(BINARIES) as fleet:
            first, second = self.start(fleet, 2)
            self.assertEqual(second.stop(), 0)
            wait_until(lambda: "d1" in subjects(first, LEAVING), "the leaving is heard of")
            wait_until(lambda: "d1" in subjects(first, DIED), "the end is heard of")

    def test_a_paused_daemon_is_missed_and_comes_back(self) -> None:
        with Fleet(BINARIES) as fleet:
            first, _, third = self.start(fleet, 3)
            third.pause()
            wait_until(lambda: "d2" in subjects(first, DIED), "the pause is noticed")
            third.resume()
            wait_until(lambda: subjects(first, ALIVE).count("d2") == 2, "it is alive again")

    def test_a_port_in_use_ends_the_start(self) -> None:
        with Fleet(BINARIES) as fleet:
            first = fleet.add("d0")
            wait_until(lambda: bool(first.events(100)), "it listens")
            second = fleet.add("d1")
            second.settings.write_text(second.settings.read_text().replace(
                f"address = 127.0.0.1:{second.peers_port}", f"address = 127.0.0.1:{first.peers_port}"))
            second.kill()
            second.restart()
            self.assertEqual(second.process.wait(20), 1)
            self.assertIn("LB-8002", second.text())


if __name__ == "__main__":
    unittest.main()
