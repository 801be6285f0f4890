"""A daemon that receives SIGHUP while it is still reading its settings keeps running."""

import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import unittest

BINARIES = pathlib.Path(sys.argv.pop(1))
INVALID_SETTINGS = 2


class Startup(unittest.TestCase):
    def test_hangup_during_startup_ended_the_daemon(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            # Opening the pipe for writing waits until the daemon opens it for reading.
            path = os.path.join(folder, "settings.json")
            os.mkfifo(path)
            daemon = subprocess.Popen([BINARIES / "lentilbayd", "--platform"], stdout=subprocess.DEVNULL,
                                      stderr=subprocess.DEVNULL,
                                      env={"LENTILBAY_CONFIG": path, "PATH": os.environ["PATH"]})
            with open(path, "w", encoding="utf-8") as settings:
                daemon.send_signal(signal.SIGHUP)
                settings.write("{}")
            self.assertEqual(daemon.wait(timeout=20), INVALID_SETTINGS)


if __name__ == "__main__":
    unittest.main()
