"""Stand-ins for the soak test: the platform's store, endpoints that record each execution, and faulty links."""

import asyncio
import base64
import json
import random
import socket
import struct
import time
import urllib.parse

CHUNK_END = b"0\r\n\r\n"
# How clients can ask an endpoint to fail their requests.
FAILURES = ["empty", "close", "reset", "invalid", "error", "unsigned", "slow"]
# Longer than such clients wait.
SLOW_SECONDS = 4.0


async def read_request(reader: asyncio.StreamReader):
    """Returns method, target, headers (names in lower case) and body, or None if the connection has ended."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return method, target, headers, body


def build_response(status: int, body: bytes, fields: dict | None = None) -> bytes:
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (fields or {}).items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class NoAnswer(ValueError):
    """A client received bytes that are no part of an answer."""


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Reads one chunk of a body; the last one is empty."""
    line = await reader.readuntil(b"\r\n")
    try:
        size = int(line.strip(), 16)
    except ValueError as error:
        raise NoAnswer(f"{line!r} in place of a chunk") from error
    chunk = await reader.readexactly(size + 2)
    if chunk[size:] != b"\r\n":
        raise NoAnswer(f"{chunk[size:]!r} after a chunk")
    return chunk[:size]


def prompt_parts(headers: dict) -> list:
    """The ids of the parts of a request's prompt, in order."""
    return [part.split(":")[0] for part in headers.get("x-prefix-hash", "").split(",") if part]


def reset(writer) -> None:
    """Resets a connection. Without lingering, asyncio closes it in order, which is the end of an answer without length."""
    if connected := writer.get_extra_info("socket"):
        try:
            connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass  # It is closed already.
    writer.transport.abort()


