"""A machine loses its links to the engines while the last engine of a software version is leaving."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common"))

from deployment import HAS_TROUBLE, KEY, Deployment, Endpoint, SoundRandom, main  # noqa: E402
from traffic import ChunkedReader, background, require, send  # noqa: E402

STREAMS = 6
# Within the shortest time for which machines are partitioned "for seconds".
PARTITION_SECONDS = 5.0


class Engine(Endpoint):
    """A sound engine: its long streams last for eight seconds."""

    SLOTS = 10
    LONG_EVENTS = 160
    LONG_PAUSE = 0.05


async def run(record) -> list:
    deployment = Deployment(record, daemons=2)
    tasks: list = []
    try:
        await deployment.start_store()

        def engine(name: str, service: str, version: str) -> Engine:
            out = Engine(name, service, deployment.executions, SoundRandom())
            out.version = version
            return out

        old = engine("i-old", "llm", "v1")
        new = [engine(f"i-new-{n}", "llm", "v2") for n in range(3)]
        apps = [engine(f"i-app-{n}", "app", "v1") for n in range(2)]
        for it in [old, *new, *apps]:
            await deployment.add_engine(it)
        for it in [old, *apps]:
            await deployment.list_engine(it)
        routes = [{"Name": "long", "Host": "h", "Prefix": "/long/", "Type": "stream", "Resumable": True,
                   "TimeoutMs": 15000, "SloMs": 800, "GapTargetMs": 300, "Service": "llm", "Attempts": 2, "Priority": 0},
                  {"Name": "stream", "Host": "h", "Prefix": "/stream/", "Type": "stream", "Resumable": True,
                   "TimeoutMs": 3000, "SloMs": 1200, "GapTargetMs": 300, "Service": "llm", "Attempts": 2, "Priority": 2},
                  {"Name": "safe", "Host": "h", "Prefix": "/safe/", "Type": "safe", "TimeoutMs": 2500, "SloMs": 300,
                   "Service": "app", "Attempts": 2, "Priority": 2}]
        await deployment.configure(routes, [{"Name": "llm", "MaxConns": 240, "Engine": {"Slots": 10, "Stride": 6}},
                                            {"Name": "app", "MaxConns": 110}],
                                   [{"Name": "t", "ApiKeys": [KEY]}])
        for i in range(2):
            deployment.spawn(i)
        await deployment.wait_until_ready()
        until = time.monotonic() + 11
        for i in range(2):
            tasks += [asyncio.create_task(background(deployment, i, ["/safe/x"], until)) for _ in range(2)]
        await asyncio.sleep(0.5)
        streams = []
        for _ in range(STREAMS):
            request, reader, writer = await send(deployment, 0, "/long/x", 15000,
                                                 fields={"X-Token-Usage": "600,900", "X-Model": "m"})
            record.write(f"sent stream {request} to daemon 0")
            streams.append((request, ChunkedReader(reader), writer))
        for request, answer, _ in streams:
            await asyncio.wait_for(answer.read_head(), 5)
            require(answer.status == 200, f"stream {request} was answered {answer.status}")
            record.write(f"answer to {request} has begun: {answer.status}, receipt {answer.headers['x-served-by-sig']}")
        bodies = [asyncio.create_task(answer.read_body()) for _, answer, _ in streams]
        # The release: engines of the new version start first, then the old one leaves and serves on for a while.
        for it in new:
            await deployment.list_engine(it)
        for i in range(2):
            tasks += [asyncio.create_task(background(deployment, i, ["/stream/x"], until)) for _ in range(3)]
        await asyncio.sleep(1.0)
        await deployment.list_engine(old, "draining")
        await asyncio.sleep(0.8)
        if HAS_TROUBLE:
            for link in deployment.links[0]:
                link.cut("hang")
            record.write("daemon 0 is partitioned from all engines")
            await asyncio.sleep(PARTITION_SECONDS)
            for link in deployment.links[0]:
                await link.restore()
            record.write("the partition has ended")
        await asyncio.wait_for(asyncio.gather(*bodies), 20)
        violations = []
        for request, answer, writer in streams:
            events = answer.events()
            record.write(f"stream {request}: {len(events)} events, {answer.end} {answer.odd_bytes!r}")
            ran = [it[1].name for it in deployment.executions.get(request, [])]
            record.write(f"stream {request} ran at {ran}")
            if answer.end == "not in the protocol":
                violations.append(f"MIXED: the answer to {request} goes on with bytes that are no answer: "
                                  f"{answer.odd_bytes!r}")
            if events != list(range(1, len(events) + 1)):
                violations.append(f"ORDER: {request} got events {events}")
            if not HAS_TROUBLE:
                require(answer.end == "complete", f"stream {request} was {answer.end} without trouble")
            writer.close()
        return violations
    finally:
        for it in tasks:
            it.cancel()
        deployment.stop()


main(FOLDER, run)
