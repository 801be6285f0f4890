"""Runs three daemons with stand-ins on loopback under a mixed load and checks the invariants on its records.

Called by utils/quickstart. Stops every process that it started; the exit code is 0 only if all invariants held.
"""

import argparse
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tools/lentilbayd/tests"))
from processes import DaemonProcess, Fleet, call, wait_until

import deployment

DAEMONS = ("d0", "d1", "d2")
TOKEN = "quickstart-admin"
STARTED_EVENT = 100
ANSWER_DELAY_MS = 50
IDLE_OVERHEAD_MS = 50


def now_us() -> int:
    """Microseconds of the monotonic clock, which the stand-ins and the load tool use too."""
    return time.monotonic_ns() // 1_000


class Quickstart:
    def __init__(self, arguments: argparse.Namespace, folder: pathlib.Path) -> None:
        self.arguments = arguments
        self.folder = folder
        self.binaries: pathlib.Path = arguments.bin.resolve()
        self.configuration = folder / "configuration.ini"
        self.token = folder / "token"
        self.token.write_text(TOKEN)
        self.fleet = Fleet(self.binaries)
        self.ports: dict[str, int] = {}
        self.endpoints: list[dict] = []
        self.stops: list[dict] = []

    def start(self) -> None:
        for name, (kind, models) in deployment.ENGINES.items():
            self.ports[name] = self.fleet.add_standin("engine-standin", *kind.arguments())
            self.endpoints.append({"name": name, "services": models, "decode_step_us": kind.decode_step_us,
                                   "prefill_tokens_per_second": kind.prefill_tokens_per_second})
        for name, services in deployment.APPLICATIONS.items():
            call_time = deployment.APPLICATION_CALL_US
            self.ports[name] = self.fleet.add_standin("service-standin", f"--call_time_us={call_time}")
            self.endpoints.append({"name": name, "services": services, "call_time_us": call_time})
        addresses = {name: f"127.0.0.1:{port}" for name, port in self.ports.items()}
        self.configuration.write_text(deployment.configuration(addresses))
        platform = f"http://127.0.0.1:{self.fleet.add_standin('platform-standin')}"
        self.fleet.extra_settings = f"[platform]\ntable = {platform}\nobjects = {platform}\n"
        self.fleet.admin_settings = f"token_hash = {deployment.hash_key(TOKEN, '00')}\n"
        for name in DAEMONS:
            self.fleet.add(name, deployment.REGION, deployment.DATA_CENTRE)
        for it in self.fleet.daemons:
            wait_until(lambda it=it: bool(it.events(STARTED_EVENT)), f"{it.name} listens: {it.text()}")
        self.ctl("configuration", "apply", str(self.configuration), "--wait")
        for it in self.fleet.daemons:
            wait_until(lambda it=it: self.serves(it), f"{it.name} serves: {it.text()}")

    def ctl_flags(self) -> list[str]:
        admin = ",".join(f"http://127.0.0.1:{it.admin_port}" for it in self.fleet.daemons)
        return [f"--admin={admin}", f"--token_file={self.token}"]

    def ctl(self, *words: str) -> None:
        subprocess.run([str(self.binaries / "lentilbayctl"), *words, *self.ctl_flags()], check=True)

    def serves(self, daemon: DaemonProcess) -> bool:
        """Whether a request of the lowest tier is answered, which shows that slots have been distributed."""
        if not daemon.is_running():
            raise AssertionError(f"{daemon.name} ended: {daemon.text()}")
        try:
            status, _ = call(daemon.callers_port, "POST", "/v1/completions",
                             {"model": "grade-summaries", "max_tokens": 1, "prompt": f"probe of {daemon.name}"},
                             {"Authorization": f"Bearer {deployment.KEY_PREFIX}millers"}, timeout=5)
        except OSError:
            return False
        return status == 200

    def send_load(self) -> None:
        daemons = ",".join(f"{it.name}=127.0.0.1:{it.callers_port}" for it in self.fleet.daemons)
        arguments = self.arguments
        subprocess.run([str(self.binaries / "lentilbay-load"), f"--daemons={daemons}", f"--rate={arguments.rate}",
                        f"--count={arguments.requests}", f"--seed={arguments.seed}", "--token_scale=0.05",
                        "--deadline_scale=0.3", "--burst_every_ms=1000", "--burst_size=30", "--resend=0.2",
                        f"--key_prefix={deployment.KEY_PREFIX}", f"--out={self.folder / 'callers.jsonl'}"], check=True)

    def stop(self) -> None:
        """Collects the records and stops all processes. Daemons stop first, so that running requests can finish."""
        for it in self.fleet.daemons:
            if it.is_running():
                requested = now_us()
                exit_code = it.stop()
                self.stops.append({"daemon": it.name, "requested_us": requested, "exited_us": now_us(),
                                   "exit_code": exit_code})
        for name, port in self.ports.items():
            status, body = call(port, "GET", "/records")
            assert status == 200, f"{name} returned status {status} for its records"
            (self.folder / f"{name}.records.json").write_bytes(body)
        for it in self.fleet.others:
            assert it.stop() == 0, f"a stand-in failed: {it.text()}"

    def verify(self) -> int:
        """Returns the exit code of lentilbay-verify."""
        run = {"endpoints": self.endpoints, "stops": self.stops,
               "options": {"answer_delay_ms": ANSWER_DELAY_MS, "idle_overhead_ms": IDLE_OVERHEAD_MS}}
        (self.folder / "run.json").write_text(json.dumps(run))
        return subprocess.run([str(self.binaries / "lentilbay-verify"), f"--run={self.folder}"], check=False).returncode

    def stay(self) -> None:
        """Prints commands to try and waits for SIGINT or SIGTERM."""
        first = self.fleet.daemons[0]
        print(f"""
Three daemons and their stand-ins are running. Type in another terminal:

  curl -H 'Authorization: Bearer {deployment.KEY_PREFIX}brokers' http://127.0.0.1:{first.callers_port}/v1/chat/completions \\
    -d '{{"model": "price-answers", "max_tokens": 20, "messages": [{{"role": "user", "content": "cathode, 5 t"}}]}}'
  {self.binaries}/lentilbayctl status {' '.join(self.ctl_flags())}

Ctrl-C stops everything.""", flush=True)
        stop_requested = threading.Event()
        for it in (signal.SIGINT, signal.SIGTERM):
            signal.signal(it, lambda *_: stop_requested.set())
        stop_requested.wait()


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bin", type=pathlib.Path, default=ROOT / "build/bin", help="folder of the built programs")
    parser.add_argument("--stay", action="store_true", help="leave everything running until Ctrl-C")
    parser.add_argument("--requests", type=int, default=300)
    parser.add_argument("--rate", type=float, default=60, help="requests a second")
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        quickstart = Quickstart(arguments, pathlib.Path(folder))
        with quickstart.fleet:
            quickstart.start()
            print(f"sending {arguments.requests} requests to {len(DAEMONS)} daemons", flush=True)
            quickstart.send_load()
            if arguments.stay:
                quickstart.stay()
            quickstart.stop()
            return quickstart.verify()


if __name__ == "__main__":
    sys.exit(main())
