"""Planned work: daemons are stopped and restarted, get SIGHUP and new configurations, some with little processor time.

A request that a client has sent as a whole gets a complete answer: its connection does not end without one after the
request was passed on to an endpoint, or later than LOSS_SLACK_SECONDS after its last byte was sent. Clients keep their
connections or open new ones, and send bodies in pieces, in chunks, after 100 Continue, on half-closed connections and
two at once. A stop ends by itself within the grace period, also beside clients that write slowly or without end, and
within QUICK_STOP_SECONDS at full speed beside idle clients while no request takes long. A request that is refused has not run, and is
told when to come again. Daemons that no planned work affects serve each request.

    stops.py --daemon build/bin/lentilbayd [--seed N] [--seconds S] [--runs N] [--daemons N] [--clients N]
        [--endpoints N] [--applications N] [--links] [--works KIND,...] [--paces RUN/PERIOD,...] [--keep FOLDER]

With --links, the first daemon loses its links to the endpoints, so that its requests pass through peers, which stop.
Each request without a complete answer is written to cuts.jsonl in the folder of the logs.
"""

import asyncio
import dataclasses
import itertools
import json
import os
import random
import selectors
import signal
import sys
import threading
import time
import uuid

from soak import CONTACT_SECONDS, GRACE_SECONDS, TIMEOUT_MS, Soak, create_parser, play
from standins import NoAnswer

LOSS_SLACK_SECONDS = 0.2
QUICK_STOP_SECONDS = 4.0
# An endpoint that is still at work in the last sixth of the grace period excuses an answer that does not come, for a
# request sent soon enough.
LATE_WORK_SECONDS = GRACE_SECONDS * 5 / 6
LATE_SENT_SECONDS = 3.0
# Short requests with their share.
QUICK_KINDS = {"once": 4, "safe": 4, "stream": 3, "moved": 2}
LONG_KINDS = QUICK_KINDS | {"long": 0.4, "slow": 0.4}
SHAPES = {"whole": 8, "pieces": 3, "chunked": 2, "expect": 2, "half-close": 1, "two": 2}
# Clients that do not come to an end: what they begin with, what they repeat, or nothing for whole requests, and the
# pause.
HEAD = b"POST /safe/x HTTP/1.1\r\nHost: h\r\nAuthorization: Token key-kept\r\n"
ENDLESS = [(b"POST /safe/x HTTP/1.1\r\nX-A: ", b"x", 0.1),
           (HEAD + b"Content-Length: 9000\r\n\r\n", b"x", 0.1),
           (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"100\r\n" + b"x" * 256 + b"\r\n", 0.05),
           (b"", b"", 0.05)]
# What a daemon's process gets: milliseconds of each period of so many, or all.
PACES = "all,12/462,25/100,20/200,40/300"
WORKS = "stop,stop,stop,stop,hup,configure"
# What happens beside a SIGTERM.
BESIDE = ["nothing", "nothing", "term", "hup", "configure"]
BESIDE_PERIOD = 0.35
BESIDE_SECONDS = 6.0
MOST_ROUTES = 300
# Longest wait for an answer.
PATIENCE_SECONDS = 13.0


class Selector(selectors.DefaultSelector):
    """Notes when it has looked for events.

    The end of a connection that is handled now had not come at the second last look, however late this process is: at
    the last one there may have been bytes before the end.
    """

    def __init__(self) -> None:
        super().__init__()
        self.looked_at = [time.monotonic()] * 3

    def select(self, timeout=None):
        events = super().select(timeout)
        self.looked_at = [*self.looked_at[1:], time.monotonic()]
        return events


