"""Work that crashes endpoints, for the soak test, and streams with prompts, which clients resume.

Some requests have a part in their prompts that crashes each engine which begins to write an answer to them. Once
enough engines have crashed, the daemons must send hardly any more of them, and go on serving requests that share the
other parts. Other requests crash each endpoint that runs them, and come again with the same path, key and body: after
three crashes the daemons must send hardly any of their repetitions. A stream that is interrupted is resumed at another daemon, and must go on at the software version that
began it.
"""

import asyncio
import time
import uuid

from standins import Endpoint, NoAnswer, read_chunk

# After this many crashes, the daemons in contact may send this many more requests with the part.
CRASHES_KNOWN = 5
# The same for requests that come again unchanged.
CRASHES_KNOWN_OF_REQUEST = 3
MAX_SENT_LATER = 3
# The shares of requests served are compared from this many requests on.
MIN_COMPARED = 20
MIN_RESUMED = 12
MAX_MIXED_STREAMS = 2
# Two parts, and two requests, at a time, so that the daemons have to tell them apart.
MAX_CRASHING_PARTS = 2
MAX_REPEATED_REQUESTS = 2
FIRST_PART = "a1"
SUBJECTS = [f"5{n:03x}" for n in range(12)]


class Stream:
    """One stream over all attempts of its client."""

    def __init__(self) -> None:
        # The request id of the attempt that brought the first event.
        self.first_attempt = ""
        self.last_event = 0
        # The software version of each event's engine.
        self.versions: list = []
        self.is_complete = False


