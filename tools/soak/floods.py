"""Floods of bytes: endpoints, and clients, that send much and do not come to an end.

For each flood, a new daemon with a small memory limit gets many requests to a faulty endpoint, or from faulty clients, at
once, and sound requests beside them. The sound ones must be served, and the daemon must stay below its memory limit.

    floods.py --daemon build/bin/lentilbayd [--floods NAME,...] [--at-once N] [--idle-connections N]
"""

import argparse
import asyncio
import json
import os
import random
import subprocess
import sys
import tempfile
import uuid

from standins import Endpoint, Store

# The smallest limit of the platform's hosts.
MEMORY_MB = 88
SOUND_REQUESTS = 40
SOUND_SHARE = 0.95
# How long a flood lasts; it ends sooner if the daemon ends all its connections.
FLOOD_SECONDS = 4.0
DEADLINE_MS = 3000
PIECE = b"x" * 65536
BODY_BYTES = 4_000_000


def head(*fields: str) -> bytes:
    return "\r\n".join(["HTTP/1.1 200 OK", "X-Served-By-Sig: s", *fields]).encode() + b"\r\n"


CHUNKED, STREAM = "Transfer-Encoding: chunked", "Content-Type: text/event-stream"
# What an endpoint sends: a beginning, what is repeated until the connection is closed, and the pause after each time.
ENDPOINT_FLOODS = {
    "many-fields": (head() + b"A:\r\n" * 15_000, b"", 0),
    "endless-fields": (head(), b"A:\r\n" * 1000, 0),
    "long-field": (head() + b"A: ", PIECE, 0),
    "unfinished-event": (head(STREAM, CHUNKED) + b"\r\n3eaa8\r\ndata: " + b"x" * 256_600, b"", 0),
    "body-with-length": (head("Content-Length: 99999999") + b"\r\n", PIECE, 0),
    "chunks": (head(CHUNKED) + b"\r\n", b"10000\r\n" + PIECE + b"\r\n", 0),
    "body-without-length": (head() + b"\r\n", PIECE, 0),
    "chunk-extension": (head(CHUNKED) + b"\r\n1;", PIECE, 0),
    "trailer": (head(CHUNKED) + b"\r\n0\r\n", b"A: b\r\n" * 1000, 0),
    "interim-answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 1000, 0),
    "interim-body": (b"HTTP/1.1 102 Processing\r\nTransfer-Encoding: chunked\r\n\r\n", b"10000\r\n" + PIECE + b"\r\n", 0),
    "slow-body": (head("Content-Length: 4000000") + b"\r\n" + b"x" * 393_000, b"x", 0.1),
}
# What a client sends of a request on the route /safe/, and no more.
CLIENT_FLOODS = {
    "request-bodies": (f"Content-Length: {BODY_BYTES}\r\n\r\n".encode(), 3_900_000, b""),
    "request-chunks": (b"Transfer-Encoding: chunked\r\n\r\n" + f"{BODY_BYTES:x}\r\n".encode(), 3_900_000, b""),
    "request-bodies-of-unknown-keys": (f"Authorization: Token none\r\nContent-Length: {BODY_BYTES}\r\n\r\n".encode(),
                                       3_900_000, b""),
    "request-heads": (b"A:\r\n" * 3_700, 0, b""),
}
# Sound clients that do not read their long answers.
READER_FLOODS = ["unread-answers"]


class SoundEndpoint(Endpoint):
    """A sound endpoint with long answers on the route /long/."""

    SLOTS = 100
    LONG_BODY = b"y" * 2_000_000

    async def execute(self, request, headers, target, body, writer) -> None:
        if not target.startswith("/long/"):
            await super().execute(request, headers, target, body, writer)
            return
        writer.write(head(f"X-Request-Id: {request}", f"Content-Length: {len(self.LONG_BODY)}") + b"\r\n" + self.LONG_BODY)