class Channel(asyncio.Protocol):
    """A client's connection. Notes when it ended, at the earliest, and whether by a reset."""

    def __init__(self, selector: Selector) -> None:
        self.selector = selector
        self.transport = None
        self.data = b""
        self.ended_at: float | None = None
        self.seen_at = 0.0
        self.was_reset = False
        self.changed = asyncio.Event()

    def connection_made(self, transport) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.data += data
        self.changed.set()

    def eof_received(self) -> None:
        self.note_end(False)

    def connection_lost(self, exc) -> None:
        self.note_end(exc is not None)

    def note_end(self, was_reset: bool) -> None:
        if self.ended_at is None:
            self.ended_at, self.seen_at, self.was_reset = self.selector.looked_at[0], time.monotonic(), was_reset
        self.changed.set()

    def write(self, data: bytes) -> bool:
        """Whether everything was given to the kernel."""
        self.transport.write(data)
        return not self.transport.is_closing() and self.transport.get_write_buffer_size() == 0

    def close(self) -> None:
        self.transport.abort()

    async def wait(self, seconds: float) -> None:
        """Waits until bytes come or the connection ends."""
        self.changed.clear()
        try:
            async with asyncio.timeout(max(0, seconds)):
                await self.changed.wait()
        except asyncio.TimeoutError:
            pass

    async def read_answer(self, seconds: float):
        """Returns status, headers and text of the next final answer, or None if there is none."""
        until = time.monotonic() + seconds
        while (answer := parse_answer(self.data)) is None:
            if self.ended_at is not None or time.monotonic() > until:
                return None
            await self.wait(until - time.monotonic())
        *answer, length = answer
        self.data = self.data[length:]
        return answer


def parse_answer(data: bytes):
    """Returns status, headers, text and length of the first final answer, or None while it is not complete."""
    at, status = 0, 100
    while status < 200:
        end = data.find(b"\r\n\r\n", at)
        if end < 0:
            return None
        lines = data[at:end].decode("latin-1").split("\r\n")
        if not lines[0].startswith("HTTP/1.1 "):
            raise NoAnswer(f"{lines[0]!r} in place of an answer")
        status, at = int(lines[0].split(" ")[1]), end + 4
    headers = {name.lower(): value.strip() for name, value in (line.split(":", 1) for line in lines[1:])}
    if "content-length" in headers:
        end = at + int(headers["content-length"])
        return (status, headers, data[at:end].decode(), end) if len(data) >= end else None
    text, size = b"", -1
    while size != 0:
        end = data.find(b"\r\n", at)
        if end < 0:
            return None
        size = int(data[at:end], 16)
        at = end + 2 + size + 2
        if len(data) < at:
            return None
        text += data[end + 2:at - 2]
    return status, headers, text.decode(), at


@dataclasses.dataclass
class Call:
    """A request of a client."""

    request: str
    kind: str
    daemon: int
    shape: str
    is_first: bool
    began_at: float
    body: str
    # When the last byte was given to the kernel, if it was.
    whole_at: float = float("inf")
    status: int = 0
    # When the connection ended, at the earliest and at the latest, and what had come of the answer.
    ended_at: float = 0.0
    seen_at: float = 0.0
    received: str = ""
    was_reset: bool = False
    # The answer to the request before it on the connection, sent at once with it, said that the connection closes.
    follows_close: bool = False

    @property
    def timeout_ms(self) -> int:
        """The request's deadline, and its route's timeout."""
        return TIMEOUT_MS.get(self.kind, 3000)

    def pieces(self, rng: random.Random) -> list:
        """What to write, with pauses between the pieces."""
        framing = {"chunked": "Transfer-Encoding: chunked\r\n"}.get(self.shape, f"Content-Length: {len(self.body)}\r\n")
        if self.shape == "expect":
            framing += "Expect: 100-continue\r\n"
        head = (f"POST /{self.kind}/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: {self.request}\r\n"
                f"X-Deadline-Ms: {self.timeout_ms}\r\nAuthorization: Token key-kept\r\n"
                f"X-Token-Usage: 100,72\r\n{framing}\r\n").encode()
        body = self.body.encode()
        middle = len(body) // 2
        if self.shape == "chunked":
            chunks = [f"{len(it):x}\r\n".encode() + it + b"\r\n" for it in (body[:middle], body[middle:])]
            return [head + chunks[0], chunks[1], b"0\r\n\r\n"]
        if self.shape == "expect":
            return [head, body]
        if self.shape == "pieces":
            cut = rng.randrange(1, len(head))
            return [head[:cut], head[cut:] + body[:middle], body[middle:]]
        return [head + body]


class Pace(threading.Thread):
    """Lets a process run only for a part of each period, until the process ends or stop() is called."""

    def __init__(self, process, pace: str) -> None:
        super().__init__(daemon=True)
        self.process, self.pace = process, pace
        self.run_seconds, self.period = (int(it) / 1000 for it in pace.split("/"))
        self.is_ended = threading.Event()
        # How much longer than intended the process stood still.
        self.excess = 0.0
        self.start()

    def run(self) -> None:
        pause = self.period - self.run_seconds
        while not self.is_ended.is_set() and self.process.poll() is None:
            began_at = time.monotonic()
            self.process.send_signal(signal.SIGSTOP)
            self.is_ended.wait(pause)
            self.process.send_signal(signal.SIGCONT)
            self.excess += max(0, time.monotonic() - began_at - pause)
            self.is_ended.wait(self.run_seconds)

    def stop(self) -> None:
        self.is_ended.set()
        self.join()