class PromptTraffic:
    """The clients that send prompts, and what they and the engines observed."""

    def __init__(self, soak) -> None:
        self.soak = soak
        self.crashing_parts: set = set()
        # The bodies of requests that crash endpoints, with the kind of each.
        self.crashing_bodies: dict = {}
        # How many of them are being repeated.
        self.repeated = 0
        # By part or body: the times of crashes, and the requests that had it as (request, daemon, time of sending).
        self.crashes: dict = {}
        self.crashing_requests: dict = {}
        # The positions of the engines that such a part has crashed and that have not started again.
        self.crashed_by_part: set = set()
        # First attempts of other streams as (time, daemon, whether an event arrived, whether most engines served).
        self.first_attempts: list = []
        # Attempts to resume a stream as (time, daemon, whether an event arrived), made while two or more engines
        # of its version served.
        self.resumed: list = []
        # Streams with events from several versions.
        self.mixed: list = []

    # --- engines ---

    def engine_crashed(self, endpoint, part: str) -> None:
        self.crashes.setdefault(part, []).append(time.monotonic())
        endpoint.crash()
        n = self.soak.endpoints.index(endpoint)
        if n not in self.soak.crashed:
            self.soak.crashed.add(n)
            self.crashed_by_part.add(n)
            asyncio.create_task(self.restart_engine(n))

    async def restart_engine(self, n: int) -> None:
        await asyncio.sleep(self.soak.rng.uniform(2, 4))
        await self.soak.start_replacement(n, self.soak.endpoints[n].version)
        self.crashed_by_part.discard(n)

    def serving_engines(self, version: str) -> int:
        """The engines of the version that accept requests: neither gone nor drained, by their entry or their answers."""
        return sum(it.service == "llm" and it.version == version and n not in self.soak.crashed and not it.leaving
                   and not self.soak.is_drained(it) for n, it in enumerate(self.soak.endpoints))

    def most_engines_serve(self) -> bool:
        """Whether other faults leave more than half of the engines; those that a part has crashed count as left."""
        engines = [n for n, it in enumerate(self.soak.endpoints) if it.service == "llm"]
        away = self.soak.crashed - self.crashed_by_part
        return 2 * sum(n not in away and not self.soak.endpoints[n].leaving for n in engines) > len(engines)

    # --- clients ---

    async def attempt(self, daemon: int, parts: list, stream: Stream) -> tuple:
        """Sends one attempt of a stream. Returns its request id and the number of events that arrived."""
        request = uuid.UUID(int=self.soak.rng.getrandbits(128)).hex[:16]
        fields = f"X-Prefix-Hash: {','.join(f'{part}:40' for part in parts)}\r\n"
        if stream.last_event:
            fields += f"Last-Event-Id: {stream.last_event}\r\nResumes: {stream.first_attempt}\r\n"
        events = 0
        writer = None
        try:
            address = f"{self.soak.network}.{80 + daemon}"
            reader, writer = await asyncio.wait_for(asyncio.open_connection(address, 8000), 1)
            writer.write((f"POST /long/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: {request}\r\nX-Deadline-Ms: 10000\r\n"
                          f"Authorization: Token key-kept\r\nX-Token-Usage: 100,72\r\n{fields}"
                          f"Content-Length: 2\r\n\r\nok").encode())
            head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10)
            # Nothing is left of a resumed stream.
            stream.is_complete = b" 204 " in head.split(b"\r\n")[0]
            if b" 200 " not in head.split(b"\r\n")[0]:
                return request, events
            while chunk := await asyncio.wait_for(read_chunk(reader), 10):
                for line in chunk.decode().split("\n"):
                    if line.startswith("id: "):
                        events += 1
                        stream.last_event = int(line[4:])
                        stream.first_attempt = stream.first_attempt or request
                    elif line.startswith("data: "):
                        stream.versions.append(line.split(" ")[2])
            stream.is_complete = True
        except NoAnswer as error:
            self.soak.add_finding("MIXED", f"{request} got {error} after {events} events")
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
            pass  # The stream was interrupted.
        finally:
            if writer:
                writer.close()
        return request, events

    async def client(self) -> None:
        """Sends streams one after another, and resumes those that are interrupted at other daemons."""
        rng = self.soak.rng
        while not self.soak.stopping:
            await asyncio.sleep(rng.uniform(0.01, 0.2))
            parts = [FIRST_PART, rng.choice(SUBJECTS), f"7{rng.getrandbits(48):012x}"]
            # A part that crashes engines in the middle of a prompt does no harm as the last one.
            if self.crashing_parts and rng.random() < 0.1:
                parts[-1] = rng.choice(sorted(self.crashing_parts))
            stream = Stream()
            daemon = rng.randrange(self.soak.daemons)
            sent_at = time.monotonic()
            is_counted = self.most_engines_serve()
            _, events = await self.attempt(daemon, parts, stream)
            is_counted = is_counted and self.most_engines_serve()
            self.first_attempts.append((sent_at, daemon, events > 0, is_counted))
            for _ in range(2):
                if stream.is_complete or not stream.last_event or self.soak.stopping:
                    break
                await asyncio.sleep(rng.uniform(0.02, 0.4))
                daemon = (daemon + rng.randrange(1, self.soak.daemons)) % self.soak.daemons
                sent_at = time.monotonic()
                version = stream.versions[0]
                is_counted = self.serving_engines(version) >= 2
                _, events = await self.attempt(daemon, parts, stream)
                if is_counted and self.serving_engines(version) >= 2:
                    self.resumed.append((sent_at, daemon, events > 0 or stream.is_complete))
            if len(set(stream.versions)) > 1:
                self.mixed.append(stream.first_attempt)
            if stream.is_complete and stream.last_event < Endpoint.LONG_EVENTS:
                self.soak.add_finding("ORDER", f"{stream.first_attempt} ended as whole after event {stream.last_event}")

    async def send_crashing_requests(self, seconds: float) -> None:
        """Sends requests with one part that crashes engines to all daemons; their other parts vary."""
        if len(self.crashing_parts) >= MAX_CRASHING_PARTS:
            return
        rng = self.soak.rng
        part = f"c{rng.getrandbits(40):010x}"
        self.crashing_parts.add(part)
        self.crashing_requests[part] = []
        end = time.monotonic() + seconds
        pending = []
        while time.monotonic() < end:
            subjects = rng.sample(SUBJECTS, rng.randrange(1, 4))
            unique = [f"9{rng.getrandbits(48):012x}" for _ in range(rng.choice([1, 1, 30]))]
            parts = [FIRST_PART, *subjects, part, *unique]
            pending.append(asyncio.create_task(self.send_crashing_request(part, parts)))
            await asyncio.sleep(rng.uniform(0.05, 0.4))
        await asyncio.gather(*pending)
        self.crashing_parts.discard(part)

    async def send_crashing_request(self, part: str, parts: list) -> None:
        daemon = self.soak.rng.randrange(self.soak.daemons)
        sent_at = time.monotonic()
        request, _ = await self.attempt(daemon, parts, Stream())
        self.crashing_requests[part].append((request, daemon, sent_at))

    async def repeat_crashing_request(self, seconds: float) -> None:
        """Sends a request that crashes endpoints again and again, unchanged but for its id, to all daemons."""
        if self.repeated >= MAX_REPEATED_REQUESTS:
            return
        self.repeated += 1
        rng = self.soak.rng
        kind = rng.choice(["safe", "once", "stream"])
        body = f"crash-{rng.getrandbits(40):010x}"
        self.crashing_bodies[body] = kind
        self.crashing_requests[body] = []
        end = time.monotonic() + seconds
        pending = []
        while time.monotonic() < end:
            pending.append(asyncio.create_task(self.send_unchanged(kind, body)))
            await asyncio.sleep(rng.uniform(0.05, 0.4))
        await asyncio.gather(*pending)
        self.repeated -= 1

    async def send_unchanged(self, kind: str, body: str) -> None:
        daemon = self.soak.rng.randrange(self.soak.daemons)
        sent_at = time.monotonic()
        request = uuid.UUID(int=self.soak.rng.getrandbits(128)).hex[:16]
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(f"{self.soak.network}.{80 + daemon}", 8000), 1)
            writer.write((f"POST /{kind}/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: {request}\r\nX-Deadline-Ms: 2500\r\n"
                          f"Authorization: Token key-kept\r\nX-Token-Usage: 100,72\r\nConnection: close\r\n"
                          f"Content-Length: {len(body)}\r\n\r\n{body}").encode())
            await asyncio.wait_for(reader.read(), 4)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            pass
        self.crashing_requests[body].append((request, daemon, sent_at))

    # --- checks ---

    def check(self) -> None:
        contact = self.soak.contact_seconds
        arrivals: dict = {}
        for endpoint in self.soak.endpoints + self.soak.former_endpoints:
            for at, request in endpoint.arrivals:
                arrivals.setdefault(request, []).append(at)
        for part, requests in self.crashing_requests.items():
            crashes = sorted(self.crashes.get(part, []))
            known = CRASHES_KNOWN_OF_REQUEST if part in self.crashing_bodies else CRASHES_KNOWN
            if len(crashes) >= known:
                since = crashes[known - 1]
                late = sum(at > since + contact and self.soak.is_in_contact(daemon, sent_at, at)
                           for request, daemon, sent_at in requests for at in arrivals.get(request, []))
                if late > MAX_SENT_LATER:
                    self.soak.add_finding("BUDGET", f"{late} more requests with {part} reached endpoints; "
                                          f"{len(crashes)} engines crashed")
            elif crashes:
                since = crashes[-1]
            else:
                continue
            end = max(sent_at for _, _, sent_at in requests)
            if part in self.crashing_bodies:
                self.check_others_served(part, since + 2 * contact, end)
            else:
                self.check_served(part, since + 2 * contact, end)
        self.check_resumed()
        crashed = sum(len(it) for it in self.crashes.values())
        print(f"  {len(self.first_attempts)} streams, {sum(began for _, _, began, _ in self.first_attempts)} began; "
              f"{len(self.resumed)} resumed, {sum(went_on for _, _, went_on in self.resumed)} went on; "
              f"{len(self.mixed)} mixed; {len(self.crashes)} parts or requests crashed {crashed} endpoints")

    def check_resumed(self) -> None:
        if len(self.mixed) > MAX_MIXED_STREAMS:
            self.soak.add_finding("ORDER", f"{len(self.mixed)} streams have events from two software versions: "
                                  f"{', '.join(self.mixed[:5])}")
        resumed = [went_on for at, daemon, went_on in self.resumed if self.soak.is_in_contact(daemon, at, at)]
        begun = [began for at, daemon, began, _ in self.first_attempts if self.soak.is_in_contact(daemon, at, at)]
        if len(resumed) >= MIN_RESUMED and begun and sum(resumed) / len(resumed) < 0.5 * sum(begun) / len(begun):
            self.soak.add_finding("LOST", f"{sum(resumed)} of {len(resumed)} streams went on, {sum(begun)} of "
                                  f"{len(begun)} began")

    def check_others_served(self, body: str, begin: float, end: float) -> None:
        """Checks that other requests of the kind are served while one that crashes endpoints is known."""
        kind = self.crashing_bodies[body]
        served = [status == 200 for _, it, key, daemon, sent_at, status in self.soak.requests
                  if it == kind and key == "key-kept" and begin <= sent_at <= end
                  and self.soak.is_in_contact(daemon, sent_at, sent_at)]
        if len(served) >= MIN_COMPARED and sum(served) < 0.5 * len(served):
            self.soak.add_finding("LOST", f"{sum(served)} of {len(served)} requests were served while {body} "
                                  "crashed endpoints")

    def check_served(self, part: str, begin: float, end: float) -> None:
        """Checks that other requests are served while a part that crashes engines is known."""
        served = [began for at, daemon, began, is_counted in self.first_attempts
                  if is_counted and begin <= at <= end and self.soak.is_in_contact(daemon, at, at)]
        if len(served) >= MIN_COMPARED and sum(served) < 0.5 * len(served):
            self.soak.add_finding("LOST", f"{sum(served)} of {len(served)} streams began while part {part} "
                                  "crashed engines")
