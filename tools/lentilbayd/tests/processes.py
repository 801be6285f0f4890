"""Starts daemons and stand-ins as processes on the loopback interface for tests and benchmarks."""

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

DEFAULT_TIMEOUT_SECONDS = 20
# Below the ephemeral port range of Linux. Each test process uses a block of ports chosen by its process id, so that
# concurrent runs don't reuse a port that is reserved but not bound until the process under test has started.
FIRST_PORT = 10_000
PORTS_PER_BLOCK = 100
PORT_BLOCKS = 220
PORTS = itertools.cycle(
    range(FIRST_PORT + os.getpid() % PORT_BLOCKS * PORTS_PER_BLOCK,
          FIRST_PORT + (os.getpid() % PORT_BLOCKS + 1) * PORTS_PER_BLOCK))
CLUSTER_KEY = "1:" + "5a" * 32


def free_port() -> int:
    """Returns a port outside the ephemeral range that is currently free for both TCP and UDP."""
    for port in itertools.islice(PORTS, PORTS_PER_BLOCK):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp, socket.socket() as tcp:
            try:
                udp.bind(("127.0.0.1", port))
                tcp.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port
    raise AssertionError("no port is free for both TCP and UDP")


def wait_until(condition: Callable[[], bool], what: str, timeout: float = DEFAULT_TIMEOUT_SECONDS) -> None:
    """Polls the condition and fails if it is not true within the timeout, in seconds."""
    end = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > end:
            raise AssertionError(f"timed out after {timeout} s: {what}")
        time.sleep(0.02)


def call(port: int, method: str, path: str, body: object = None, headers: dict[str, str] | None = None,
         timeout: float = 30) -> tuple[int, bytes]:
    """Returns the status and the body of an HTTP call, error responses included."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://127.0.0.1:{port}{path}", data, headers or {}, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()


class Process:
    """A process whose standard output and standard error go to a file."""

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
        """Sends SIGTERM and returns the exit status."""
        self.process.terminate()
        return self.process.wait(DEFAULT_TIMEOUT_SECONDS)


class DaemonProcess(Process):
    """A lentilbayd process with its settings file."""

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
        """Returns the log events with this number."""
        out = []
        for line in self.text().splitlines():
            if line.startswith("{") and f"LE-{number}" in line:
                out.append(json.loads(line))
        return out


class Fleet:
    """Daemons and stand-ins of one cluster; kills all of them on exit."""

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
        """Starts a stand-in and returns its port."""
        port = free_port()
        log = self.directory / f"{program}-{port}.log"
        self.others.append(Process([str(self.binaries / program), f"--port={port}", *arguments], log))
        wait_until(lambda: answers(port), f"{program} answers")
        return port


def answers(port: int) -> bool:
    """Returns whether a TCP connection to the port succeeds."""
    try:
        socket.create_connection(("127.0.0.1", port), timeout=1).close()
    except OSError:
        return False
    return True
