"""An engine's second copy of a rejection is taken for the answer to the next send of the same request."""

import asyncio
import os
import random
import sys
import time
import uuid

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
from deployment import KEY, Deployment, Server, build_response, read_answer, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SECONDS = float(os.environ.get("SECONDS_OF_CASE", "105"))
DAEMONS, SERVICES, ENGINES, CLIENTS = 6, 2, 2, 6
SLOTS, QUEUE, WORK = 1, 1, 0.006
PERIOD = 0.03
# garble, extra late: for so many seconds, at most this share of a server's answers is followed by a second one, at this
# share of a service's servers. One service at a time.
EXTRA_SECONDS, EXTRA, EXTRA_SHARE = 5.0, 0.03, 0.6


class Engine(Server):
    """Runs SLOTS requests at once, lets QUEUE more wait, and rejects the others as full, without running them."""

    def __init__(self, name: str, service: str, deployment: Deployment, runs: dict, rng: random.Random, garbles) -> None:
        super().__init__()
        self.service = service
        self.name, self.record, self.runs, self.rng, self.garbles = name, deployment.record, runs, rng, garbles
        self.held, self.slots = 0, asyncio.Semaphore(SLOTS)
        # The second answer that is still to be written on a connection, where the next answer is expected.
        self.extra: dict = {}
        self.counts = {"rejected": 0, "extra": 0}

    def row(self, address: str) -> dict:
        return {"Service": self.service, "Addr": address, "Zone": "a", "Version": "v1", "Slots": SLOTS,
                "State": "ready", "ColdLeftMs": 0, "Seq": 1, "born": 1}

    def answer(self, writer, answer: bytes, what: str) -> None:
        if extra := self.extra.pop(writer, None):
            self.counts["extra"] += 1
            self.record.write(f"{self.name}: late extra answer: {extra[1]}")
            writer.write(extra[0])
        writer.write(answer)
        if self.garbles() and self.rng.random() < EXTRA:
            self.extra[writer] = (answer, what)

    async def respond(self, method, target, headers, body, writer) -> None:
        request = headers.get("x-request-id", "")
        if headers.get("x-expect-instance") != self.name:
            self.answer(writer, build_response(421, b"", {"X-Request-Id": request}), f"421 to {request}")
            return
        if self.held >= SLOTS + QUEUE:
            self.counts["rejected"] += 1
            self.record.write(f"{self.name}: {request} rejected, not run")
            self.answer(writer, build_response(503, b"", {"X-Request-Id": request, "X-Not-Executed": "1"}),
                        f"503 to {request}, not run")
            return
        self.held += 1
        # The extra answer comes before the engine has worked on the next request.
        if extra := self.extra.pop(writer, None):
            self.counts["extra"] += 1
            self.record.write(f"{self.name}: late extra answer: {extra[1]}")
            writer.write(extra[0])
        try:
            async with self.slots:
                self.runs.setdefault(request, []).append(self.name)
                self.record.write(f"{self.name}: {request} runs")
                await asyncio.sleep(WORK * self.rng.uniform(0.5, 1.5))
            sig = {"X-Request-Id": request, "X-Served-By-Sig": f"{self.name}.{request}"}
            self.answer(writer, build_response(200, b"done " + request.encode(), sig), f"200 to {request}")
        finally:
            self.held -= 1


def is_garbled(service: int, engine: int, deployment: Deployment) -> bool:
    """Whether it is this engine's turn to write second answers."""
    period = int((time.monotonic() - deployment.record.began_at) / EXTRA_SECONDS)
    return TROUBLE and period % SERVICES == service and engine < int(EXTRA_SHARE * ENGINES)


async def client(number: int, service: str, deployment: Deployment, answers: dict, end: float, rng: random.Random) -> None:
    connection = None
    while time.monotonic() < end:
        # All clients press at the same moments, as in a burst.
        await asyncio.sleep(PERIOD - (time.monotonic() % PERIOD) + rng.uniform(0, 0.002))
        request = uuid.UUID(int=rng.getrandbits(128)).hex[:16]
        daemon = number % DAEMONS
        try:
            if connection is None:
                connection = await asyncio.open_connection(*deployment.frontend(daemon))
            connection[1].write((f"POST /{service}/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: {request}\r\n"
                                 f"X-Deadline-Ms: 5000\r\nAuthorization: Token {KEY}\r\n"
                                 f"Content-Length: 4\r\n\r\nbody").encode())
            deployment.record.write(f"client {service}.{number}: {request} sent to daemon {daemon}")
            status, headers, _, complete = await asyncio.wait_for(read_answer(connection[0]), 8)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            status, headers, complete = 0, {}, False
        answers[request] = status
        deployment.record.write(f"client {service}.{number}: {request} answered {status}")
        if not complete or headers.get("connection") == "close":
            connection[1].close()
            connection = None


async def play() -> int:
    rng = random.Random(int(os.environ.get("SEED", "0")) or None)
    deployment = Deployment(__file__, DAEMONS)
    runs: dict = {}
    answers: dict = {}
    try:
        await deployment.listen_store()
        services = [f"desk-{n}" for n in range(SERVICES)]
        deployment.routes = [{"Name": it, "Host": "h", "Prefix": f"/{it}/", "Type": "unsafe", "Attempts": 1,
                              "TimeoutMs": 2500, "SloMs": 300, "Service": it, "Priority": 2} for it in services]
        deployment.services = [{"Name": it, "MaxConns": 110} for it in services]
        engines = []
        for service in services:
            for n in range(ENGINES):
                engine = Engine(f"{service}-i-{n}", service, deployment, runs, rng,
                                lambda i=services.index(service), n=n: is_garbled(i, n, deployment))
                host = f"{deployment.network}.{20 + len(engines)}"
                await engine.listen(host, 0)
                port = engine.server.sockets[0].getsockname()[1]
                await deployment.store.put("servers", engine.name, engine.row(f"{host}:{port}"))
                engines.append(engine)
        await deployment.configure()
        if not await deployment.start_daemons():
            print("a daemon did not become ready")
            return 2
        end = time.monotonic() + SECONDS
        await asyncio.gather(*(client(n, service, deployment, answers, end, rng)
                               for service in services for n in range(CLIENTS)))
        await asyncio.sleep(1)
        ended = deployment.ended()
    finally:
        deployment.clean_up()
    twice = {it: names for it, names in runs.items() if len(names) > 1}
    refused = [it for it, status in answers.items() if status in (408, 421, 429, 503) and it in runs]
    for it, names in twice.items():
        deployment.record.write(f"TWICE: {it} ran at {names}, answered {answers.get(it)}")
    for it in refused:
        deployment.record.write(f"REFUSED: {it} got {answers[it]} and ran at {runs[it]}")
    print(f"{len(answers)} requests, {sum(map(len, runs.values()))} runs, "
          f"{sum(it.counts['rejected'] for it in engines)} rejections, {sum(it.counts['extra'] for it in engines)} extra "
          f"answers, {len(twice)} ran twice, {len(refused)} refused though they ran, ended daemons {ended}")
    return 1 if twice or refused else 0


if __name__ == "__main__":
    sys.exit(run_case(play))
