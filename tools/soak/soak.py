"""Fault-injection soak test: runs daemon processes with stand-ins and injects faults from outside.

Checks, from what clients and endpoints observe: a non-idempotent request runs at most once; a request refused as not
run did not run; responses and streams are complete, belong to the client's request and hold no bytes of another response; a revoked key runs nothing
after the revocation bound; a draining endpoint and an old route get nothing after their bounds; an endpoint that
states a limit, that it leaves or that it wants a pause gets no more than it allows; no permitted request is denied; a
graceful stop ends in time; service recovers after the last fault; a part of a prompt that crashes engines, or a
request that crashes endpoints, reaches no more of them once it is known, while other requests are served; a stream has
events from one software version only, and is resumed while engines of that version serve; daemons that have lost their
links to the endpoints serve their clients beside the others; endpoints that fail when they reject requests fail rarely,
and nobody's requests are blamed for it; a request is not sent a second time while its endpoint is silent for a second;
requests of clients that have left reach no endpoint, also if the daemon gets no processor time meanwhile; a configuration
of many routes is in force in time over links of little bandwidth; what another writer adds to the endpoints' entries, and
answers that an endpoint writes twice, harm nobody; a daemon that the store turns away knows from others which endpoints
have left; each request that comes while a daemon stops is answered; a request runs while its client waits, whatever its
daemon was kept from doing; a stream ends as whole only after its last event,
however its engine ends it; requests that fail at each endpoint take none from others; a new software version that is bad
gets few requests and is reverted, and a good one is adopted in time.
All of that holds also after the store came back from an older copy, and at daemons that start before the operator has
written again what the store has lost.

    soak.py --daemon build/bin/lentilbayd [--seed N] [--seconds S] [--runs N] [--daemons N] [--endpoints N]
        [--applications N] [--clients N] [--streams N] [--leavers N] [--links] [--faults KIND,...]
        [--link-modes MODE,...] [--config-seconds S] [--work S] [--other-daemon BINARY] [--odd N] [--endings KIND,...]
        [--events N] [--tail S] [--rollouts KIND,...] [--copied SHARE]

With --other-daemon, a build of an earlier commit, all daemons begin with that build, and the fault "upgrade" replaces one
by the other of the two builds, in either direction. All checks hold meanwhile.
"""

import argparse
import asyncio
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
import uuid

from odd import OddTraffic
from prompts import PromptTraffic
from rollouts import CANARY_SHARE, CANARY_SLACK, ROLLBACK_SECONDS, Rollouts
from standins import Endpoint, Link, NoAnswer, Proxy, Store, read_chunk

REVOKE_SECONDS = 5.0
GRACE_SECONDS = 8.0
DRAIN_SECONDS = 2.5
CONFIG_SECONDS = 2.5
# An endpoint's limit holds for the requests in any LIMIT_WINDOW seconds, from daemons that have known it for
# TOLD_SECONDS.
LIMIT_WINDOW = 4.0
TOLD_SECONDS = 0.5
# What the store accepts of all daemons together.
STORE_CALLS_PER_SECOND = {"read": 2000, "write": 400}
# Time-bounded checks hold for a daemon this long after the last fault that affected it.
CONTACT_SECONDS = 3.0
# Daemons that are partitioned from all endpoints serve this fraction of what the others do, or fail at most so many
# requests.
PARTITION_SHARE = 2 / 3
PARTITION_FAILURES = 10
PARTITION_FAILED_SHARE = 1 / 50
# Those that meet each other most often in practice are drawn twice as often.
FAULT_KINDS = ["kill", "pause", "term", "store", "store", "endpoint", "drain", "drain", "crash", "configure",
               "configure", "limit", "leave", "busy", "revoke", "herd", "hup", "rewind"]
# "repeat" repeats a request that crashes each endpoint which runs it.
CRASH_FAULT_KINDS = ["repeat"]
# "organisation" adds an organisation and removes it; "gap" is a "rewind" whose lost configuration is written again late.
CONFIGURATION_FAULT_KINDS = ["organisation", "gap"]
# "brittle" lets the endpoints of a service state that rejections make them fail.
# "silence" stops some endpoints for about a second.
LOAD_FAULT_KINDS = ["brittle", "silence"]
# "starve" gives a daemon no processor time for a while, several times; "grow" lets the operator write a configuration of
# many routes, over links to the store of little bandwidth.
SCARCITY_FAULT_KINDS = ["starve", "grow"]
MANY_ROUTES = 1400
STORE_BANDWIDTH = 160_000
# Seconds between two such configurations.
GROW_PERIOD = 6.0
# Clients that leave wait so long for an answer; afterwards their requests reach an endpoint within LEFT_SECONDS, except
# for a few.
LEAVE_SECONDS = 0.4
LEFT_SECONDS = 0.5
MOST_LATE_SENDS = 3
# How long clients want to wait for an answer. They keep their connection for longer. A request reaches its endpoint at
# most LATE_ARRIVAL_SECONDS later, and the endpoint is told at most that much more time than is left, except for a few
# requests: a daemon may be stopped between looking at the clock and sending.
DEADLINE_SECONDS = 2.5
LATE_ARRIVAL_SECONDS = 0.5
# What happens while this process itself gets no processor time for so long is not judged by these bounds: the endpoints
# are part of it, and read late what the daemons have sent in time.
STALL_SECONDS = 0.15
# These faults hold requests up on their way to an endpoint, or there.
DELAYING_FAULT_KINDS = {"endpoint", "partition", "silence", "brittle"}
# "rejection" lets an endpoint write rejections without a request id twice; "copy" lets some busy endpoints write answers
# with one twice; "entry" lets another writer add entries to those of the endpoints: unreadable ones, and some at the
# address of an endpoint that serves.
WRITER_FAULT_KINDS = ["rejection", "copy", "entry"]
# For so many seconds, a fraction of the endpoints writes a fraction of its answers (--copied) twice.
COPY_SECONDS, COPYING_ENDPOINTS = 5.0, 0.6
# The share of requests that clients are served in spite of such entries, if nothing else goes wrong, and the share that
# is sent to such an address.
SERVED_SHARE_BESIDE_ENTRIES = 0.9
MISDIRECTED_SHARE = 0.05
# "turn_away" lets the store answer some daemons no more while others read it; "stop" stops a daemon and sends it requests
# that may be executed once and take long.
PEER_FAULT_KINDS = ["turn_away", "stop"]
# Daemons that the store turns away know of a departure so much later than the others at most.
TURNED_AWAY_SECONDS = 1.0
# Requests sent to a daemon that stops, and the seconds after SIGTERM in which they are sent.
LATE_REQUESTS = 6
LATE_SECONDS = 2.4
# "upgrade" replaces a daemon by one of the other build.
BUILD_FAULT_KINDS = ["upgrade"]
# "partition" takes the links to all endpoints from some daemons; needs --links.
LINK_FAULT_KINDS = ["partition"]
LINK_MODES = ["hang", "hang", "reset", "refuse", "one_way", "flap"]
# Kinds that need --streams: "prompt" sends requests with a part that crashes engines, "release" replaces engines by
# ones of another software version.
STREAM_FAULT_KINDS = ["prompt", "release"]
# "rollout" lets the operator order a new software version of a service, which may be bad.
ROLLOUT_FAULT_KINDS = ["rollout"]
# Request kinds and the types of their routes.
KINDS = {"once": "unsafe", "safe": "safe", "stream": "stream", "moved": "safe"}
ROUTES = KINDS | {"long": "stream", "slow": "unsafe"}
# How long a request on a route of each kind may take; the longest streams outlast several faults.
TIMEOUT_MS = {"long": 12000, "slow": 12000}


