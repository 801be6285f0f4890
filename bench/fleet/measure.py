"""Measures the control overhead of daemons by number of daemons and endpoints: processor time, memory, peer traffic.

Runs daemon processes on loopback, reads /proc and their metrics, and writes the samples as JSON.
"""

import argparse
import asyncio
import contextlib
import json
import os
import pathlib
import re
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from dataclasses import asdict, dataclass

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools/lentilbayd/tests"))
sys.path.insert(0, str(ROOT / "tools/quickstart"))
from processes import DaemonProcess, Fleet, answers, call, free_port, wait_until

import deployment

SETTLE_SECONDS = 8
MEASURE_SECONDS = 15
DAEMON_COUNTS = (3, 6, 12, 24)
# Daemons and idle engines. 16 daemons with 458 engines are one data centre of the target fleet.
IDLE_ENGINE_COUNTS = ((6, 100), (6, 400), (6, 1500), (16, 458))
REQUESTS_PER_SECOND_PER_DAEMON = 5
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True)
class Sample:
    """Means over the daemons of one run; greatest_sent_bytes_per_second is their maximum."""

    daemons: int
    endpoints: int
    requests_per_second: float
    cpu_percent: float
    memory_mb: float
    sent_bytes_per_second: float
    greatest_sent_bytes_per_second: float


def cpu_seconds(pid: int) -> float:
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND


def memory_mb(pid: int) -> float:
    return int(re.search(r"VmRSS:\s+(\d+) kB", pathlib.Path(f"/proc/{pid}/status").read_text())[1]) / 1024


def bytes_sent(daemon: DaemonProcess) -> float:
    _, body = call(daemon.admin_port, "GET", "/metrics")
    lines = [it for it in body.decode().splitlines() if it.startswith("lentilbay_peer_bytes_sent_total{")]
    assert lines, f"{daemon.name} exports no peer metrics"
    return sum(float(it.rsplit(" ", 1)[1]) for it in lines)


def endpoint_section(name: str, address: str) -> str:
    return (f"\n[endpoint {name}]\naddress = {address}\nregion = {deployment.REGION}\n"
            f"data_centre = {deployment.DATA_CENTRE}\nservices = grade-summaries\ngeneration = g1\nslots = 4\n"
            f"kv_tokens = 100000\n")


async def serve_load_requests(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serves the load requests to an idle engine; any other request closes the connection."""
    body = b'{"running": 0, "waiting": 0, "kv_tokens_used": 0, "kv_tokens": 100000, "age_ms": 0, "leaving": false}'
    head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n".encode()
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        while (await reader.readuntil(b"\r\n\r\n")).startswith(b"GET /load "):
            writer.write(head + body)
            await writer.drain()
    writer.close()


def start_idle_engines(count: int) -> list[str]:
    """Serves the given number of idle engines in a daemon thread; returns their addresses."""
    ports = [free_port() for _ in range(count)]

    async def serve() -> None:
        for port in ports:
            await asyncio.start_server(serve_load_requests, "127.0.0.1", port)
        await asyncio.Event().wait()

    threading.Thread(target=lambda: asyncio.run(serve()), daemon=True).start()
    for port in ports:
        wait_until(lambda port=port: answers(port), "an idle engine accepts connections")
    return [f"127.0.0.1:{it}" for it in ports]


def start_fleet(fleet: Fleet, configuration: pathlib.Path, daemons: int, extra_endpoints: int) -> int:
    """Starts stand-ins and daemons; returns the number of endpoints."""
    addresses = {}
    for name, (kind, _) in deployment.ENGINES.items():
        addresses[name] = f"127.0.0.1:{fleet.add_standin('engine-standin', *kind.arguments())}"
    for name in deployment.APPLICATIONS:
        addresses[name] = f"127.0.0.1:{fleet.add_standin('service-standin')}"
    document = deployment.configuration(addresses)
    for i, address in enumerate(start_idle_engines(extra_endpoints)):
        document += endpoint_section(f"idle-{i}", address)
    configuration.write_text(document)
    for i in range(daemons):
        fleet.add(f"d{i}", deployment.REGION, deployment.DATA_CENTRE)
    for it in fleet.daemons:
        assert it.is_running(), f"{it.name} exited: {it.text()}"
        wait_until(lambda it=it: len(it.events(400)) >= daemons - 1,
                   f"{it.name} has found all peers: {it.text()[-2000:]}", 60)
    return len(addresses) + extra_endpoints


def send_load(fleet: Fleet, rate: float, seconds: float) -> subprocess.Popen:
    daemons = ",".join(f"{it.name}=127.0.0.1:{it.callers_port}" for it in fleet.daemons)
    return subprocess.Popen([str(fleet.binaries / "lentilbay-load"), f"--daemons={daemons}", f"--rate={rate}",
                             f"--count={int(rate * seconds)}", "--token_scale=0.05", "--deadline_scale=0.3",
                             f"--out={fleet.directory / 'callers.jsonl'}"])


def measure(binaries: pathlib.Path, daemons: int, extra_endpoints: int, rate_per_daemon: float) -> Sample:
    with tempfile.TemporaryDirectory() as folder:
        configuration = pathlib.Path(folder) / "configuration.ini"
        with Fleet(binaries, f"[configuration]\nfile = {configuration}\n") as fleet:
            endpoints = start_fleet(fleet, configuration, daemons, extra_endpoints)
            rate = rate_per_daemon * daemons
            load = send_load(fleet, rate, SETTLE_SECONDS + MEASURE_SECONDS + 5) if rate else None
            time.sleep(SETTLE_SECONDS)
            begin = time.monotonic()
            cpu = {it.name: cpu_seconds(it.pid) for it in fleet.daemons}
            sent = {it.name: bytes_sent(it) for it in fleet.daemons}
            time.sleep(MEASURE_SECONDS)
            seconds = time.monotonic() - begin
            cpu_percent = [100 * (cpu_seconds(it.pid) - cpu[it.name]) / seconds for it in fleet.daemons]
            rates = [(bytes_sent(it) - sent[it.name]) / seconds for it in fleet.daemons]
            memory = [memory_mb(it.pid) for it in fleet.daemons]
            if load is not None:
                load.kill()
                load.wait()
    return Sample(daemons, endpoints, rate, round(statistics.mean(cpu_percent), 3), round(statistics.mean(memory), 2),
                  round(statistics.mean(rates), 1), round(max(rates), 1))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bin", type=pathlib.Path, default=ROOT / "build/bin")
    parser.add_argument("--out", type=pathlib.Path, default=ROOT / "bench/fleet/samples.json")
    arguments = parser.parse_args()
    runs = [(it, 0, 0.0) for it in DAEMON_COUNTS]
    runs += [(*it, 0.0) for it in IDLE_ENGINE_COUNTS]
    runs += [(it, 0, float(REQUESTS_PER_SECOND_PER_DAEMON)) for it in DAEMON_COUNTS]
    samples = []
    for daemons, extra_endpoints, rate in runs:
        samples.append(measure(arguments.bin.resolve(), daemons, extra_endpoints, rate))
        print(samples[-1], flush=True)
    arguments.out.write_text(json.dumps([asdict(it) for it in samples], indent=1) + "\n")


if __name__ == "__main__":
    main()
