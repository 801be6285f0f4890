"""Requesters for the cases, and the reading of answers byte by byte."""

import asyncio
import time

from deployment import KEY, CannotRun, Deployment, encode_request, new_id


class ChunkedReader:
    """Reads a chunked answer strictly; bytes that are no chunk are a violation of the protocol."""

    def __init__(self, reader) -> None:
        self.reader = reader
        self.text = b""
        self.status = 0
        self.headers: dict = {}
        # "complete", "cut" (the channel ended before the last chunk) or "not in the protocol".
        self.end = ""
        self.odd_bytes = b""

    async def read_head(self) -> None:
        head = await self.reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        self.status = int(lines[0].split(" ")[1])
        for line in lines[1:]:
            if line:
                name, value = line.split(":", 1)
                self.headers[name.lower()] = value.strip()

    async def read_body(self) -> None:
        if "content-length" in self.headers:
            self.text = await self.reader.readexactly(int(self.headers["content-length"]))
            self.end = "complete"
            return
        while not self.end:
            try:
                line = await self.reader.readuntil(b"\r\n")
            except (asyncio.IncompleteReadError, OSError):
                self.end = "cut"
                return
            try:
                size = int(line.strip(), 16)
            except ValueError:
                self.odd_bytes = line
                self.end = "not in the protocol"
                try:
                    self.odd_bytes += await asyncio.wait_for(self.reader.read(400), 0.3)
                except (asyncio.TimeoutError, OSError):
                    pass
                return
            try:
                chunk = await self.reader.readexactly(size + 2)
            except (asyncio.IncompleteReadError, OSError):
                self.end = "cut"
                return
            if size == 0:
                self.end = "complete"
            else:
                self.text += chunk[:size]

    def events(self) -> list:
        return [int(line[4:]) for line in self.text.decode("latin-1").split("\n") if line.startswith("id: ")]


async def send(deployment: Deployment, daemon: int, target: str, deadline_ms: int, fields: dict | None = None,
               body: bytes = b"", key: str | None = KEY):
    """Sends one request on a channel of its own; returns its id, the reader and the writer."""
    request = new_id()
    reader, writer = await asyncio.wait_for(asyncio.open_connection(*deployment.frontend(daemon)), 2)
    headers = {"X-Deadline-Ms": str(deadline_ms)} | (fields or {})
    if key:
        headers["Authorization"] = f"Token {key}"
    writer.write(encode_request(target, request, headers, body))
    return request, reader, writer


async def exchange(deployment: Deployment, daemon: int, target: str, deadline_ms: int, **options):
    """Sends a request and reads its answer; the status is 0 if there was none in time."""
    request, reader, writer = await send(deployment, daemon, target, deadline_ms, **options)
    answer = ChunkedReader(reader)
    try:
        await asyncio.wait_for(answer.read_head(), deadline_ms / 1000 + 1)
        await asyncio.wait_for(answer.read_body(), deadline_ms / 1000 + 1)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
        answer.end = answer.end or "cut"
    writer.close()
    return request, answer


async def background(deployment: Deployment, daemon: int, targets: list, until: float, pause: float = 0.05) -> None:
    """Plain requests one after another, as any deployment has them."""
    n = 0
    while time.monotonic() < until:
        n += 1
        try:
            await exchange(deployment, daemon, targets[n % len(targets)], 3000, fields={"X-Token-Usage": "100,72"})
        except (OSError, asyncio.TimeoutError):
            pass
        await asyncio.sleep(pause)


def require(condition: bool, text: str) -> None:
    if not condition:
        raise CannotRun(text)