class Soak:
    """One run: the deployment, the injected faults and the findings. Random choices are drawn from the seed."""

    def __init__(self, options: argparse.Namespace, seed: int, folder: str) -> None:
        self.seconds, self.folder = options.seconds, folder
        # The builds, and which of them each daemon runs.
        self.binaries = [options.other_daemon or options.daemon, options.daemon]
        self.builds = [0] * options.daemons
        self.fault_kinds = options.faults.split(",")
        self.daemons, self.endpoint_count, self.streams = options.daemons, options.endpoints, options.streams
        self.clients, self.applications = options.clients, options.applications
        self.has_links, self.link_modes = options.links, options.link_modes.split(",")
        # The links of each daemon, the partitions as [begin, end, daemons], and what clients got from each daemon as
        # (time, daemon, whether the request was served).
        self.links: dict = {}
        self.partitions: list = []
        # The periods in which the endpoints of a service stated that they are brittle, as [begin, end, number of
        # endpoints, times of failures].
        self.brittle_periods: list = []
        # When endpoints were silent, as (begin, end, endpoint).
        self.silences: list = []
        self.attempts: list = []
        # When this process got no processor time, as (begin, end).
        self.stalls: list = []
        self.bodies: dict = {}
        self.rng = random.Random(seed)
        # A loopback network per run, so that concurrent runs do not use the same addresses.
        self.network = f"127.{40 + os.getpid() % 200}.{seed % 250}"
        self.executions: dict = {}
        self.endpoints: list = []
        # Endpoints that have ended and were replaced.
        self.former_endpoints: list = []
        self.proxies: dict = {}
        self.store = Store()
        self.processes: dict = {}
        self.restarting: set = set()
        self.log_offsets: dict = {}
        self.crashed: set = set()
        self.findings: list = []
        self.counts: dict = {}
        self.config_version = 1
        # Whether each key is in the newest configuration, and when those that are not were taken away.
        self.keys = {"key-kept": True, "key-revoked": True}
        self.revoked_at: dict = {}
        # Organisations that come and go, each with a route and a key, by the name of the route, with the time at which
        # the configuration with them was acknowledged.
        self.added: dict = {}
        # Intervals [begin, end] of the faults that affected each daemon, and of each endpoint's draining; end is
        # infinite while they last.
        self.faulted: dict = {i: [] for i in range(self.daemons)}
        self.drained: dict = {}
        # The intervals in which the store turned each daemon away.
        self.turned_away: dict = {i: [] for i in range(self.daemons)}
        # Faults that interrupted each daemon itself, and the periods in which endpoints stated a limit, as
        # [begin, end, endpoint, limit].
        self.interrupted: dict = {i: [] for i in range(self.daemons)}
        self.limited: list = []
        # The periods in which endpoints stated that they leave, as [begin, end, endpoint].
        self.left: list = []
        # When each service became the target of the route "moved".
        self.moves: list = []
        self.requests: list = []
        self.faults_ended = False
        self.stopping = False
        self.contact_seconds = CONTACT_SECONDS
        self.config_seconds = options.config_seconds
        self.leavers, self.work = options.leavers, options.work
        # When the client of a request left, by request.
        self.abandoned: dict = {}
        # Routes that no client uses.
        self.unused_routes = 0
        self.is_growing = False
        self.prompts = PromptTraffic(self)
        self.odd, self.odd_clients = OddTraffic(self), options.odd
        self.rollouts, self.rollout_kinds = Rollouts(self), options.rollouts.split(",")
        self.endings, self.tail = options.endings.split(","), options.tail
        self.copied = options.copied
        self.releases = 0
        self.is_rewinding = False
        # The operator writes nothing while this is cleared.
        self.operator_writes = asyncio.Event()
        self.operator_writes.set()

    def add_finding(self, rule: str, detail: str) -> None:
        self.findings.append(f"{rule}: {detail}")

    def create_loop(self):
        return asyncio.new_event_loop()

    # --- deployment ---

    async def start(self) -> None:
        await self.store.listen(f"{self.network}.1", 7000)
        for i in range(self.endpoint_count):
            service = "app" if i < self.applications else "llm"
            endpoint = self.create_endpoint(f"i-{i}", service, "v1")
            await self.listen(i, endpoint)
            proxy = Proxy((f"{self.network}.20", 7001 + i))
            await proxy.listen(f"{self.network}.40", 7001 + i)
            self.proxies[f"endpoint-{i}"] = proxy
            self.endpoints.append(endpoint)
            await self.store.put("servers", endpoint.name, endpoint.row(self.address_of(i)))
        await self.configure()
        for i in range(self.daemons):
            if self.has_links:
                await self.create_links(i)
            proxy = Proxy((f"{self.network}.1", 7100 + i if self.has_links else 7000))
            await proxy.listen(f"{self.network}.60", 7000 + i)
            self.proxies[f"store-{i}"] = proxy
            self.spawn(i, first=True)

    async def create_links(self, i: int) -> None:
        """Lets a daemon reach the endpoints through links of its own."""
        self.links[i] = [Link((f"{self.network}.40", 7001 + n), (f"{self.network}.{150 + i}", 7001 + n))
                         for n in range(self.endpoint_count)]
        for link in self.links[i]:
            await link.start()
        self.store.views[7100 + i] = {self.address_of(n): f"{link.address[0]}:{link.address[1]}"
                                      for n, link in enumerate(self.links[i])}
        await asyncio.start_server(self.store.serve, f"{self.network}.1", 7100 + i, backlog=512)

    def create_endpoint(self, name: str, service: str, version: str) -> Endpoint:
        endpoint = Endpoint(name, service, self.executions, self.rng)
        endpoint.version, endpoint.work, endpoint.tail = version, self.work, self.tail
        if service == "llm":
            endpoint.ending = self.endings[(len(self.endpoints) + len(self.former_endpoints)) % len(self.endings)]
        endpoint.crashing_parts, endpoint.crashed_by = self.prompts.crashing_parts, self.prompts.engine_crashed
        endpoint.crashing_bodies = self.prompts.crashing_bodies
        return endpoint

    def address_of(self, n: int) -> str:
        """The address at which the daemons reach an endpoint."""
        return f"{self.network}.40:{7001 + n}"

    async def listen(self, n: int, endpoint: Endpoint) -> None:
        await endpoint.listen(f"{self.network}.20", 7001 + n)

    def route_types(self) -> dict:
        """The type of each route in the configuration, by name."""
        unused = (f"unused-{n}-{self.config_version}" for n in range(self.unused_routes))
        return ROUTES | dict.fromkeys(self.added, "safe") | dict.fromkeys(unused, "safe")

    async def configure(self) -> None:
        await self.operator_writes.wait()
        moved = "llm" if len(self.moves) % 2 else "app"
        services = {"stream": "llm", "long": "llm", "moved": moved}
        routes = [{"Name": kind, "Host": "h", "Prefix": f"/{kind}/", "Type": wire,
                   "TimeoutMs": TIMEOUT_MS.get(kind, 3000), "SloMs": 300,
                   "Service": services.get(kind, "app"), "Attempts": 1 if kind == "once" else 2,
                   "Resumable": wire == "stream", "Priority": 0} for kind, wire in self.route_types().items()]
        self.config_version += self.rng.randint(1, 3)
        await self.store.put("op", "config", {
            "Version": self.config_version, "Routes": routes,
            "Services": [{"Name": "app", "MaxConns": 100},
                         {"Name": "llm", "MaxConns": 100, "Engine": {"Slots": 6, "Stride": 6}}],
            "Tenants": [{"Name": "t", "ApiKeys": [key for key in ("key-kept", "key-revoked") if self.keys[key]]}]
                       + [{"Name": f"t-{name}", "ApiKeys": [f"key-{name}"]} for name in self.added]})
        self.moves.append((time.monotonic(), moved))

    def spawn(self, i: int, first: bool = False) -> None:
        address = f"{self.network}.{80 + i}"
        settings = {
            "Node": f"edge-{i}", "Ip": address, "Zone": "a", "Region": "r", "Zones": {"a": "r"},
            "Listen": {"Frontend": f"{address}:8000", "Ready": f"{address}:8001"}, "InternalPorts": [7600, 7615],
            "Bootstrap": first, "Limits": {"CpuQuota": 1, "MemoryMb": 256},
            "Bounds": {"RevokeMs": REVOKE_SECONDS * 1000, "DrainMs": DRAIN_SECONDS * 1000,
                       "ConfigDeadlineMs": self.config_seconds * 1000, "GraceS": GRACE_SECONDS, "RetryBudgetRatio": 0.2,
                       "BudgetSlack": 50, "BudgetWindowS": 10, "QuotaWindowS": 8, "CanaryShare": CANARY_SHARE,
                       "CanarySlack": CANARY_SLACK, "RollbackMs": ROLLBACK_SECONDS * 1000},
            "Platform": {"Addr": f"{self.network}.60:{7000 + i}"}}
        path = os.path.join(self.folder, f"edge-{i}.json")
        with open(path, "w", encoding="utf-8") as out:
            json.dump(settings, out)
        with open(self.log_path(i), "ab") as log:
            self.log_offsets[i] = log.tell()
            self.processes[i] = subprocess.Popen([self.binaries[self.builds[i]], "--platform"], stdout=log, stderr=log,
                                                 env={"LENTILBAY_CONFIG": path, "PATH": os.environ["PATH"]})

    def log_path(self, i: int) -> str:
        return os.path.join(self.folder, f"edge-{i}.log")

    def has_started(self, i: int) -> bool:
        """Whether the latest process of this daemon has started to listen.

        A signal that arrives earlier ends the process by the signal's default action. That is no fault: it has
        served no requests.
        """
        with open(self.log_path(i), "rb") as log:
            log.seek(self.log_offsets[i])
            return b"DaemonStarted" in log.read()

    # --- clients ---

    async def client(self, number: int) -> None:
        """Sends requests one after another and reuses the connection while it is open."""
        rng = random.Random(number * 7919 + self.rng.randint(0, 1 << 30))
        connection = daemon = refused = None
        while not self.stopping:
            await asyncio.sleep(rng.uniform(0.01, 0.12))
            kind = rng.choice(list(KINDS))
            key = "key-revoked" if rng.random() < 0.15 else "key-kept"
            added = [name for name, at in self.added.items() if time.monotonic() - at > self.config_seconds]
            if added and rng.random() < 0.3:
                kind = rng.choice(added)
                key = f"key-{kind}"
            request = uuid.UUID(int=rng.getrandbits(128)).hex[:16]
            after_faults = self.faults_ended
            if connection is None or rng.random() < 0.1:
                if connection:
                    connection[1].close()
                try:
                    daemon = rng.randrange(self.daemons)
                    host = f"{self.network}.{80 + daemon}"
                    connection = await asyncio.wait_for(asyncio.open_connection(host, 8000), 1)
                except (OSError, asyncio.TimeoutError):
                    connection = None
                    self.count_outcome(after_faults, "no connection")
                    continue
            sent_at = time.monotonic()
            # While endpoints are brittle, clients repeat what was refused, unchanged.
            if refused and any(end == float("inf") for _, end, _, _ in self.brittle_periods):
                kind, key, body = refused
            else:
                body = f"body-{request}"
            refused = None
            self.bodies[request] = body
            connection[1].write((f"POST /{kind}/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: {request}\r\n"
                                 f"X-Deadline-Ms: {DEADLINE_SECONDS * 1000:.0f}\r\n"
                                 f"Authorization: Token {key}\r\nX-Token-Usage: 100,72\r\n"
                                 f"Content-Length: {len(body)}\r\n\r\n{body}").encode())
            try:
                status, headers, text, is_complete = await asyncio.wait_for(self.read_response(connection[0]), 4.5)
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError) as error:
                status, headers, text, is_complete = 0, {}, "", False
                if isinstance(error, NoAnswer):
                    self.add_finding("MIXED", f"{request} got {error}")
                if isinstance(error, asyncio.TimeoutError):
                    self.count_outcome(after_faults, "no answer in time")
            self.requests.append((request, kind, key, daemon, sent_at, status))
            self.check_response(request, kind, key, body, status, headers, text, is_complete, daemon, sent_at)
            if status == 503:
                refused = (kind, key, body)
            if key == "key-kept":
                self.attempts.append((sent_at, daemon, status == 200 and is_complete))
            self.count_outcome(after_faults, str(status) if is_complete or status == 0 else f"{status} cut")
            if not is_complete or headers.get("connection") == "close":
                connection[1].close()
                connection = None

    async def watch_stalls(self) -> None:
        while True:
            began_at = time.monotonic()
            await asyncio.sleep(0.02)
            if time.monotonic() - began_at > 0.02 + STALL_SECONDS:
                self.stalls.append((began_at, time.monotonic()))

    def was_stalled(self, begin: float, end: float) -> bool:
        return any(since < end and to > begin for since, to in self.stalls)

    async def leaver(self, number: int) -> None:
        """Sends requests on connections of their own, and leaves when an answer takes too long."""
        rng = random.Random(number * 104729 + self.rng.randint(0, 1 << 30))
        while not self.stopping:
            await asyncio.sleep(rng.uniform(0.02, 0.1))
            request = uuid.UUID(int=rng.getrandbits(128)).hex[:16]
            host = f"{self.network}.{80 + rng.randrange(self.daemons)}"
            try:
                reader, writer = await asyncio.wait_for(asyncio.open_connection(host, 8000), 1)
            except (OSError, asyncio.TimeoutError):
                continue
            writer.write((f"POST /safe/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: {request}\r\nX-Deadline-Ms: 2500\r\n"
                          f"Authorization: Token key-kept\r\nContent-Length: 0\r\n\r\n").encode())
            try:
                await asyncio.wait_for(reader.read(1), LEAVE_SECONDS)
            except asyncio.TimeoutError:
                self.abandoned[request] = time.monotonic()
            except OSError:
                pass  # The daemon ended.
            writer.close()

    async def read_response(self, reader):
        lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        if not lines[0].startswith("HTTP/1.1 "):
            raise NoAnswer(f"{lines[0]!r} in place of an answer")
        headers = {}
        for line in lines[1:]:
            if line:
                name, value = line.split(":", 1)
                headers[name.lower()] = value.strip()
        status = int(lines[0].split(" ")[1])
        if "content-length" in headers:
            text = (await reader.readexactly(int(headers["content-length"]))).decode()
            return status, headers, text, True
        text = ""
        while True:
            try:
                chunk = await read_chunk(reader)
            except (asyncio.IncompleteReadError, OSError):
                return status, headers, text, False
            if not chunk:
                return status, headers, text, True
            text += chunk.decode()

    def count_outcome(self, after_faults: bool, outcome: str) -> None:
        counts = self.counts.setdefault("calm" if after_faults else "faults", {})
        counts[outcome] = counts.get(outcome, 0) + 1

    def check_response(self, request, kind, key, body, status, headers, text, is_complete, daemon, sent_at) -> None:
        if status == 200:
            if headers.get("x-request-id") != request or "x-served-by-sig" not in headers:
                self.add_finding("MIXED", f"{request} got the answer of {headers.get('x-request-id')}")
            if kind != "stream" and is_complete and text != f"done:{request}{body}":
                self.add_finding("MIXED", f"{request} got {text!r}")
            if kind == "stream":
                events = [int(line[4:]) for line in text.split("\n") if line.startswith("id: ")]
                if events != list(range(1, len(events) + 1)):
                    self.add_finding("ORDER", f"{request} got events {events}")
                if is_complete and len(events) != Endpoint.EVENTS:
                    self.add_finding("ORDER", f"{request} ended as whole after {len(events)} events")
        elif status == 503 and text.startswith("LB-3015"):
            self.add_finding("LOST", f"{request} was refused as if it crashed endpoints")
        elif kind in self.added and status in (401, 404):
            # A store that has lost the configuration allows it, and so does a fault of the daemon.
            if self.is_in_contact(daemon, sent_at, time.monotonic()):
                self.add_finding("CONFIG", f"{request} got {status} from daemon {daemon}, "
                                 f"{sent_at - self.added[kind]:.1f} s after {kind} had been added")
        elif status in (400, 403, 413, 431) or (status == 404 and kind in KINDS) or (status == 401 and self.keys[key]):
            self.add_finding("DENIED", f"{request} got {status}")

    # --- faults ---

    async def faults(self) -> None:
        """Injects overlapping random faults and waits until all have ended."""
        end = time.monotonic() + self.seconds
        pending = []
        while time.monotonic() < end:
            kind = self.rng.choice(self.fault_kinds)
            pending.append(asyncio.create_task(self.fault(kind)))
            await asyncio.sleep(self.rng.uniform(0.2, 1.5))
        await asyncio.gather(*pending)

    async def fault(self, kind: str) -> None:
        i = self.rng.randrange(self.daemons)
        duration = self.rng.uniform(0.3, 8.0 if kind == "store" else 3.0)
        mode = self.rng.choice(["delay", "reset", "silent", "one_way"])
        if kind in ("pause", "store"):
            fault = [time.monotonic(), float("inf")]
            self.faulted[i].append(fault)
        if kind == "pause":
            self.interrupted[i].append(fault)
        if kind == "kill":
            await self.restart([i], signal.SIGKILL)
        elif kind == "herd":
            await self.restart(list(range(self.daemons)), signal.SIGKILL)
        elif kind == "term":
            await self.restart([i], signal.SIGTERM)
        elif kind == "upgrade":
            self.builds[i] = 1 - self.builds[i]
            await self.restart([i], signal.SIGTERM)
        elif kind == "hup":
            self.send_signal(i, signal.SIGHUP)
        elif kind == "pause":
            self.send_signal(i, signal.SIGSTOP)
            await asyncio.sleep(duration)
            self.send_signal(i, signal.SIGCONT)
            fault[1] = time.monotonic()
        elif kind in ("store", "endpoint"):
            name = f"store-{i}" if kind == "store" else f"endpoint-{self.rng.randrange(len(self.endpoints))}"
            self.proxies[name].set_mode(mode)
            await asyncio.sleep(duration)
            # Connections that lost bytes cannot continue, as after a partition.
            if self.rng.random() < 0.5:
                self.proxies[name].set_mode("reset")
            self.proxies[name].pass_again()
            if kind == "store":
                fault[1] = time.monotonic()
        elif kind == "turn_away":
            await self.turn_away(self.rng.choice(["reset", "silent"]), self.rng.uniform(4.0, 9.0))
        elif kind == "stop":
            await self.stop_late(i)
        elif kind == "crash":
            n = self.rng.randrange(len(self.endpoints))
            if n in self.crashed:
                return
            self.crashed.add(n)
            self.endpoints[n].crash()
            await asyncio.sleep(duration)
            await self.listen(n, self.endpoints[n])
            self.crashed.discard(n)
        elif kind == "prompt":
            await self.prompts.send_crashing_requests(self.rng.uniform(12, 20))
        elif kind == "repeat":
            await self.prompts.repeat_crashing_request(self.rng.uniform(12, 20))
        elif kind == "release":
            await self.release()
        elif kind == "rollout":
            await self.rollouts.order(self.rng.choice(["app", "llm"]))
        elif kind == "drain":
            n = self.rng.randrange(len(self.endpoints))
            endpoint, address = self.endpoints[n], self.address_of(n)
            if self.is_drained(endpoint):
                return
            # Some endpoints leave without announcing it: their entry is removed.
            row = None if self.rng.random() < 0.4 else endpoint.row(address, "draining")
            await self.store.put("servers", endpoint.name, row)
            interval = [time.monotonic(), float("inf")]
            self.drained.setdefault(endpoint.name, []).append(interval)
            await asyncio.sleep(self.rng.uniform(1.0, 9.0))
            interval[1] = time.monotonic()
            if endpoint in self.endpoints:
                await self.store.put("servers", endpoint.name, endpoint.row(address))
        elif kind == "busy":
            endpoint = self.rng.choice(self.endpoints)
            endpoint.retry_after = round(self.rng.uniform(0.2, 4.0), 2)
            await asyncio.sleep(duration)
            endpoint.retry_after = None
        elif kind == "leave":
            # The endpoint states that it leaves, which the store does not show, and is started again later.
            endpoint = self.rng.choice(self.endpoints)
            if endpoint.leaving or self.is_drained(endpoint):
                return
            endpoint.leaving = True
            period = [time.monotonic(), float("inf"), endpoint]
            self.left.append(period)
            self.drained.setdefault(endpoint.name, []).append([float("inf"), float("inf")])
            await asyncio.sleep(self.rng.uniform(4.0, 9.0))
            period[1] = time.monotonic()
            self.drained[endpoint.name].pop()
            endpoint.leaving = False
            endpoint.started += 1
            if endpoint in self.endpoints:
                address = self.address_of(self.endpoints.index(endpoint))
                await self.store.put("servers", endpoint.name, endpoint.row(address))
        elif kind == "limit":
            endpoint = self.rng.choice(self.endpoints)
            if endpoint.limit is not None:
                return
            endpoint.limit = round(self.rng.choice([0.4, 2, 2.7, 6]) * self.rng.uniform(0.8, 1.2), 2)
            period = [time.monotonic(), float("inf"), endpoint, endpoint.limit]
            self.limited.append(period)
            await asyncio.sleep(self.rng.uniform(4.0, 12.0))
            period[1] = time.monotonic()
            endpoint.limit = None
        elif kind == "configure":
            await self.configure()
        elif kind in ("rewind", "gap") and not self.is_rewinding:
            self.is_rewinding = True
            await self.rewind_store(kind == "gap")
            self.is_rewinding = False
        elif kind == "partition":
            await self.partition(self.rng.choice(self.link_modes), self.rng.uniform(4.0, 9.0))
        elif kind == "silence":
            seconds = self.rng.uniform(0.8, 1.3)
            period = (time.monotonic(), time.monotonic() + seconds)
            # An endpoint speaks for two seconds before it is silent again.
            sound = [it for it in self.endpoints if period[0] - it.silent_until > 2.0]
            for endpoint in self.rng.sample(sound, self.rng.randint(0, len(sound))):
                self.silences.append((*period, endpoint))
                endpoint.silent_until = period[1]
            await asyncio.sleep(seconds + 1.0)
        elif kind == "brittle":
            await self.make_brittle(self.rng.choice(["app", "llm"]), self.rng.uniform(7.0, 12.0))
        elif kind == "starve":
            for _ in range(self.rng.randint(1, 3)):
                self.send_signal(i, signal.SIGSTOP)
                await asyncio.sleep(self.rng.uniform(1.0, 1.6))
                self.send_signal(i, signal.SIGCONT)
                await asyncio.sleep(self.rng.uniform(0.02, 0.3))
        elif kind == "grow" and not self.is_growing:
            self.is_growing = True
            await self.grow()
            self.is_growing = False
        elif kind == "rejection":
            endpoint = self.rng.choice(self.endpoints)
            endpoint.repeats_rejections = True
            await asyncio.sleep(duration)
            endpoint.repeats_rejections = False
        elif kind == "copy":
            await self.copy_answers()
        elif kind == "entry":
            await self.add_odd_entry(self.rng.uniform(3.0, 8.0))
        elif kind == "organisation":
            await self.add_organisation(self.rng.uniform(3.0, 10.0))
        elif kind == "revoke" and self.keys["key-revoked"]:
            await self.revoke("key-revoked")

    def is_drained(self, endpoint: Endpoint) -> bool:
        """Whether the endpoint's entry states that it leaves, or has been removed, and has not been written again."""
        return any(end == float("inf") for _, end in self.drained.get(endpoint.name, []))

    async def turn_away(self, mode: str, seconds: float) -> None:
        """Lets the store answer up to half of the daemons no more."""
        daemons = self.rng.sample(range(self.daemons), self.rng.randint(1, max(1, self.daemons // 2)))
        fault = [time.monotonic(), float("inf")]
        for i in daemons:
            self.turned_away[i].append(fault)
            self.proxies[f"store-{i}"].set_mode(mode)
        await asyncio.sleep(seconds)
        for i in daemons:
            self.proxies[f"store-{i}"].set_mode("reset")
            self.proxies[f"store-{i}"].pass_again()
        fault[1] = time.monotonic()

    async def stop_late(self, i: int) -> None:
        """Stops a daemon and checks that requests which come meanwhile are answered, whatever they take."""
        if i in self.restarting or self.processes[i].poll() is not None or not self.has_started(i):
            return
        requests = [asyncio.create_task(self.send_late(i, self.rng.uniform(0, LATE_SECONDS)))
                    for _ in range(LATE_REQUESTS)]
        await self.restart([i], signal.SIGTERM)
        await asyncio.gather(*requests)

    async def send_late(self, i: int, delay: float) -> None:
        request = uuid.UUID(int=self.rng.getrandbits(128)).hex[:16]
        began_at = time.monotonic()
        await asyncio.sleep(delay)
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(f"{self.network}.{80 + i}", 8000), 1)
            writer.write((f"POST /slow/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: {request}\r\nX-Deadline-Ms: 12000\r\n"
                          f"Authorization: Token key-kept\r\nContent-Length: 0\r\n\r\n").encode())
        except (OSError, asyncio.TimeoutError):
            return
        try:
            status = (await asyncio.wait_for(self.read_response(reader), 13))[0]
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            status = 0
        writer.close()
        executions = len(self.executions.get(request, []))
        other_faults = sum(to > began_at for _, to in self.interrupted[i])
        # Clients repeat a request whose connection was closed before the daemon had read it.
        with open(self.log_path(i), encoding="utf-8") as log:
            was_read = executions > 0 or request in log.read()
        if status == 0 and was_read and other_faults <= 1:
            self.add_finding("LOST", f"{request}, sent {delay:.1f} s after SIGTERM, got no answer from daemon {i}, and "
                             f"ran {executions} times")
        if status in (429, 503) and executions > 0:
            self.add_finding("REFUSED", f"{request}, sent {delay:.1f} s after SIGTERM, got {status} and ran")

    async def partition(self, mode: str, seconds: float) -> None:
        """Takes the links to all endpoints from some of the daemons."""
        cut = {i for _, end, daemons in self.partitions if end == float("inf") for i in daemons}
        others = [i for i in range(self.daemons) if i not in cut]
        # Some daemons keep their links, or none.
        most = len(others) if mode == "all" else min(len(others), self.daemons - 2 - len(cut))
        if most < 1:
            return
        daemons = self.rng.sample(others, most if mode == "all" else self.rng.randint(1, most))
        links = [link for i in daemons for link in self.links[i]]
        period = [time.monotonic(), float("inf"), daemons]
        self.partitions.append(period)
        is_flapping = mode == "flap"
        for n in range(int(seconds) if is_flapping else 1):
            for link in links:
                link.cut("hang" if is_flapping or mode == "all" else mode)
            await asyncio.sleep(0.5 if is_flapping else seconds)
            for link in links:
                await link.restore()
            if is_flapping and n + 1 < int(seconds):
                await asyncio.sleep(0.5)
        period[1] = time.monotonic()

    async def make_brittle(self, service: str, seconds: float) -> None:
        endpoints = [it for it in self.endpoints if it.service == service]
        if any(it.brittle is not None for it in endpoints):
            return
        period = [time.monotonic(), float("inf"), len(endpoints), []]
        self.brittle_periods.append(period)
        limit = self.rng.choice([1, 3, 20])
        for it in endpoints:
            it.brittle, it.brittle_since = limit, period[0]
            it.fell = lambda endpoint: asyncio.create_task(self.let_fall(endpoint, period))
        await asyncio.sleep(seconds)
        period[1] = time.monotonic()
        for it in self.endpoints + self.former_endpoints:
            if it.service == service:
                it.brittle = None

    async def copy_answers(self) -> None:
        """The applications reject many requests, which return to them, and some write second copies of answers."""
        applications = [it for it in self.endpoints if it.service == "app"]
        copying = self.rng.sample(applications, int(COPYING_ENDPOINTS * len(applications)))
        for it in applications:
            it.is_busy = True
        for it in copying:
            it.repeated = self.copied
        await asyncio.sleep(COPY_SECONDS)
        for it in applications:
            it.is_busy, it.repeated = False, 0.0

    async def let_fall(self, endpoint: Endpoint, period: list) -> None:
        """The endpoint fails because of too many rejections, and is back some seconds later."""
        if endpoint not in self.endpoints or self.endpoints.index(endpoint) in self.crashed:
            return
        n = self.endpoints.index(endpoint)
        self.crashed.add(n)
        period[3].append(time.monotonic())
        endpoint.crash()
        await asyncio.sleep(self.rng.uniform(1.0, 2.5))
        if self.rng.random() < 0.5:
            await self.listen(n, endpoint)
            self.crashed.discard(n)
            return
        await self.start_replacement(n, endpoint.version)
        if period[1] == float("inf"):
            new = self.endpoints[n]
            new.brittle, new.brittle_since, new.fell = endpoint.brittle, endpoint.brittle_since, endpoint.fell

    async def grow(self) -> None:
        """The operator writes many routes, which reach the daemons over links of little bandwidth."""
        self.unused_routes = MANY_ROUTES
        links = [self.proxies[f"store-{i}"] for i in range(self.daemons)]
        for link in links:
            link.bandwidth = STORE_BANDWIDTH
        await self.configure()
        await asyncio.sleep(GROW_PERIOD)
        for link in links:
            link.bandwidth = None

    async def add_odd_entry(self, seconds: float) -> None:
        """Another writer adds an entry to those of the endpoints."""
        name = f"odd-{self.rng.getrandbits(32):08x}"
        n = self.rng.randrange(len(self.endpoints))
        sound = self.endpoints[n].row(self.address_of(n)) | {"Slots": 40}
        odd = [sound, sound, sound | {"Addr": f"{self.network}.40:70000"}, sound | {"Slots": 10 ** 20},
               sound | {"State": ["ready"]}, "[" * 200_000, '{"Slots":1e999}', "not JSON"]
        await self.store.put("servers", name, self.rng.choice(odd))
        await asyncio.sleep(seconds)
        await self.store.put("servers", name, None)

    async def revoke(self, key: str) -> None:
        self.keys[key] = False
        await self.configure()
        self.revoked_at[key] = time.monotonic()

    async def add_organisation(self, seconds: float) -> None:
        """An organisation with a route and a key of its own is added, and removed later."""
        name = f"added-{self.rng.getrandbits(32):08x}"
        self.keys[f"key-{name}"] = True
        self.added[name] = float("inf")
        await self.configure()
        self.added[name] = time.monotonic()
        await asyncio.sleep(seconds)
        del self.added[name]
        await self.revoke(f"key-{name}")

    async def rewind_store(self, has_gap: bool) -> None:
        """The store is away and comes back from an older copy; the operator and the endpoints write again.

        With `has_gap`, versions are lost that were acknowledged just before, the operator takes longer, and some
        daemons start meanwhile.
        """
        operator_wrote_at = time.monotonic()
        if has_gap:
            asyncio.create_task(self.add_organisation(30.0))
            await self.configure()
            self.operator_writes.clear()
            # A version that no daemon has read is in force once it is written again.
            await asyncio.sleep(self.rng.uniform(1.0, 3.0))
        fault = [time.monotonic(), float("inf")]
        for faults in self.faulted.values():
            faults.append(fault)
        closes = self.rng.random() < 0.5
        self.store.is_away = True
        if closes:
            self.store.crash()
        await asyncio.sleep(self.rng.uniform(0.1, 3.0))
        seconds = self.rng.uniform(1.0, 10.0)
        if has_gap:
            seconds = time.monotonic() - operator_wrote_at
        rewound_to = time.monotonic() - seconds
        lost = await self.store.rewind(seconds)
        version = self.store.version
        if closes:
            await self.store.listen(f"{self.network}.1", 7000)
        self.store.is_away = False
        restart = None
        if has_gap:
            fault[1] = time.monotonic()
            n = self.rng.randint(1, self.daemons - 1)
            restart = asyncio.create_task(self.restart(self.rng.sample(range(self.daemons), n), signal.SIGKILL))
        tables = ("servers",) if has_gap else ("op", "servers")
        keys = [key for key in lost if key[0] in tables]
        for key in self.rng.sample(keys, len(keys)):
            await asyncio.sleep(self.rng.uniform(0.0, 1.5) / len(keys))
            await self.write_again(key, lost[key], version, rewound_to)
        if restart:
            await restart
            await asyncio.sleep(self.rng.uniform(4.0, 7.0))
            if ("op", "config") in lost:
                await self.write_again(("op", "config"), lost[("op", "config")], version, rewound_to)
            self.operator_writes.set()
        else:
            fault[1] = time.monotonic()

    async def write_again(self, key: tuple, value: str | None, version: int, rewound_to: float) -> None:
        """Writes a row that the store has lost, unless it has been written meanwhile."""
        if self.store.rows.get(key, (0, None))[0] <= version:
            await self.store.put(*key, value)
        if key[0] == "op":
            self.revoked_at |= {it: time.monotonic() for it, at in self.revoked_at.items() if at > rewound_to}

    async def release(self) -> None:
        """Replaces a part of the engines, one after the other, by ones of another version at the same addresses."""
        self.releases += 1
        # Every third release rolls back to the first version.
        version = "v1" if self.releases % 3 == 2 else f"v1.{self.releases}"
        engines = [n for n, it in enumerate(self.endpoints) if it.service == "llm"]
        await asyncio.gather(*(self.replace(n, version, 0.4 * i)
                               for i, n in enumerate(self.rng.sample(engines, len(engines) * 2 // 3))))

    async def replace(self, n: int, version: str, wait: float) -> None:
        await asyncio.sleep(wait)
        endpoint = self.endpoints[n]
        if n in self.crashed or endpoint.leaving:
            return
        if self.is_drained(endpoint):
            return
        self.crashed.add(n)
        await self.store.put("servers", endpoint.name, endpoint.row(self.address_of(n), "draining"))
        interval = [time.monotonic(), float("inf")]
        self.drained.setdefault(endpoint.name, []).append(interval)
        await asyncio.sleep(DRAIN_SECONDS + self.rng.uniform(0.2, 1.5))
        endpoint.crash()
        interval[1] = time.monotonic()
        await asyncio.sleep(self.rng.uniform(0.2, 1.0))
        await self.start_replacement(n, version)

    async def start_replacement(self, n: int, version: str) -> None:
        """Starts an endpoint that has ended as another one at the same address."""
        former = self.endpoints[n]
        await self.store.put("servers", former.name, None)
        self.former_endpoints.append(former)
        endpoint = self.create_endpoint(f"i-{n}-{self.rng.getrandbits(32):08x}", former.service, version)
        self.endpoints[n] = endpoint
        await self.listen(n, endpoint)
        await self.store.put("servers", endpoint.name, endpoint.row(self.address_of(n)))
        self.crashed.discard(n)

    def send_signal(self, i: int, signal_number: int) -> None:
        process = self.processes[i]
        if process.poll() is None:
            process.send_signal(signal_number)

    async def restart(self, daemons: list, signal_number: int) -> None:
        daemons = [i for i in daemons if i not in self.restarting]
        self.restarting |= set(daemons)
        faults = {i: [time.monotonic(), float("inf")] for i in daemons}
        for i in daemons:
            self.faulted[i].append(faults[i])
            self.interrupted[i].append(faults[i])
            self.send_signal(i, signal_number)
        for i in daemons:
            process = self.processes[i]
            started_at = time.monotonic()
            while process.poll() is None and time.monotonic() - started_at < GRACE_SECONDS + 4:
                await asyncio.sleep(0.05)
            if process.poll() is None:
                self.add_finding("DRAIN", f"daemon {i} did not end after signal {signal_number}")
                process.kill()
                process.wait()
            elif signal_number == signal.SIGTERM and process.returncode != 0 and self.has_started(i):
                self.add_finding("DRAIN", f"daemon {i} ended with {process.returncode} after SIGTERM")
            await asyncio.sleep(self.rng.uniform(0.1, 0.8))
            self.spawn(i)
            faults[i][1] = time.monotonic()
        self.restarting -= set(daemons)

    # --- checks at the end ---

    def is_in_contact(self, daemon: int, begin: float, end: float) -> bool:
        """Whether no fault affected the daemon from the contact time before `begin` until `end`."""
        return self.is_unaffected(self.faulted[daemon] + self.turned_away[daemon], begin, end)

    @staticmethod
    def is_unaffected(faults: list, begin: float, end: float) -> bool:
        return all(to + CONTACT_SECONDS <= begin or since >= end for since, to in faults)

    def check_departure(self, request, daemon, sent_at, executed_at, endpoint) -> None:
        """Checks an execution against the endpoint's draining, also at daemons that only the store turned away."""
        if not self.is_unaffected(self.faulted[daemon], sent_at, executed_at):
            return
        bound = DRAIN_SECONDS
        if not self.is_unaffected(self.turned_away[daemon], sent_at, executed_at):
            bound += TURNED_AWAY_SECONDS
        for since, to in self.drained.get(endpoint.name, []):
            if since + bound < executed_at < to:
                self.add_finding("DRAIN", f"{request} reached {endpoint.name} from daemon {daemon} "
                                 f"{executed_at - since:.2f} s after it had left")

    def check_bounds(self, request, kind, daemon, sent_at, executed_at, endpoint) -> None:
        """Checks an execution against the endpoint's draining and the target of the route "moved"."""
        self.check_departure(request, daemon, sent_at, executed_at, endpoint)
        if not self.is_in_contact(daemon, sent_at, executed_at):
            return
        if kind == "moved":
            before = [service for at, service in self.moves if at <= sent_at - self.config_seconds]
            later = [service for at, service in self.moves if sent_at - self.config_seconds < at <= executed_at]
            if endpoint.service not in before[-1:] + later:
                self.add_finding("CONFIG", f"{request} ran at {endpoint.service} from daemon {daemon}")

    def check_deadlines(self) -> None:
        """Checks that requests run while their clients wait, whatever their daemons were kept from doing."""
        if DELAYING_FAULT_KINDS & set(self.fault_kinds):
            return
        sent = {request: sent_at for request, _, _, _, sent_at, _ in self.requests}
        late, told = [], []
        for request, executions in self.executions.items():
            for executed_at, _, headers, _, _ in executions if request in sent else ():
                if self.was_stalled(sent[request], executed_at):
                    continue
                left = sent[request] + DEADLINE_SECONDS - executed_at
                given = int(headers.get("x-deadline-ms", 10 ** 6)) / 1000
                if left < -LATE_ARRIVAL_SECONDS:
                    late.append(-left)
                elif given > left + LATE_ARRIVAL_SECONDS:
                    told.append(given - left)
        if len(late) > MOST_LATE_SENDS:
            self.add_finding("BUDGET", f"{len(late)} requests were run up to {max(late):.1f} s after their deadlines")
        if len(told) > MOST_LATE_SENDS:
            self.add_finding("BUDGET", f"{len(told)} requests were given up to {max(told):.1f} s more time than was left")

    def check_limits(self, daemons: dict) -> None:
        """Checks the arrivals at each endpoint that stated a limit; `daemons` has the daemon of each request."""
        for begin, end, endpoint, limit in self.limited:
            told: dict = {}
            for at, request in endpoint.told:
                if begin <= at <= end and request in daemons:
                    told.setdefault(daemons[request], at)
            counted = []
            for at, request in endpoint.arrivals:
                daemon = daemons.get(request)
                if not begin + CONTACT_SECONDS <= at <= end or daemon not in told:
                    continue
                is_excused = any(since < at and to > begin for since, to in self.interrupted[daemon])
                if told[daemon] + TOLD_SECONDS <= at and not is_excused:
                    counted.append(at)
            most = max((sum(at <= it < at + LIMIT_WINDOW for it in counted) for at in counted), default=0)
            if most > 1.5 * limit * LIMIT_WINDOW + 5:
                self.add_finding("LIMIT",
                                 f"{endpoint.name} got {most} requests in {LIMIT_WINDOW:g} s at a limit of {limit}")

    def check_leaving(self, daemons: dict, sent: dict) -> None:
        """Checks that a daemon that has relayed an endpoint's statement that it leaves sends it nothing later."""
        for begin, end, endpoint in self.left:
            told: dict = {}
            for at, request in endpoint.told_leaving:
                if begin <= at <= end and request in daemons:
                    told.setdefault(daemons[request], at)
            for at, request in endpoint.arrivals:
                daemon = daemons.get(request)
                if daemon not in told or not begin <= at <= end:
                    continue
                is_excused = any(since < at and to > told[daemon] for since, to in self.interrupted[daemon])
                if sent[request] > told[daemon] + DRAIN_SECONDS and not is_excused:
                    self.add_finding("DRAIN", f"{request} reached {endpoint.name} from daemon {daemon} "
                                     f"{at - told[daemon]:.2f} s after it had stated that it leaves")

    def forwarded_requests(self) -> set:
        """The requests that a daemon sent through a peer, by the daemons' logs."""
        forwarded = set()
        for i in range(self.daemons):
            with open(self.log_path(i), encoding="utf-8") as log:
                forwarded |= {json.loads(line)["id"] for line in log
                              if '"event":"LE-222"' in line and line.endswith("}\n")}
        return forwarded

    def check_pauses(self, daemons: dict) -> None:
        """Checks that a daemon sends two requests at most to an endpoint that wants none from it for a time."""
        forwarded = self.forwarded_requests()
        for endpoint in self.endpoints + self.former_endpoints:
            for told, rejected, seconds in endpoint.rejections:
                daemon = daemons.get(rejected)
                faults = self.interrupted.get(daemon, [])
                # The endpoint has told the peer that sent the request.
                if rejected in forwarded:
                    continue
                if daemon is None or any(since < told + seconds and to > told for since, to in faults):
                    continue
                n = sum(told + TOLD_SECONDS < at <= told + seconds and daemons.get(request) == daemon
                        for at, request in endpoint.arrivals)
                if n > 2:
                    self.add_finding("BUDGET", f"{endpoint.name} got {n} requests from daemon {daemon} in the "
                                     f"{seconds:g} s for which it wanted none")

    def check_brittle(self) -> None:
        for begin, end, n, falls in self.brittle_periods:
            if len(falls) > 2 + n / 10:
                self.add_finding("LIMIT", f"{n} brittle endpoints failed {len(falls)} times in {end - begin:.1f} s")

    def check_abandoned(self) -> None:
        late = [(request, at - self.abandoned[request]) for endpoint in self.endpoints + self.former_endpoints
                for at, request in endpoint.arrivals
                if at > self.abandoned.get(request, float("inf")) + LEFT_SECONDS]
        if len(late) > MOST_LATE_SENDS:
            self.add_finding("GONE", f"{len(late)} of {len(self.abandoned)} requests were sent on after their clients "
                             f"had left, up to {max(seconds for _, seconds in late):.1f} s later")

    def check_odd_entries(self) -> None:
        if set(self.fault_kinds) != {"entry"}:
            return
        served = sum(is_served for *_, is_served in self.attempts)
        if served < SERVED_SHARE_BESIDE_ENTRIES * len(self.attempts):
            self.add_finding("LOST", f"{served} of {len(self.attempts)} requests were served beside odd entries")
        misdirected = sum(it.misdirected for it in self.endpoints)
        if misdirected > MISDIRECTED_SHARE * len(self.attempts):
            self.add_finding("BUDGET", f"{misdirected} of {len(self.attempts)} requests were sent to the address of "
                             f"another endpoint")

    def check_silences(self) -> None:
        """Checks that requests at an endpoint that is silent for about a second are not sent a second time."""
        for request, executions in self.executions.items():
            first, first_endpoint = executions[0][0], executions[0][1]
            repeated = [at for at, *_ in executions[1:]]
            if any(begin - 0.1 < first < end and endpoint is first_endpoint and any(begin < at < end for at in repeated)
                   for begin, end, endpoint in self.silences):
                self.add_finding("BUDGET", f"{request} was sent a second time while {first_endpoint.name} was silent")

    def count_cut(self, at: float) -> int:
        """The number of daemons that had no links at that time."""
        return len({i for since, to, daemons in self.partitions if since <= at <= to for i in daemons})

    def check_partitions(self) -> None:
        """Checks that daemons without links to the endpoints serve their clients beside the others."""
        edges = [at for begin, end, _ in self.partitions for at in (begin, end)]
        # When the last links were lost: then there are no others to compare with.
        all_lost = [at for at in edges if self.count_cut(at) == self.daemons]
        for begin, end, daemons in self.partitions:
            served, total = [0, 0], [0, 0]
            for at, daemon, is_served in self.attempts:
                if self.count_cut(at) == self.daemons or any(at - CONTACT_SECONDS < it < at for it in all_lost):
                    continue
                others_cut = any(daemon in it and since < at < to + CONTACT_SECONDS
                                 for since, to, it in self.partitions if it is not daemons)
                if not begin + CONTACT_SECONDS <= at <= end or others_cut or not self.is_in_contact(daemon, at, at):
                    continue
                total[daemon in daemons] += 1
                served[daemon in daemons] += is_served
            failed = total[True] - served[True]
            if (served[True] * total[False] < PARTITION_SHARE * served[False] * total[True]
                    and failed > PARTITION_FAILURES + PARTITION_FAILED_SHARE * total[True]):
                self.add_finding("RECOVER", f"daemons {daemons} without links served {served[True]} of {total[True]} "
                                 f"requests, the others {served[False]} of {total[False]}")

    def check_executions(self) -> None:
        requests = {request: rest for request, *rest in self.requests}
        daemons = {request: rest[2] for request, rest in requests.items()}
        self.check_limits(daemons)
        self.check_pauses(daemons)
        self.check_leaving(daemons, {request: rest[3] for request, rest in requests.items()})
        for request, executions in self.executions.items():
            kind, key, daemon, sent_at, status = requests.get(request, (None, None, 0, 0, 0))
            if kind is None:
                continue  # The request was still open when the soak ended.
            if kind == "once" and len(executions) > 1:
                self.add_finding("TWICE", f"{request} ran {len(executions)} times")
            if kind == "once" and status in (408, 421, 429, 503):
                self.add_finding("REFUSED", f"{request} got {status} and ran")
            revoked_at = self.revoked_at.get(key, float("inf"))
            if sent_at > revoked_at + REVOKE_SECONDS:
                self.add_finding("CONFIG", f"{request} ran {sent_at - revoked_at:.1f} s after its key was taken away")
            for executed_at, endpoint, headers, target, body in executions:
                self.check_bounds(request, kind, daemon, sent_at, executed_at, endpoint)
                if headers.get("x-tenant") != ("t" if kind in KINDS else f"t-{kind}") or "authorization" in headers:
                    self.add_finding("UNASKED", f"{request} arrived with tenant {headers.get('x-tenant')}")
                if target != f"/{kind}/x" or body != self.bodies[request].encode():
                    self.add_finding("UNASKED", f"{request} arrived as {target} {body!r}")
        self.check_partitions()
        self.check_brittle()
        self.check_silences()
        self.check_abandoned()
        self.check_deadlines()
        self.check_odd_entries()
        self.prompts.check()
        if self.odd_clients:
            self.odd.check()
        outcomes = self.counts.get("calm", {})
        total = sum(outcomes.values())
        good = outcomes.get("200", 0) + outcomes.get("401", 0)
        if total < 50 or good < 0.9 * total:
            self.add_finding("RECOVER", f"after the last fault {good} of {total} requests were served: {outcomes}")
        for (_, call), n in self.store.calls.items():
            if n > STORE_CALLS_PER_SECOND[call]:
                self.add_finding("BUDGET", f"the store got {n} {call} calls in a second")
        for i, process in self.processes.items():
            if self.store.rows.get(("daemons", f"edge-{i}"), (0, None))[1] is None:
                self.add_finding("RECOVER", f"the store has no row of daemon {i}")
            if process.poll() is not None:
                self.add_finding("FAULT", f"daemon {i} ended by itself with {process.returncode}")

    async def run(self) -> None:
        await self.start()
        watch = asyncio.create_task(self.watch_stalls())
        clients = [asyncio.create_task(self.client(number)) for number in range(self.clients)]
        clients += [asyncio.create_task(self.prompts.client()) for _ in range(self.streams)]
        clients += [asyncio.create_task(self.leaver(number)) for number in range(self.leavers)]
        clients += [asyncio.create_task(self.odd.client(number)) for number in range(self.odd_clients)]
        await asyncio.sleep(1.5)
        await self.faults()
        await asyncio.sleep(6)
        self.faults_ended = True
        await asyncio.sleep(4)
        self.stopping = True
        await asyncio.wait(clients, timeout=6)
        watch.cancel()
        self.check_executions()

    def clean_up(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()


def create_parser(description: str) -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(description=description, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--daemon", required=True, help="the lentilbayd binary")
    parser.add_argument("--seed", type=int, default=int(time.time()) % 100000)
    parser.add_argument("--seconds", type=float, default=15, help="duration of fault injection in seconds")
    parser.add_argument("--runs", type=int, default=1, help="number of consecutive seeds to run")
    parser.add_argument("--faults", default=",".join(FAULT_KINDS),
                        help=f"kinds of faults, drawn with equal probability; also "
                             f"{', '.join(CRASH_FAULT_KINDS + CONFIGURATION_FAULT_KINDS + LINK_FAULT_KINDS + LOAD_FAULT_KINDS + ROLLOUT_FAULT_KINDS + SCARCITY_FAULT_KINDS + WRITER_FAULT_KINDS + PEER_FAULT_KINDS + STREAM_FAULT_KINDS + BUILD_FAULT_KINDS)}")
    parser.add_argument("--daemons", type=int, default=3)
    parser.add_argument("--endpoints", type=int, default=5, help="applications and engines")
    parser.add_argument("--applications", type=int, default=2, help="how many of the endpoints are applications")
    parser.add_argument("--clients", type=int, default=12, help="clients that send short requests")
    parser.add_argument("--streams", type=int, default=0, help="clients that send long streams with prompts")
    parser.add_argument("--leavers", type=int, default=0, help="clients that leave if an answer takes too long")
    parser.add_argument("--odd", type=int, default=0, help="clients whose requests fail at each endpoint")
    parser.add_argument("--endings", default="chunk",
                        help="how engines end streams, in turn: chunk, connection, or \"no content\"")
    parser.add_argument("--events", type=int, default=Endpoint.LONG_EVENTS, help="events of a long stream")
    parser.add_argument("--copied", type=float, default=0.03, help="the fraction of answers that a fault writes twice")
    parser.add_argument("--tail", type=float, default=0, help="seconds between the last event and the end of a long stream")
    parser.add_argument("--work", type=float, default=0.05, help="longest time in seconds of a short request")
    parser.add_argument("--config-seconds", type=float, default=CONFIG_SECONDS,
                        help="seconds within which a configuration has to be in force")
    parser.add_argument("--rollouts", default="good,bad", help="the versions that are rolled out: good, bad or both")
    parser.add_argument("--links", action="store_true", help="give each daemon links of its own to the endpoints")
    parser.add_argument("--link-modes", default=",".join(LINK_MODES),
                        help="how links are lost; also \"all\", which lets those of all daemons hang")
    parser.add_argument("--other-daemon", default="", help="the lentilbayd binary of another build")
    parser.add_argument("--keep", default="", help="folder in which to keep the daemons' logs")
    return parser


def play(options: argparse.Namespace, create) -> int:
    """Plays one seed after the other; `create` makes a Soak of the options, a seed and a folder."""
    Endpoint.LONG_EVENTS = options.events
    failed = []
    for seed in range(options.seed, options.seed + options.runs):
        folder = os.path.join(options.keep, str(seed)) if options.keep else tempfile.mkdtemp(prefix="soak-")
        os.makedirs(folder, exist_ok=True)
        soak = create(options, seed, folder)
        try:
            with asyncio.Runner(loop_factory=soak.create_loop) as runner:
                runner.run(soak.run())
        finally:
            soak.clean_up()
        print(f"seed {seed}: {len(soak.requests)} requests, {soak.counts}, {len(soak.findings)} findings", flush=True)
        for finding in sorted(set(soak.findings))[:20]:
            print(f"  {finding}")
        if soak.findings:
            failed.append(seed)
            print(f"  logs: {folder}")
    print(f"{options.runs} seeds, {len(failed)} with findings: {failed}")
    return 1 if failed else 0


def main() -> int:
    return play(create_parser(__doc__).parse_args(), Soak)


if __name__ == "__main__":
    sys.exit(main())