class Server:
    """An HTTP server on a loopback address; subclasses answer requests."""

    def __init__(self) -> None:
        self.server = None
        self.writers: set = set()

    async def listen(self, host: str, port: int) -> None:
        self.server = await asyncio.start_server(self.serve, host, port, backlog=512)

    async def serve(self, reader, writer) -> None:
        self.writers.add(writer)
        try:
            while request := await read_request(reader):
                await self.respond(*request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass  # The peer closed the connection, an intended fault, or the soak has ended.
        finally:
            self.writers.discard(writer)
            writer.close()

    def crash(self) -> None:
        """Resets every connection and accepts none until listen() is called again."""
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            reset(writer)

    async def respond(self, method, target, headers, body, writer) -> None:
        raise NotImplementedError


class Store(Server):
    """The transactional store: versioned rows and a long-poll feed of changes.

    rewind() brings it back from an older copy, as another era: versions are given out again.
    """

    def __init__(self) -> None:
        super().__init__()
        self.version = 1
        self.era = 1
        self.is_away = False
        # The number of calls by second and kind.
        self.calls: dict = {}
        self.rows: dict = {}
        # For each row written, oldest first: the time, the key, the row before, and the version of the store.
        self.history: list = []
        self.changed = asyncio.Condition()
        # The addresses of endpoints as the daemon behind a port of the store sees them, by port and address.
        self.views: dict = {}

    async def put(self, table: str, key: str, value: dict | str | None) -> None:
        """Writes a row; None deletes it."""
        text = value if isinstance(value, str) or value is None else json.dumps(value)
        await self.write([((table, key), text)])

    async def write(self, rows: list) -> None:
        """Writes rows at once."""
        async with self.changed:
            self.version += 1
            for key, text in rows:
                self.history.append((time.monotonic(), key, self.rows.get(key), self.version))
                self.rows[key] = (self.version, text)
            self.changed.notify_all()

    async def rewind(self, seconds: float) -> dict:
        """Goes back to the state of that many seconds ago. Returns the values that were lost, by table and key."""
        lost: dict = {}
        since = time.monotonic() - seconds
        async with self.changed:
            while self.history and self.history[-1][0] > since:
                _, key, before, version = self.history.pop()
                lost.setdefault(key, self.rows[key][1])
                self.version = version - 1
                if before is None:
                    del self.rows[key]
                else:
                    self.rows[key] = before
            self.era += 1
            self.changed.notify_all()
        return lost

    @staticmethod
    def now() -> int:
        """The store's clock in milliseconds."""
        return int(time.monotonic() * 1000)

    def version_of(self, key: tuple) -> int:
        """The version of a row; 0 if there is no such row."""
        version, text = self.rows.get(key, (0, None))
        return 0 if text is None else version

    def encode_rows(self, table: str, after: int, with_deleted: bool, view: dict) -> list:
        rows = []
        for (name, key), (version, text) in sorted(self.rows.items()):
            if name != table or version <= after or (text is None and not with_deleted):
                continue
            row = {"Table": table, "part": "", "Key": key, "Ver": version}
            if text is None:
                row["Deleted"] = True
            else:
                for address, seen in view.items() if table == "servers" else ():
                    text = text.replace(f'"{address}"', f'"{seen}"')
                row["Value"] = base64.b64encode(text.encode("utf-8", "surrogateescape")).decode()
            rows.append(row)
        return rows

    async def respond(self, method, target, headers, body, writer) -> None:
        url = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
        call = (int(time.monotonic()), "write" if url.path.endswith("rows-tx") else "read")
        self.calls[call] = self.calls.get(call, 0) + 1
        if self.is_away:
            writer.write(build_response(503, b"", {"Store-Era": self.era}))
            return
        status = 200
        view = self.views.get(writer.get_extra_info("sockname")[1], {})
        if url.path.endswith("rows-tx"):
            call = json.loads(body)
            expected = [((row["Table"], row["Key"]), row["Ver"]) for row in call["ExpectedRev"]]
            if all(self.version_of(key) == version for key, version in expected):
                # Values of the daemons' own tables are bytes.
                rows = [((row["Table"], row["Key"]), base64.b64decode(row["Value"]).decode("utf-8", "surrogateescape"))
                        for row in call["Write"]]
                await self.write(rows + [((row["Table"], row["Key"]), None) for row in call["Delete"]])
                result = {"Ver": self.version, "NowMs": self.now()}
            else:
                status = 412
                current = [row for key, _ in expected if self.version_of(key)
                           for row in self.encode_rows(key[0], 0, False, view) if row["Key"] == key[1]]
                result = {"Rows": current, "Ver": self.version, "NowMs": self.now()}
        elif url.path.endswith("rows-get"):
            rows = [row for row in self.encode_rows(query["Table"], 0, False, view)
                    if query.get("From", "") <= row["Key"] and ("To" not in query or row["Key"] < query["To"])]
            n = int(query.get("Limit", len(rows)))
            result = {"Rows": rows[:n], "HasMore": len(rows) > n, "Ver": self.version, "NowMs": self.now()}
        else:
            after = int(query["After"])
            rows = self.encode_rows(query["Table"], after, True, view)
            deadline = time.monotonic() + int(query["WaitMs"]) / 1000
            while not rows and (left := deadline - time.monotonic()) > 0:
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
                rows = self.encode_rows(query["Table"], after, True, view)
            result = {"Rows": rows, "Ver": self.version}
            status = 410 if after > self.version else 200
        writer.write(build_response(status, json.dumps(result).encode(),
                                    {"Content-Type": "application/json", "Store-Era": self.era}))


class Endpoint(Server):
    """An engine or an application: runs requests and records each execution by request ID."""

    EVENTS = 12
    # Events of a stream on the route "long", which outlasts most faults that interrupt it.
    LONG_EVENTS = 50
    # Seconds between two events of such a stream, and before its first one.
    LONG_PAUSE = 0.05
    PREFILL_SECONDS = 0.1
    # The time that a request on the route "slow" takes.
    SLOW_SECONDS = (5.0, 7.0)
    # How much later a slow software version begins a response.
    SLOW_VERSION_SECONDS = 0.4
    # Seconds between the begin of a request that crashes the endpoint and its end.
    CRASH_DELAY = 0.1
    # The fraction of requests that an endpoint rejects, and that it rejects while it states a limit.
    REJECTED = 0.02
    REJECTED_IN_NEED = 0.2
    # The fraction of requests that a busy endpoint rejects.
    REJECTED_IF_BUSY = 0.5
    SLOTS = 6
    # Seconds after which the daemons have to know what the endpoint states.
    CONTACT = 3.0
    # How long a brittle endpoint works on a request, and how many it lets wait at first and later.
    BRITTLE_WORK = 0.25
    QUEUE = 60
    SHORT_QUEUE = 2

    def __init__(self, name: str, service: str, executions: dict, rng: random.Random) -> None:
        super().__init__()
        self.name, self.service, self.executions, self.rng = name, service, executions, rng
        self.version = "v1"
        # The parts of prompts that crash an engine, the bodies of requests that crash an endpoint, and what to call
        # for such a crash, with this and the part or body.
        self.crashing_parts: set = set()
        self.crashing_bodies: dict = {}
        self.crashed_by = None
        self.refuses = False
        # The requests per second that the endpoint states in its answers; the requests that reached it, and those
        # whose answer stated a limit, as (time, request).
        self.limit: float | None = None
        self.leaving = False
        # How a bad software version answers a fraction of the requests on a route (or on each), from when on, and the
        # times of such answers.
        self.bad_kind, self.bad_fraction, self.bad_from, self.bad_route = "", 0.0, 0.0, ""
        self.bad: list = []
        # The longest time in seconds that it works on a request which is answered at once.
        self.work = 0.05
        # The requests that were meant for another endpoint.
        self.misdirected = 0
        # Seconds for which the endpoint wants no requests from a daemon that it rejects; the rejections as (time,
        # request, seconds).
        self.retry_after: float | None = None
        self.rejections: list = []
        # The endpoint rejects some requests without a request id, and writes such a rejection once more on its connection
        # when it runs the next request; the rejections by connection.
        self.repeats_rejections = False
        self.written_rejections: dict = {}
        # The fraction of answers, with a request id, that the endpoint writes once more where the next answer on their
        # connection is expected; such copies by connection.
        self.repeated = 0.0
        self.copies: dict = {}
        self.is_busy = False
        # The rejections in a second beyond which the endpoint fails, when it stated this first, what to call when it
        # fails, and when it rejected requests.
        self.brittle: int | None = None
        self.brittle_since = 0.0
        self.fell = None
        self.rejected: list = []
        self.admitted = 0
        # The endpoint neither reads nor writes until then.
        self.silent_until = 0.0
        # How it ends a stream: by a last chunk, by closing the connection, or, if nothing is left of a resumed one, with
        # 204; and the pause before the end of a long one.
        self.ending = "chunk"
        self.tail = 0.0
        self.slots = asyncio.Semaphore(self.SLOTS)
        self.started = 1
        self.arrivals: list = []
        # When the endpoint had written its answer to a request that it ran, by request.
        self.answered: dict = {}
        self.told: list = []
        self.told_leaving: list = []

    def own_headers(self, request: str, states_limit: bool = True) -> dict:
        """What the endpoint states about itself in each answer, its limit only where it runs the request."""
        headers = {}
        if self.limit is not None and states_limit:
            self.told.append((time.monotonic(), request))
            headers["Server-Limit"] = f"{self.limit:g}"
        if self.brittle is not None:
            headers["Server-Brittle"] = f"{self.brittle}"
        if self.leaving:
            self.told_leaving.append((time.monotonic(), request))
            headers["Server-Leaving"] = "1"
        return headers

    def row(self, address: str, state: str = "ready") -> dict:
        return {"Service": self.service, "Addr": address, "Zone": "a", "Slots": self.SLOTS, "State": state, "Seq": 1,
                "Version": self.version, "born": self.started}

    def rejected_fraction(self) -> float:
        if self.is_busy:
            return self.REJECTED_IF_BUSY
        return self.REJECTED if self.limit is None else self.REJECTED_IN_NEED

    def write_answer(self, writer, answer: bytes) -> None:
        writer.write(answer)
        if self.repeated and self.rng.random() < self.repeated:
            self.copies[writer] = answer

    async def wait_for_voice(self) -> None:
        while (left := self.silent_until - time.monotonic()) > 0:
            await asyncio.sleep(left)

    async def respond(self, method, target, headers, body, writer) -> None:
        await self.wait_for_voice()
        request = headers.get("x-request-id", "")
        if copy := self.copies.pop(writer, None):
            writer.write(copy)
        if headers.get("x-expect-instance") != self.name:
            self.misdirected += 1
            writer.write(build_response(421, b"", {"X-Instance-Id": self.name}))
            return
        self.arrivals.append((time.monotonic(), request))
        if self.refuses or self.rng.random() < self.rejected_fraction():
            fields = {"X-Not-Executed": "1", "X-Request-Id": request}
            self.write_answer(writer,
                              build_response(503, b"", fields | self.own_headers(request, states_limit=False)))
            return
        if self.retry_after is not None:
            self.rejections.append((time.monotonic(), request, self.retry_after))
            writer.write(build_response(503, b"", {"X-Not-Executed": "1", "Retry-After": f"{self.retry_after:g}"}
                                        | self.own_headers(request)))
            return
        if self.brittle is not None:
            await self.respond_brittle(request, headers, target, body, writer)
            return
        if self.repeats_rejections and self.rng.random() < self.REJECTED_IN_NEED:
            self.written_rejections[writer] = build_response(503, b"", {"X-Not-Executed": "1"})
            writer.write(self.written_rejections[writer])
            return
        if rejection := self.written_rejections.pop(writer, None):
            writer.write(rejection)
        await self.execute(request, headers, target, body, writer)
        self.answered[request] = time.monotonic()

    async def respond_brittle(self, request, headers, target, body, writer) -> None:
        """Runs a request when a slot is free, or rejects it; too many rejections in a second end the endpoint."""
        now = time.monotonic()
        is_fragile = now - self.brittle_since >= self.CONTACT
        if self.admitted >= self.SLOTS + (self.SHORT_QUEUE if is_fragile else self.QUEUE):
            self.rejected = [at for at in self.rejected if now - at < 1.0] + [now]
            writer.write(build_response(503, b"", {"X-Not-Executed": "1", "X-Request-Id": request}
                                        | self.own_headers(request)))
            if is_fragile and len(self.rejected) > self.brittle:
                self.rejected = []
                self.fell(self)
            return
        self.admitted += 1
        try:
            async with self.slots:
                if writer.transport.is_closing():
                    return
                await asyncio.sleep(self.BRITTLE_WORK)
                await self.execute(request, headers, target, body, writer)
        finally:
            self.admitted -= 1

    def is_bad(self, target: str) -> bool:
        return (self.bad_kind != "" and time.monotonic() >= self.bad_from and self.bad_route in target
                and self.rng.random() < self.bad_fraction)

    async def fail(self, failure: str, request: str, own: dict, writer) -> None:
        if failure == "slow":
            await asyncio.sleep(SLOW_SECONDS)
        elif failure == "empty":
            fields = "".join(f"{name}: {value}\r\n" for name, value in own.items())
            writer.write(f"HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n".encode() + CHUNK_END)
        elif failure == "error":
            writer.write(build_response(500, b"error", own))
        elif failure == "unsigned":
            writer.write(build_response(200, b"unsigned", {"X-Request-Id": request}))
        elif failure == "reset":
            reset(writer)
        else:
            if failure == "invalid":
                writer.write(b"no answer\r\n\r\n")
            writer.close()

    async def execute(self, request, headers, target, body, writer) -> None:
        self.executions.setdefault(request, []).append((time.monotonic(), self, headers, target, body))
        if body.decode() in self.crashing_bodies:
            await asyncio.sleep(self.CRASH_DELAY)
            self.crashed_by(self, body.decode())
            return
        signature_headers = {"X-Request-Id": request, "X-Served-By-Sig": f"{self.name}.{request}"}
        if failure := headers.get("x-odd"):
            await self.fail(failure, request, signature_headers, writer)
            return
        if self.is_bad(target):
            self.bad.append(time.monotonic())
            if self.bad_kind == "error":
                await self.fail("error", request, signature_headers, writer)
                return
            await asyncio.sleep(self.SLOW_VERSION_SECONDS)
        if "/stream/" not in target and "/long/" not in target:
            slow = self.rng.uniform(*self.SLOW_SECONDS) if "/slow/" in target else 0
            await asyncio.sleep(slow + self.rng.uniform(0.1, 1.0) * self.work)
            await self.wait_for_voice()
            signature_headers |= self.own_headers(request)
            self.write_answer(writer, build_response(200, b"done:" + request.encode() + body, signature_headers))
            return
        signature_headers |= self.own_headers(request)
        fields = "".join(f"{name}: {value}\r\n" for name, value in signature_headers.items())
        is_long = "/long/" in target
        last = self.LONG_EVENTS if is_long else self.EVENTS
        begin = int(headers.get("last-event-id", "0")) + 1
        if self.ending == "no content" and begin > last:
            writer.write(f"HTTP/1.1 204 No Content\r\n{fields}\r\n".encode())
            return
        is_chunked = self.ending != "connection"
        coding = "Transfer-Encoding: chunked\r\n" if is_chunked else ""
        writer.write(f"HTTP/1.1 200 OK\r\n{fields}{coding}\r\n".encode())
        if is_long:
            await asyncio.sleep(self.PREFILL_SECONDS)
        if writer.transport.is_closing():
            return
        for part in prompt_parts(headers)[:-1]:
            if part in self.crashing_parts:
                self.crashed_by(self, part)
                return
        for event in range(begin, last + 1):
            await asyncio.sleep(self.LONG_PAUSE if is_long else 0.02)
            await self.wait_for_voice()
            chunk = f"id: {event}\ndata: {request} {self.version}\n\n".encode()
            writer.write(f"{len(chunk):x}\r\n".encode() + chunk + b"\r\n" if is_chunked else chunk)
            await writer.drain()
        if is_long and self.tail:
            await asyncio.sleep(self.tail)
        if is_chunked:
            writer.write(CHUNK_END)
        else:
            writer.close()


class Proxy:
    """A loopback TCP proxy that can delay, reset or drop traffic, in both directions or only towards the client.

    After traffic was dropped, pass_again() leaves the open connections silent for good, without a reset.
    """

    # Bytes that a link of limited bandwidth carries at a time.
    PIECE = 4096

    def __init__(self, target: tuple) -> None:
        self.target = target
        self.mode = "pass"
        # Bytes per second towards the client, all connections together, or None without a limit; and when the link is
        # free again.
        self.bandwidth: float | None = None
        self.free_at = 0.0
        self.writers: set = set()
        self.dead_writers: set = set()
        # Kept, because a writer that nothing refers to closes its connection.
        self.silenced: list = []

    async def listen(self, host: str, port: int) -> None:
        await asyncio.start_server(self.relay, host, port, backlog=512)

    def set_mode(self, mode: str) -> None:
        self.mode = mode
        if mode == "reset":
            for writer in list(self.writers):
                reset(writer)

    def pass_again(self) -> None:
        if self.mode in ("silent", "one_way"):
            self.dead_writers |= self.writers
        self.mode = "pass"

    async def relay(self, reader, writer) -> None:
        if self.mode == "reset":
            reset(writer)
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            reset(writer)
            return
        self.writers |= {writer, target_writer}
        try:
            await asyncio.gather(self.pump(reader, target_writer, False), self.pump(target_reader, writer, True))
        except asyncio.CancelledError:
            pass  # The soak has ended.
        self.writers -= {writer, target_writer}
        self.dead_writers -= {writer, target_writer}

    async def pump(self, reader, writer, is_response: bool) -> None:
        has_dropped = False
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(0.15)
                # Bytes are dropped, as in a partition whose sender stops retransmitting.
                if self.mode == "silent" or (self.mode == "one_way" and is_response) or writer in self.dead_writers:
                    has_dropped = True
                    continue
                if self.bandwidth is not None and is_response:
                    await self.send_slowly(data, writer)
                    continue
                writer.write(data)
                await writer.drain()
            # Nothing that follows lost bytes arrives, the end of the connection included.
            if has_dropped:
                self.silenced.append(writer)
            else:
                writer.close()
        except (ConnectionError, OSError):
            reset(writer)

    async def send_slowly(self, data: bytes, writer) -> None:
        for begin in range(0, len(data), self.PIECE):
            piece = data[begin:begin + self.PIECE]
            self.free_at = max(self.free_at, time.monotonic()) + len(piece) / (self.bandwidth or float("inf"))
            await asyncio.sleep(self.free_at - time.monotonic())
            writer.write(piece)
            await writer.drain()


class Link(Proxy):
    """The link of one daemon to one endpoint, which can be lost as in a partition."""

    # A listening socket whose queue of new connections is full lets further ones hang.
    QUEUE = 4

    def __init__(self, target: tuple, address: tuple) -> None:
        super().__init__(target)
        self.address = address
        self.server = None
        self.blocked: list = []

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.relay, *self.address, backlog=512)

    def cut(self, mode: str) -> None:
        """Loses the link: "hang", "reset", "refuse" (new connections only) or "one_way" (answers only)."""
        self.server.close()
        if mode in ("hang", "one_way"):
            self.mode = "silent" if mode == "hang" else "one_way"
            listener = socket.socket()
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(self.address)
            listener.listen(0)
            self.blocked = [listener]
            for _ in range(self.QUEUE):
                waiting = socket.socket()
                waiting.setblocking(False)
                waiting.connect_ex(self.address)
                self.blocked.append(waiting)
        elif mode == "reset":
            self.set_mode("reset")

    async def restore(self) -> None:
        for it in self.blocked:
            it.close()
        self.blocked = []
        self.pass_again()
        await self.start()
