"""Starts daemons and stand-ins as processes on loopback for tests and measurements."""

import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Callable

PATIENCE_SECONDS = 20
# Below the ports that Linux gives to outgoing connections. Runs beside each other take ports from blocks of their own,
# by process number, since a port that was given out is not listened on until its process has started.
FIRST_OWN_PORT = 10_000
PORTS_IN_BLOCK = 100
PORT_BLOCKS = 220
OWN_PORTS = itertools.cycle(
    range(FIRST_OWN_PORT + os.getpid() % PORT_BLOCKS * PORTS_IN_BLOCK,
          FIRST_OWN_PORT + (os.getpid() % PORT_BLOCKS + 1) * PORTS_IN_BLOCK))
CLUSTER_KEY = "1:" + "5a" * 32


def free_port() -> int:
    """A port that was free for TCP and UDP a moment ago, and that the system gives to nobody by itself."""
    for port in itertools.islice(OWN_PORTS, PORTS_IN_BLOCK):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp, socket.socket() as tcp:
            try:
                udp.bind(("127.0.0.1", port))
                tcp.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port
    raise AssertionError("no port is free for both TCP and UDP")


def wait_until(condition: Callable[[], bool], what: str, patience: float = PATIENCE_SECONDS) -> None:
    """Fails where the condition does not come true."""
    end = time.monotonic() + patience
    while not condition():
        if time.monotonic() > end:
            raise AssertionError(f"not within {patience} s: {what}")
        time.sleep(0.02)


def call(port: int, method: str, path: str, body: object = None, headers: dict[str, str] | None = None,
         timeout: float = 30) -> tuple[int, bytes]:
    """An HTTP call that gives the status and the body also of refusals."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://127.0.0.1:{port}{path}", data, headers or {}, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()


class Process:
    """One process whose standard error goes to a file."""

    def __init__(self, arguments: list[str], log: pathlib.Path) -> None:
        self.log = log
        with log.open("ab") as out:
            self.process = subprocess.Popen(arguments, stdout=out, stderr=out)

    @property
    def pid(self) -> int:
        return self.process.pid

    def text(self) -> str:
        return self.log.read_text(errors="replace")

    def is_running(self) -> bool:
        return self.process.poll() is None

    def kill(self) -> None:
        self.process.kill()
        self.process.wait()

    def pause(self) -> None:
        os.kill(self.pid, signal.SIGSTOP)

    def resume(self) -> None:
        os.kill(self.pid, signal.SIGCONT)

    def stop(self) -> int:
        """Asks the process to leave and waits for it."""
        self.process.terminate()
        return self.process.wait(PATIENCE_SECONDS)


class DaemonProcess(Process):
    """A lentilbayd with its settings."""

    def __init__(self, fleet: "Fleet", name: str, region: str, data_centre: str) -> None:
        self.name = name
        self.callers_port = free_port()
        self.peers_port = free_port()
        self.admin_port = free_port()
        self.settings = fleet.directory / f"{name}.ini"
        seeds = fleet.seeds() or [f"127.0.0.1:{self.peers_port}"]
        self.settings.write_text(
            f"[daemon]\nname = {name}\nregion = {region}\ndata_centre = {data_centre}\nleaving_notice = 200ms\n"
            f"[callers]\nport = {self.callers_port}\n[admin]\nport = {self.admin_port}\n{fleet.admin_settings}"
            f"[peers]\naddress = 127.0.0.1:{self.peers_port}\nseeds = {', '.join(seeds)}\nkeys = {CLUSTER_KEY}\n"
            f"[log]\nformat = json\n" + fleet.extra_settings)
        self.command = [str(fleet.binaries / "lentilbayd"), f"--settings={self.settings}"]
        super().__init__(self.command, fleet.directory / f"{name}.log")

    def restart(self) -> None:
        with self.log.open("ab") as out:
            self.process = subprocess.Popen(self.command, stdout=out, stderr=out)

    def events(self, number: int) -> list[dict]:
        """The events with this number in the log."""
        out = []
        for line in self.text().splitlines():
            if line.startswith("{") and f"LE-{number}" in line:
                out.append(json.loads(line))
        return out


class Fleet:
    """Daemons of one cluster; ends all of them at exit."""

    def __init__(self, binaries: pathlib.Path, extra_settings: str = "") -> None:
        self.binaries = binaries
        self.extra_settings = extra_settings
        self.admin_settings = ""
        self.daemons: list[DaemonProcess] = []
        self.others: list[Process] = []
        self._directory = tempfile.TemporaryDirectory()
        self.directory = pathlib.Path(self._directory.name)

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *_: object) -> None:
        for it in self.daemons + self.others:
            if it.is_running():
                it.resume()
                it.kill()
        self._directory.cleanup()

    def seeds(self) -> list[str]:
        return [f"127.0.0.1:{it.peers_port}" for it in self.daemons[:3]]

    def add(self, name: str, region: str = "r", data_centre: str = "d") -> DaemonProcess:
        daemon = DaemonProcess(self, name, region, data_centre)
        self.daemons.append(daemon)
        return daemon

    def add_standin(self, program: str, *arguments: str) -> int:
        """Starts a stand-in and gives its port."""
        port = free_port()
        log = self.directory / f"{program}-{port}.log"
        self.others.append(Process([str(self.binaries / program), f"--port={port}", *arguments], log))
        wait_until(lambda: answers(port), f"{program} answers")
        return port


def answers(port: int) -> bool:
    """Whether something listens on the port."""
    try:
        socket.create_connection(("127.0.0.1", port), timeout=1).close()
    except OSError:
        return False
    return True
