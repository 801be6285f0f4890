"""A small deployment for the cases: daemons as separate processes, the store's stand-in, engines, clients, a record.

The daemons run the command of the deploy file with the settings of a small site. Everything listens on loopback
addresses of this process and on ports that were free.
"""

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tools", "soak"))
from standins import Server, Store, build_response, read_chunk  # noqa: E402,F401

DAEMON = [os.path.join(ROOT, "target", "bin", "lentilbayd"), "--platform"]
# The bounds of the site.
BOUNDS = {"SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2500,
          "GraceS": 8, "LossSlackMs": 200, "ConfigDeadlineMs": 2500, "RollbackSlackMs": 250, "OuterMs": 5000,
          "StrictRevoke": True, "RevokeMs": 5000, "RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "BudgetSlack": 56,
          "QuotaWindowS": 8, "QuotaOvershoot": 0.1, "QuotaSlack": 140000, "RecoveryS": 12, "PassMs": 200,
          "RetryAfterS": 10}
LIMITS = {"MaxHeaderBytes": 32768, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 15000}
KEY = "key-1"


def free_port(host: str) -> int:
    with socket.socket() as it:
        it.bind((host, 0))
        return it.getsockname()[1]


class Record:
    """record.txt of a case: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: str) -> None:
        self.began_at = time.monotonic()
        self.out = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def write(self, text: str) -> None:
        self.out.write(f"{time.monotonic() - self.began_at:9.3f} {text}\n")
        self.out.flush()


class Deployment:
    def __init__(self, case: str, daemons: int, memory_mb: int = 260) -> None:
        self.folder = os.path.dirname(os.path.abspath(case))
        self.record = Record(self.folder)
        self.network = f"127.{10 + os.getpid() % 200}.{int(time.time()) % 250 + 1}"
        self.count, self.memory_mb = daemons, memory_mb
        self.store = Store()
        self.processes: dict = {}
        self.settings: dict = {}
        self.temporary = tempfile.TemporaryDirectory(prefix="case-")
        self.version = 1
        self.routes: list = []
        self.services: list = []
        self.tenants = [{"Name": "t", "ApiKeys": [KEY]}]

    async def listen_store(self) -> None:
        self.store_address = (f"{self.network}.1", free_port(f"{self.network}.1"))
        await self.store.listen(*self.store_address)

    async def configure(self) -> None:
        self.version += 2
        await self.store.put("op", "config", {"Version": self.version, "Routes": self.routes, "Limits": LIMITS,
                                              "Services": self.services, "Tenants": self.tenants})
        self.record.write(f"operator: configuration {self.version} acknowledged")

    def address_of(self, i: int) -> str:
        return f"{self.network}.{80 + i}"

    def prepare(self, i: int, store=None) -> None:
        address = self.address_of(i)
        ports = [free_port(address) for _ in range(2)]
        store = store or self.store_address
        self.settings[i] = {
            "Node": f"edge-a-{i}", "Role": "lentilbay", "MachineClass": "edge", "Serves": ["edge"], "Ip": address,
            "Zone": "a", "Region": "r", "Zones": {"a": "r"},
            "Listen": {"Frontend": f"{address}:{ports[0]}", "Ready": f"{address}:{ports[1]}"},
            "InternalPorts": [7600, 7615], "Bootstrap": True, "LossCounts": False,
            "Limits": {"CpuQuota": 0.25, "Cores": 1, "MemoryMb": self.memory_mb, "MaxFds": 4100, "LinkMbps": 1000.0,
                       "DiskMb": 0},
            "DataDir": None, "Discovery": "platform", "Entry": "vip", "HeartbeatMs": 1200, "Bounds": BOUNDS,
            "Contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
                          "quota", "platform"],
            "FaultTolerance": {"Nodes": 2, "Zones": 0, "Regions": 0},
            "Platform": {"Addr": f"{store[0]}:{store[1]}", "form": "table", "WritesPerS": 400, "ReadsPerS": 2000,
                         "TxMs": 5.0, "PartWritesS": 200, "RowBytes": 65536, "CrossShard": False, "HistoryS": 20,
                         "BlobBytes": 8388608, "BlobMs": 25.0, "BlobMbS": 80.0}}

    def spawn(self, i: int) -> None:
        path = os.path.join(self.temporary.name, f"edge-{i}.json")
        with open(path, "w", encoding="utf-8") as out:
            json.dump(self.settings[i], out)
        log = open(os.path.join(self.temporary.name, f"edge-{i}.log"), "ab")
        self.processes[i] = subprocess.Popen(
            DAEMON, stdout=log, stderr=log, cwd=ROOT,
            env={"LENTILBAY_CONFIG": path, "PATH": os.environ["PATH"], "HOME": self.temporary.name, "LANG": "C.UTF-8"})
        self.settings[i]["Bootstrap"] = False
        self.record.write(f"platform: daemon {i} started")

    async def start_daemons(self) -> bool:
        for i in range(self.count):
            if i not in self.settings:
                self.prepare(i)
            self.spawn(i)
        return all([await self.is_ready(i, 10) for i in range(self.count)])

    async def is_ready(self, i: int, seconds: float) -> bool:
        host, port = self.settings[i]["Listen"]["Ready"].split(":")
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /lentilbay/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if b" 200 " in line:
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        return False

    def frontend(self, i: int) -> tuple:
        host, port = self.settings[i]["Listen"]["Frontend"].split(":")
        return host, int(port)

    def signal(self, i: int, number: int) -> None:
        self.record.write(f"platform: {signal.Signals(number).name} to daemon {i}")
        self.processes[i].send_signal(number)

    def ended(self) -> list:
        """The daemons whose process has ended, with the exit status."""
        return [(i, it.returncode) for i, it in self.processes.items() if it.poll() is not None]

    def clean_up(self) -> None:
        for it in self.processes.values():
            if it.poll() is None:
                it.send_signal(signal.SIGCONT)
                it.kill()
                it.wait()
        if keep := os.environ.get("KEEP_LOGS"):
            import shutil
            shutil.copytree(self.temporary.name, keep, dirs_exist_ok=True)
        self.temporary.cleanup()


async def read_answer(reader) -> tuple:
    """Returns status, headers, body and whether the answer is complete."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.lower()] = value.strip()
    status = int(lines[0].split(" ")[1])
    if "content-length" in headers:
        return status, headers, await reader.readexactly(int(headers["content-length"])), True
    body = b""
    if status == 204 or "transfer-encoding" not in headers:
        return status, headers, body, True
    while True:
        try:
            chunk = await read_chunk(reader)
        except (asyncio.IncompleteReadError, OSError):
            return status, headers, body, False
        if not chunk:
            return status, headers, body, True
        body += chunk


def run_case(play) -> int:
    """Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    # Ended from outside, it ends what it has started as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        return asyncio.run(play())
    except Exception as error:  # noqa: BLE001
        print(f"the case could not run: {error!r}")
        return 2