class Floods:
    """One daemon with a sound and a faulty endpoint."""

    def __init__(self, options: argparse.Namespace, number: int, folder: str) -> None:
        self.options, self.folder = options, folder
        # A loopback network per run, so that runs do not use the same addresses.
        self.network = f"127.{40 + os.getpid() % 200}.{200 + number}"
        self.store = Store()
        self.process = None
        self.flood: tuple = (b"", b"", 0)
        self.writers: list = []

    async def serve_flood(self, reader, writer) -> None:
        """Answers each request with the flood, until the daemon closes the connection."""
        try:
            request = await reader.readuntil(b"\r\n\r\n")
            fields = dict(line.split(": ", 1) for line in request.decode("latin-1").split("\r\n")[1:] if ": " in line)
            begin, again, pause = self.flood
            writer.write(begin.replace(b"OK\r\n", f"OK\r\nX-Request-Id: {fields['X-Request-Id']}\r\n".encode(), 1))
            while again:
                writer.write(again)
                await writer.drain()
                await asyncio.sleep(pause)
            await reader.read()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # The daemon has closed the connection.
        finally:
            writer.close()

    async def start(self) -> None:
        await self.store.listen(f"{self.network}.1", 7000)
        for port, service in ((7001, "app"), (7002, "long")):
            sound = SoundEndpoint(f"i-{service}", service, {}, random.Random(1))
            await sound.listen(f"{self.network}.20", port)
            await self.store.put("servers", sound.name, sound.row(f"{self.network}.20:{port}"))
        await asyncio.start_server(self.serve_flood, f"{self.network}.20", 7003, backlog=512)
        await self.store.put("servers", "i-bad", Endpoint("i-bad", "bad", {}, random.Random(1)).row(
            f"{self.network}.20:7003") | {"Slots": 400})
        routes = [{"Name": name, "Host": "h", "Prefix": f"/{name}/", "Type": wire, "TimeoutMs": DEADLINE_MS, "SloMs": 300,
                   "Service": service, "Attempts": 2, "Resumable": wire == "stream", "Priority": 0}
                  for name, wire, service in (("safe", "safe", "app"), ("long", "safe", "long"), ("bad", "safe", "bad"),
                                              ("bad-stream", "stream", "bad"))]
        await self.store.put("op", "config", {
            "Version": 2, "Routes": routes,
            "Services": [{"Name": name, "MaxConns": 400} for name in ("app", "long", "bad")],
            "Tenants": [{"Name": "t", "ApiKeys": ["key"]}]})
        address = f"{self.network}.80"
        settings = {"Node": "edge-0", "Ip": address, "Zone": "a", "Region": "r", "Zones": {"a": "r"},
                    "Listen": {"Frontend": f"{address}:8000", "Ready": f"{address}:8001"}, "InternalPorts": [7600, 7615],
                    "Bootstrap": True, "Limits": {"CpuQuota": 1, "MemoryMb": MEMORY_MB},
                    "Bounds": {"RevokeMs": 5000, "DrainMs": 2500, "ConfigDeadlineMs": 2500, "GraceS": 8,
                               "RetryBudgetRatio": 0.2, "BudgetSlack": 50, "BudgetWindowS": 10, "QuotaWindowS": 8},
                    "Platform": {"Addr": f"{self.network}.1:7000"}}
        path = os.path.join(self.folder, "edge-0.json")
        with open(path, "w", encoding="utf-8") as out:
            json.dump(settings, out)
        with open(os.path.join(self.folder, "edge-0.log"), "wb") as log:
            self.process = subprocess.Popen([self.options.daemon, "--platform"], stdout=log, stderr=log,
                                            env={"LENTILBAY_CONFIG": path, "PATH": os.environ["PATH"]})
        for _ in range(100):
            if await self.send_sound("safe") == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the daemon serves no request")

    def request(self, route: str, fields: str = "", body: str = "Content-Length: 2\r\n\r\nok") -> bytes:
        return (f"POST /{route}/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: {uuid.uuid4().hex[:16]}\r\n"
                f"X-Deadline-Ms: {DEADLINE_MS}\r\nX-Token-Usage: 100,72\r\n{fields}{body}").encode()

    async def connect(self):
        return await asyncio.wait_for(asyncio.open_connection(f"{self.network}.80", 8000), 3)

    async def send_sound(self, route: str) -> int:
        """Sends a request and reads its answer. Returns the status, or 0 if there is no answer."""
        try:
            reader, writer = await self.connect()
            writer.write(self.request(route, "Authorization: Token key\r\nConnection: close\r\n"))
            status = int((await asyncio.wait_for(reader.readline(), 5)).split(b" ")[1])
            await asyncio.wait_for(reader.read(), 5)
            writer.close()
            return status
        except (OSError, asyncio.TimeoutError, IndexError, ValueError):
            return 0

    async def send_unread(self) -> None:
        """Sends a request with a long answer, and does not read it."""
        reader, writer = await self.connect()
        reader._limit = 1  # pylint: disable=protected-access
        writer.write(self.request("long", "Authorization: Token key\r\n"))
        self.writers.append(writer)
        await asyncio.sleep(FLOOD_SECONDS)

    async def send_part(self, fields: bytes, body_bytes: int) -> None:
        """Sends most of a request, and then nothing more."""
        loop = asyncio.get_running_loop()
        _, writer = await self.connect()
        self.writers.append(writer)
        own = b"" if b"Authorization" in fields else b"Authorization: Token key\r\n"
        writer.write(self.request("safe", body="") + own + fields)
        end = loop.time() + FLOOD_SECONDS
        try:
            for _ in range(body_bytes // len(PIECE)):
                writer.write(PIECE)
                await asyncio.wait_for(writer.drain(), max(0.01, end - loop.time()))
        except (OSError, asyncio.TimeoutError):
            return
        await asyncio.sleep(max(0, end - loop.time()))

    def flooding(self, name: str, number: int):
        if name in ENDPOINT_FLOODS:
            return self.send_sound("bad-stream" if number % 2 or name == "unfinished-event" else "bad")
        if name in READER_FLOODS:
            return self.send_unread()
        fields, body_bytes, _ = CLIENT_FLOODS[name]
        return self.send_part(fields, body_bytes)

    def peak_mb(self) -> float:
        with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as status:
            return next(int(line.split()[1]) for line in status if line.startswith("VmHWM")) / 1024

    async def run(self, name: str) -> list:
        """Returns what is wrong."""
        await self.start()
        self.flood = ENDPOINT_FLOODS.get(name, self.flood)
        for _ in range(self.options.idle_connections):
            self.writers.append((await self.connect())[1])
        floods = [asyncio.create_task(self.flooding(name, n)) for n in range(self.options.at_once)]
        sound = []
        for _ in range(SOUND_REQUESTS):
            sound.append(asyncio.create_task(self.send_sound("safe")))
            await asyncio.sleep(FLOOD_SECONDS / 2 / SOUND_REQUESTS)
        statuses = [await it for it in sound]
        await asyncio.wait(floods, timeout=FLOOD_SECONDS + 6)
        served = statuses.count(200)
        findings = []
        if self.process.poll() is not None:
            return [f"FAULT: the daemon ended by itself with {self.process.returncode}"]
        peak = self.peak_mb()
        print(f"{name}: {served} of {SOUND_REQUESTS} sound requests served, peak {peak:.0f} MB", flush=True)
        if peak > MEMORY_MB:
            findings.append(f"FAULT: {name}: {peak:.0f} MB of {MEMORY_MB}")
        if served < SOUND_SHARE * SOUND_REQUESTS:
            findings.append(f"LOST: {name}: {served} of {SOUND_REQUESTS} sound requests served")
        return findings

    def clean_up(self) -> None:
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


def main() -> int:
    names = [*ENDPOINT_FLOODS, *CLIENT_FLOODS, *READER_FLOODS]
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--daemon", required=True, help="the lentilbayd binary")
    parser.add_argument("--floods", default=",".join(names), help="which floods to play, one after the other")
    parser.add_argument("--at-once", type=int, default=250, help="requests or clients that flood at once")
    parser.add_argument("--idle-connections", type=int, default=0, help="further connections of clients that send nothing")
    options = parser.parse_args()
    findings = []
    for number, name in enumerate(options.floods.split(",")):
        with tempfile.TemporaryDirectory() as folder:
            floods = Floods(options, number, folder)
            try:
                findings += asyncio.run(floods.run(name))
            finally:
                floods.clean_up()
    for it in findings:
        print(f"  {it}")
    print(f"{len(findings)} findings")
    # Connections that were left open would complain about the event loop that has ended.
    sys.stdout.flush()
    os._exit(1 if findings else 0)


if __name__ == "__main__":
    main()
