"""Requests that fail in the same way at each endpoint, for the soak test.

Sound endpoints must not be suspected for such requests, and the requests of other clients are served beside them.
"""

import asyncio
import uuid

from standins import FAILURES

# Of the requests of other clients, at least this share is served, as after the last fault.
MIN_SERVED = 0.9


class OddTraffic:
    """The clients that send such requests."""

    def __init__(self, soak) -> None:
        self.soak = soak

    async def client(self, number: int) -> None:
        rng = self.soak.rng
        failure = FAILURES[number % len(FAILURES)]
        while not self.soak.stopping:
            await asyncio.sleep(rng.uniform(0.01, 0.2))
            request = uuid.UUID(int=rng.getrandbits(128)).hex[:16]
            kind = rng.choice(["safe", "once", "stream", "long"])
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(f"{self.soak.network}.{80 + rng.randrange(self.soak.daemons)}", 8000), 1)
                writer.write((f"POST /{kind}/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: {request}\r\nX-Deadline-Ms: 1500\r\n"
                              f"Authorization: Token key-kept\r\nX-Token-Usage: 100,72\r\nX-Odd: {failure}\r\n"
                              f"Connection: close\r\nContent-Length: 0\r\n\r\n").encode())
                await asyncio.wait_for(reader.read(), 4)
                writer.close()
            except (OSError, asyncio.TimeoutError):
                pass

    def check(self) -> None:
        """Checks that other requests are served beside those that always fail."""
        served = [is_served for at, daemon, is_served in self.soak.attempts
                  if self.soak.is_in_contact(daemon, at, at)]
        if sum(served) < MIN_SERVED * len(served):
            self.soak.add_finding("RECOVER", f"{sum(served)} of {len(served)} requests were served beside requests that "
                                  "always fail")