class Stops(Soak):
    """A deployment whose daemons are stopped, restarted and configured."""

    def __init__(self, options, seed: int, folder: str) -> None:
        super().__init__(options, seed, folder)
        # The endpoints draw from the other generator whenever they get a request.
        self.plan = random.Random(seed)
        works, paces = options.works.split(","), options.paces.split(",")
        self.works = itertools.cycle(self.plan.sample(works, len(works)))
        self.paces = itertools.cycle(self.plan.sample(paces, len(paces)))
        self.selector = Selector()
        self.calls: list = []
        # When planned work affected each daemon, and its stops, as [begin, end].
        self.planned: dict = {i: [] for i in range(self.daemons)}
        self.stops: dict = {i: [] for i in range(self.daemons)}
        # When daemons lost their links.
        self.cut_at: dict = {}
        self.stop_seconds: list = []
        # The clients and endpoints no longer act as they should.
        self.is_over = False

    def create_loop(self):
        return asyncio.SelectorEventLoop(self.selector)

    def create_endpoint(self, name: str, service: str, version: str):
        endpoint = super().create_endpoint(name, service, version)
        endpoint.REJECTED = 0
        return endpoint

    # --- clients ---

    def takes_long(self, daemon: int) -> bool:
        """Every other daemon gets only requests that are soon answered."""
        return daemon % 2 == 1

    def has_endless_writers(self, daemon: int) -> bool:
        return daemon % 4 == 3

    async def connect(self, daemon: int) -> Channel:
        loop = asyncio.get_running_loop()
        host = f"{self.network}.{80 + daemon}"
        async with asyncio.timeout(3):
            _, channel = await loop.create_connection(lambda: Channel(self.selector), host, 8000)
        return channel

    def create_call(self, rng: random.Random, daemon: int, shape: str, is_first: bool) -> Call:
        kinds = LONG_KINDS if self.takes_long(daemon) else QUICK_KINDS
        kind = rng.choices(list(kinds), list(kinds.values()))[0]
        request = uuid.UUID(int=rng.getrandbits(128)).hex[:16]
        body = f"body-{request}" * rng.choice([1, 1, 30])
        call = Call(request, kind, daemon, shape, is_first, time.monotonic(), body)
        self.calls.append(call)
        return call

    async def client(self, number: int) -> None:
        """Sends requests to one daemon; three in four clients keep their connection."""
        rng = random.Random(number * 7919 + self.rng.randint(0, 1 << 30))
        daemon, keeps = number % self.daemons, number // self.daemons % 4 != 3
        channel = None
        while not self.stopping:
            await asyncio.sleep(rng.uniform(0.02, 0.5))
            if channel and (channel.ended_at is not None or not keeps):
                channel.close()
                channel = None
            is_first = channel is None
            try:
                channel = channel or await self.connect(daemon)
            except (OSError, asyncio.TimeoutError):
                self.count("no connection")
                continue
            shape = rng.choices(list(SHAPES), list(SHAPES.values()))[0]
            if not await self.exchange(rng, channel, daemon, shape, is_first):
                channel.close()
                channel = None

    async def exchange(self, rng: random.Random, channel: Channel, daemon: int, shape: str, is_first: bool) -> bool:
        """Sends one or two requests and reads the answers. Returns whether the connection can be used again."""
        calls = [self.create_call(rng, daemon, shape, is_first)]
        await self.send(rng, channel, calls[0])
        if shape == "two":
            await channel.wait(rng.choice([0, rng.uniform(0, 0.3)]))
            calls.append(self.create_call(rng, daemon, shape, False))
            await self.send(rng, channel, calls[1])
        is_open, closes = shape != "half-close", False
        for call in calls:
            call.follows_close = closes
            try:
                answer = await channel.read_answer(PATIENCE_SECONDS)
            except ValueError as error:
                self.add_finding("MIXED", f"{call.request} got {error}")
                return False
            if answer is None:
                is_open = False
                if channel.ended_at is None:
                    self.count("no answer in time")
                else:
                    call.ended_at, call.seen_at, call.was_reset = channel.ended_at, channel.seen_at, channel.was_reset
                    call.received = channel.data[:200].decode("latin-1")
                    self.judge_cut(call)
                continue
            call.status, headers, text = answer
            self.judge_answer(call, headers, text)
            closes = headers.get("connection") == "close"
            is_open = is_open and not closes and call.whole_at < float("inf")
        return is_open

    async def send(self, rng: random.Random, channel: Channel, call: Call) -> None:
        longest = 0.5 if self.takes_long(call.daemon) else 0.2
        pieces = call.pieces(rng)
        for n, piece in enumerate(pieces):
            if n and call.shape == "expect":
                await channel.wait(1.0)
                if channel.data and not channel.data.startswith(b"HTTP/1.1 100 "):
                    return
            elif n:
                await asyncio.sleep(rng.uniform(0.01, longest))
            if channel.ended_at is not None or not channel.write(piece):
                return
        call.whole_at = time.monotonic()
        if call.shape == "half-close":
            try:
                channel.transport.write_eof()
            except OSError:
                pass  # The connection has ended meanwhile.

    async def idle_client(self, daemon: int, sends_first: bool) -> None:
        """Keeps a connection open and sends nothing, or nothing after a first request."""
        rng = random.Random(self.rng.randint(0, 1 << 30))
        while not self.stopping:
            try:
                channel = await self.connect(daemon)
                if sends_first:
                    await self.exchange(rng, channel, daemon, "whole", True)
                while channel.ended_at is None and not self.stopping:
                    await channel.wait(1.0)
                channel.close()
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)

    async def endless_client(self, daemon: int, begin: bytes, piece: bytes, pause: float) -> None:
        """Writes a request that does not come to an end, or one request after the other."""
        rng = random.Random(self.rng.randint(0, 1 << 30))
        while not self.stopping:
            try:
                channel = await self.connect(daemon)
                if begin:
                    channel.write(begin)
                while channel.ended_at is None and not self.stopping:
                    channel.write(piece or self.create_call(rng, daemon, "whole", False).pieces(rng)[0])
                    channel.data = b""
                    await asyncio.sleep(pause)
                channel.close()
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)

    def count(self, outcome: str) -> None:
        self.count_outcome(False, outcome)

    # --- planned work ---

    async def faults(self) -> None:
        end = time.monotonic() + self.seconds
        pending = []
        while time.monotonic() < end:
            pending.append(asyncio.create_task(self.plan_work(random.Random(self.plan.getrandbits(64)))))
            await asyncio.sleep(self.plan.uniform(0.3, 2.0))
        await asyncio.gather(*pending)

    async def plan_work(self, rng: random.Random) -> None:
        """Planned work at one daemon or several at once, some of it at daemons with little processor time."""
        kind, pace = next(self.works), next(self.paces)
        free = [i for i in range(self.daemons) if i not in self.restarting]
        daemons = rng.sample(free, min(len(free), rng.choice([1, 1, 2, 3])))
        if not daemons:
            return
        self.restarting |= set(daemons)
        configuring = asyncio.create_task(self.configure_repeatedly(rng)) if kind == "configure" else None
        await asyncio.gather(*(self.affect(i, kind, pace, random.Random(rng.getrandbits(64))) for i in daemons))
        if configuring:
            await configuring
        self.restarting -= set(daemons)

    async def affect(self, i: int, kind: str, pace: str, rng: random.Random) -> None:
        interval = [time.monotonic(), float("inf")]
        self.planned[i].append(interval)
        slowed = None if pace == "all" else Pace(self.processes[i], pace)
        await asyncio.sleep(rng.uniform(0.05, 0.6))
        if kind == "stop":
            await self.stop(i, slowed, rng)
            # Some daemons are stopped again as soon as they listen.
            if rng.random() < 0.2 and self.has_started(i):
                await self.stop(i, None, rng)
        elif kind == "hup":
            await self.send_repeatedly(i, signal.SIGHUP)
        else:
            await asyncio.sleep(BESIDE_SECONDS)
        if slowed:
            slowed.stop()
        interval[1] = time.monotonic()

    async def send_repeatedly(self, i: int, signal_number: int) -> None:
        for _ in range(int(BESIDE_SECONDS / BESIDE_PERIOD)):
            self.send_signal(i, signal_number)
            await asyncio.sleep(BESIDE_PERIOD)

    async def configure_repeatedly(self, rng: random.Random) -> None:
        for _ in range(int(BESIDE_SECONDS / BESIDE_PERIOD)):
            self.unused_routes = rng.randint(0, MOST_ROUTES)
            await self.configure()
            await asyncio.sleep(BESIDE_PERIOD)

    async def stop(self, i: int, slowed: Pace | None, rng: random.Random) -> None:
        """Stops a daemon and starts it again."""
        process = self.processes[i]
        beside = rng.choice(BESIDE)
        is_quick = slowed is None and not self.takes_long(i) and beside != "configure"
        self.send_signal(i, signal.SIGTERM)
        stop = [time.monotonic(), float("inf")]
        self.stops[i].append(stop)
        other = None
        if beside == "term":
            asyncio.get_running_loop().call_later(rng.uniform(0.05, 3.0), process.send_signal, signal.SIGTERM)
        elif beside == "hup":
            other = asyncio.create_task(self.send_repeatedly(i, signal.SIGHUP))
        elif beside == "configure":
            other = asyncio.create_task(self.configure_repeatedly(rng))
        while process.poll() is None and time.monotonic() < stop[0] + GRACE_SECONDS + (slowed.excess if slowed else 0):
            await asyncio.sleep(0.01)
        pace = slowed.pace if slowed else "all"
        if process.poll() is None:
            self.add_finding("DRAIN", f"daemon {i} (processor time {pace}) did not end within {GRACE_SECONDS:g} s of "
                             "SIGTERM")
            process.kill()
            process.wait()
        elif process.returncode != 0:
            self.add_finding("DRAIN", f"daemon {i} ended with {process.returncode} after SIGTERM")
        stop[1] = time.monotonic()
        self.stop_seconds.append((stop[1] - stop[0], is_quick))
        if is_quick and stop[1] - stop[0] > QUICK_STOP_SECONDS and not self.was_stalled(*stop):
            self.add_finding("DRAIN", f"daemon {i} ended {stop[1] - stop[0]:.2f} s after SIGTERM, though no request "
                             "took long")
        if other:
            other.cancel()
        if slowed:
            slowed.stop()
        await asyncio.sleep(rng.uniform(0.05, 0.6))
        self.spawn(i)
        for _ in range(200):
            if self.has_started(i):
                return
            await asyncio.sleep(0.02)

    async def lose_links(self) -> None:
        """Takes the links to the endpoints from the first daemon, whose requests then pass through its peers."""
        self.restarting.add(0)
        self.cut_at[0] = time.monotonic()
        mode = self.plan.choice(["hang", "reset"])
        for link in self.links[0]:
            link.cut(mode)
        await asyncio.sleep(CONTACT_SECONDS)

    # --- checks ---

    def excuse(self, call: Call) -> str:
        """Why the rule does not count a request that got no complete answer, or nothing."""
        if call.seen_at >= call.began_at + call.timeout_ms / 1000:
            return "timeout"
        for stopped_at, _ in self.stops[call.daemon]:
            done = min((it.answered[call.request] for it in self.endpoints if call.request in it.answered),
                       default=float("inf"))
            if (call.request in self.executions and done >= stopped_at + LATE_WORK_SECONDS
                    and stopped_at + LATE_WORK_SECONDS <= call.ended_at <= stopped_at + GRACE_SECONDS + 1
                    and call.whole_at <= stopped_at + LATE_SENT_SECONDS):
                return "late work"
        cut_at = self.cut_at.get(call.daemon, float("inf"))
        if call.began_at < cut_at + CONTACT_SECONDS and call.ended_at > cut_at:
            return "links"
        return ""

    def judge_cut(self, call: Call) -> None:
        if self.is_over:
            return
        if call.whole_at == float("inf"):
            self.count("cut before it was whole")
            return
        late = call.ended_at - call.whole_at
        ran = len(self.executions.get(call.request, []))
        excuse = self.excuse(call)
        stopped_at = max((at for at, _ in self.stops[call.daemon] if at <= call.ended_at), default=float("-inf"))
        is_lost = not excuse and (ran > 0 or late > LOSS_SLACK_SECONDS
                                  or self.is_calm(call.daemon, call.began_at, time.monotonic()))
        if excuse:
            self.count(f"cut, {excuse}")
        else:
            self.count(("cut, LOST" if is_lost else "cut within the slack")
                       + (" after Connection: close" if call.follows_close else ""))
        record = dataclasses.asdict(call) | {
            "late": late, "ran": ran, "excuse": excuse, "after_sigterm": call.ended_at - stopped_at, "lost": is_lost}
        with open(os.path.join(self.folder, "cuts.jsonl"), "a", encoding="utf-8") as out:
            out.write(json.dumps(record | {"ended_wall": time.time() - time.monotonic() + call.ended_at}) + "\n")
        if is_lost:
            end = "a reset" if call.was_reset else "its end"
            close = ", after Connection: close" if call.follows_close else ""
            self.add_finding("LOST", f"{call.request} ({call.kind}, {call.shape}, "
                             f"{'new' if call.is_first else 'kept'} connection"
                             f"{close}) got {end} {late:.2f} s after its last byte, {call.ended_at - stopped_at:.2f} s "
                             f"after SIGTERM of daemon {call.daemon}, and ran {ran} times")

    def is_calm(self, daemon: int, begin: float, end: float) -> bool:
        intervals = self.planned[daemon] + [[at, float("inf")] for at in [self.cut_at.get(daemon)] if at]
        return self.is_unaffected(intervals, begin, end) and not self.was_stalled(begin, end)

    def judge_answer(self, call: Call, headers: dict, text: str) -> None:
        if self.is_over:
            return
        self.count(str(call.status))
        now = time.monotonic()
        if call.kind != "long":
            self.check_response(call.request, call.kind, "key-kept", call.body, call.status, headers, text, True,
                                call.daemon, call.began_at)
        if call.status in (429, 503):
            if "retry-after" not in headers:
                self.add_finding("REFUSED", f"{call.request} got {call.status} without Retry-After")
            if self.executions.get(call.request):
                self.add_finding("REFUSED", f"{call.request} got {call.status} and ran")
        in_time = now < call.began_at + call.timeout_ms / 1000
        if call.status != 200 and in_time and self.is_calm(call.daemon, call.began_at, now):
            self.add_finding("RECOVER", f"{call.request} got {call.status} from daemon {call.daemon}, which no planned "
                             "work affected")

    def check(self) -> None:
        for request, executions in self.executions.items():
            if executions[0][3].startswith(("/once/", "/slow/")) and len(executions) > 1:
                self.add_finding("TWICE", f"{request} ran {len(executions)} times")
        for i, process in self.processes.items():
            if process.poll() is not None:
                self.add_finding("FAULT", f"daemon {i} ended by itself with {process.returncode}")

    async def run(self) -> None:
        await self.start()
        now = time.monotonic()
        for intervals in self.planned.values():
            intervals.append([now, now])
        watch = asyncio.create_task(self.watch_stalls())
        clients = [self.client(number) for number in range(self.clients)]
        for i in range(self.daemons):
            clients += [self.idle_client(i, False), self.idle_client(i, True)]
            if self.has_endless_writers(i):
                clients += [self.endless_client(i, *flood) for flood in ENDLESS]
        clients = [asyncio.create_task(it) for it in clients]
        await asyncio.sleep(1.5)
        if self.has_links:
            await self.lose_links()
        await self.faults()
        await asyncio.sleep(1.0)
        self.stopping = True
        await asyncio.wait(clients, timeout=2.0)
        self.is_over = True
        watch.cancel()
        self.check()
        self.requests = self.calls
        quick = [seconds for seconds, is_quick in self.stop_seconds if is_quick]
        longest = max(self.stop_seconds, default=(0,))[0]
        print(f"{len(self.stop_seconds)} stops of up to {longest:.1f} s, {len(quick)} at full speed without long "
              f"requests of up to {max(quick, default=0):.1f} s; {len(self.stalls)} stalls of the soak")


def main() -> int:
    parser = create_parser(__doc__)
    parser.add_argument("--works", default=WORKS, help="kinds of planned work, in turn")
    parser.add_argument("--paces", default=PACES, help="processor time of daemons during planned work, in "
                        "turn: all, or milliseconds of each period of so many")
    parser.set_defaults(daemons=8, endpoints=18, applications=9, clients=96)
    return play(parser.parse_args(), Stops)


if __name__ == "__main__":
    sys.exit(main())
