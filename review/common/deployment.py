"""A small deployment on loopback for the cases of this review.

The daemons are the program and the arguments of deploy/system.toml; store, engines and links are the stand-ins of
tools/soak. Each run has a loopback network and a temporary folder of its own.
"""

import asyncio
import json
import os
import random
import re
import signal
import subprocess
import sys
import tempfile
import time
import uuid

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tools", "soak"))

from standins import Endpoint, Link, Store  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEY = "key-of-t"
BOUNDS = {"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2500, "GraceS": 8,
          "LossSlackMs": 200, "ConfigDeadlineMs": 2500, "RollbackSlackMs": 250, "OuterMs": 5000, "StrictRevoke": True,
          "RevokeMs": 5000, "RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "BudgetSlack": 56, "QuotaWindowS": 8,
          "QuotaOvershoot": 0.1, "QuotaSlack": 140000, "RecoveryS": 12, "PassMs": 200, "RetryAfterS": 10}


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run, in order, with the time since the start."""

    def __init__(self, folder: str) -> None:
        self.out = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began_at = time.monotonic()

    def write(self, text: str) -> None:
        self.out.write(f"{time.monotonic() - self.began_at:8.3f} {text}\n")
        self.out.flush()


def run_command() -> list:
    """The command of the only role in the deploy file."""
    with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as deploy:
        return re.search(r'^run = "(.*)"$', deploy.read(), re.MULTILINE).group(1).split()


class SoundRandom(random.Random):
    """Lets a stand-in engine reject nothing."""

    def random(self) -> float:
        return 0.5


class Deployment:
    """Store, engines with one link for each daemon, and daemons."""

    def __init__(self, record: Record, daemons: int) -> None:
        self.record, self.daemons = record, daemons
        pid = os.getpid()
        self.network = f"127.{40 + pid % 200}.{pid // 200 % 250}"
        self.folder = tempfile.TemporaryDirectory()
        self.store = Store()
        self.executions: dict = {}
        self.engines: list = []
        self.links: dict = {i: [] for i in range(daemons)}
        self.processes: dict = {}
        self.version = 1
        self.rng = random.Random(1)

    async def start_store(self) -> None:
        await self.store.listen(f"{self.network}.1", 7000)
        for i in range(self.daemons):
            # Each daemon sees the engines at the addresses of its own links.
            await asyncio.start_server(self.store.serve, f"{self.network}.1", 7100 + i, backlog=512)
            self.store.views[7100 + i] = {}

    def address_of(self, n: int) -> str:
        return f"{self.network}.20:{7001 + n}"

    async def add_engine(self, engine: Endpoint) -> int:
        """Starts an engine, and a link to it for each daemon; it is not listed yet."""
        n = len(self.engines)
        self.engines.append(engine)
        await engine.listen(f"{self.network}.20", 7001 + n)
        for i in range(self.daemons):
            link = Link((f"{self.network}.20", 7001 + n), (f"{self.network}.{150 + i}", 7001 + n))
            await link.start()
            self.links[i].append(link)
            self.store.views[7100 + i][self.address_of(n)] = f"{link.address[0]}:{link.address[1]}"
        return n

    async def list_engine(self, engine: Endpoint, state: str = "ready") -> None:
        n = self.engines.index(engine)
        await self.store.put("servers", engine.name, engine.row(self.address_of(n), state))
        self.record.write(f"store: entry of engine {engine.name} ({engine.version}) is {state}")

    async def configure(self, routes: list, services: list, tenants: list) -> None:
        self.version += 1
        await self.store.put("op", "config", {"Version": self.version, "Routes": routes, "Services": services,
                                              "Tenants": tenants})
        self.record.write(f"store: configuration {self.version} acknowledged")

    def frontend(self, i: int) -> tuple:
        return f"{self.network}.{80 + i}", 8000

    def spawn(self, i: int, is_first: bool = True) -> None:
        address = f"{self.network}.{80 + i}"
        settings = {
            "Node": f"edge-a-{i + 1}", "Role": "lentilbay", "MachineClass": "edge", "Serves": ["edge"], "Ip": address,
            "Zone": "a", "Region": "r", "Zones": {"a": "r"},
            "Listen": {"Frontend": f"{address}:8000", "Ready": f"{address}:8001"}, "InternalPorts": [7600, 7615],
            "Seeds": [], "Bootstrap": is_first,
            "Limits": {"CpuQuota": 0.25, "Cores": 1, "MemoryMb": 260, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
            "Discovery": "platform", "Entry": "vip", "HeartbeatMs": 1200, "Bounds": BOUNDS,
            "Platform": {"Addr": f"{self.network}.1:{7100 + i}", "form": "table", "WritesPerS": 400, "ReadsPerS": 2000,
                         "TxMs": 5.0, "PartWritesS": 200, "RowBytes": 65536, "HistoryS": 20}}
        path = os.path.join(self.folder.name, f"edge-{i}.json")
        with open(path, "w", encoding="utf-8") as out:
            json.dump(settings, out)
        with open(os.path.join(self.folder.name, f"edge-{i}.log"), "ab") as log:
            self.processes[i] = subprocess.Popen(run_command(), cwd=ROOT, stdout=log, stderr=log,
                                                 env={"LENTILBAY_CONFIG": path, "PATH": os.environ["PATH"]})

    async def wait_until_ready(self, seconds: float = 15.0) -> None:
        end = time.monotonic() + seconds
        for i in range(self.daemons):
            while not await self.is_ready(i):
                if time.monotonic() > end:
                    raise CannotRun(f"daemon {i} did not become ready")
                await asyncio.sleep(0.1)
        self.record.write("all daemons are ready")

    async def is_ready(self, i: int) -> bool:
        try:
            reader, writer = await asyncio.open_connection(f"{self.network}.{80 + i}", 8001)
            writer.write(b"GET /lentilbay/readyz HTTP/1.1\r\nHost: h\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    def log_of(self, i: int) -> str:
        with open(os.path.join(self.folder.name, f"edge-{i}.log"), encoding="utf-8", errors="replace") as log:
            return log.read()

    def stop(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        if folder := os.environ.get("REVIEW_LOGS"):
            for i in self.processes:
                with open(os.path.join(folder, f"edge-{i}.log"), "w", encoding="utf-8") as out:
                    out.write(self.log_of(i))
        self.folder.cleanup()


def new_id() -> str:
    return uuid.uuid4().hex[:16]


def encode_request(target: str, request: str, fields: dict, body: bytes = b"", method: str = "POST") -> bytes:
    lines = [f"{method} {target} HTTP/1.1", "Host: h", f"X-Request-Id: {request}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def main(folder: str, case) -> None:
    """Runs `case(record)`, which returns the list of violations, and exits as the cases of this review do."""
    record = Record(folder)
    record.write(f"TROUBLE={1 if HAS_TROUBLE else 0}")
    try:
        violations = asyncio.run(asyncio.wait_for(case(record), 110))
    except Exception as error:  # pylint: disable=broad-exception-caught
        # Whatever ends a case early says nothing about the rule.
        record.write(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}", flush=True)
        os._exit(2)
    for it in violations:
        record.write(f"VIOLATION {it}")
        print(it)
    record.write(f"{len(violations)} violations")
    print(f"{len(violations)} violations", flush=True)
    # Streams that were left open would complain about the event loop that has ended.
    os._exit(1 if violations else 0)
