"""Rollouts that the operator orders, for the soak test, with good and bad versions.

The operator starts engines of the new version beside the old ones, writes the order, and acts by the status: at
"complete" the old engines stop, at "reverted" the new ones drain. Checks how many requests a bad version gets, that it gets
none some time after its 50th bad response, that the status becomes final in time, and never goes back.
"""

import asyncio
import json
import time

from standins import Proxy

CANARY_SHARE = 0.1
CANARY_SLACK = 50
ROLLBACK_SECONDS = 5.0
DURATION_SECONDS = 12.0
# Between the order and a version that turns bad late.
LATE_SECONDS = 5.0
# A coordinator that is killed or stopped shortly before the deadline is replaced within this time.
TAKEOVER_SECONDS = 2.5
REWRITE_SECONDS = 6.0
# Daemons learn of "complete" with their next permit, and a request takes some time to its engine.
PERMIT_SECONDS = 0.6
# The fraction of a bad version's responses that are bad.
BAD_FRACTION = 0.5
# Between "reverted" and the draining of the new engines, and from there to their end.
DRAIN_AFTER_SECONDS = 2.0
STOP_AFTER_SECONDS = 3.0
# How versions are bad: errors or slow responses; from the start or late; on each route or on one.
FAULTS = [("error", 0.0, ""), ("slow", 0.0, ""), ("error", LATE_SECONDS, "")]
ROUTE_FAULT = ("error", 0.0, "/safe/")


class Rollouts:
    """The orders of a run, and what the engines of the new versions observed."""

    def __init__(self, soak) -> None:
        self.soak = soak
        self.orders = 0
        self.running: set = set()

    async def order(self, service: str) -> None:
        if service in self.running:
            return
        self.running.add(service)
        self.orders += 1
        is_bad = self.soak.rng.random() < 0.5 if len(self.soak.rollout_kinds) > 1 else "bad" in self.soak.rollout_kinds
        # Engines serve one kind of requests most of the time.
        faults = FAULTS + [ROUTE_FAULT] if service == "app" else FAULTS
        await self.play(service, f"{service}-{self.orders}", self.soak.rng.choice(faults) if is_bad else None)
        self.running.discard(service)

    async def start_engines(self, service: str, version: str, count: int, fault: tuple | None) -> list:
        soak, out = self.soak, []
        for _ in range(count):
            n = len(soak.endpoints)
            endpoint = soak.create_endpoint(f"i-{version}-{n}", service, version)
            if fault:
                endpoint.bad_kind, endpoint.bad_from, endpoint.bad_route = fault[0], time.monotonic() + fault[1], fault[2]
                endpoint.bad_fraction = BAD_FRACTION
            soak.endpoints.append(endpoint)
            proxy = Proxy((f"{soak.network}.20", 7001 + n))
            await proxy.listen(f"{soak.network}.40", 7001 + n)
            soak.proxies[f"endpoint-{n}"] = proxy
            await soak.listen(n, endpoint)
            await soak.store.put("servers", endpoint.name, endpoint.row(soak.address_of(n)))
            out.append(endpoint)
        return out

    async def stop_engines(self, endpoints: list) -> None:
        for endpoint in endpoints:
            self.soak.crashed.add(self.soak.endpoints.index(endpoint))
            endpoint.crash()
            await self.soak.store.put("servers", endpoint.name, None)

    def status(self, service: str) -> dict:
        row = self.soak.store.rows.get(("status", f"rollout/{service}"), (0, None))[1]
        return json.loads(row) if row else {}

    async def play(self, service: str, version: str, fault: tuple | None) -> None:
        soak = self.soak
        former = [it for n, it in enumerate(soak.endpoints) if it.service == service and n not in soak.crashed]
        target = await self.start_engines(service, version, len(former), fault)
        await soak.store.put("op", f"rollout/{service}",
                             {"Service": service, "To": version, "DurationS": DURATION_SECONDS})
        ordered_at = time.monotonic()
        deadline = ordered_at + DURATION_SECONDS
        final, ended_at = "", deadline
        while not final and time.monotonic() < deadline + 6:
            await asyncio.sleep(0.02)
            status = self.status(service)
            if status.get("To") == version and status.get("State") != "running":
                final, ended_at = status["State"], time.monotonic()
        if final == "complete":
            # The engines stop at once; what still reaches them is observed for a moment.
            await asyncio.sleep(1.0)
            daemons = {request: daemon for request, _, _, daemon, *_ in soak.requests}
            late = [at - ended_at for it in former for at, request in it.arrivals if at > ended_at + PERMIT_SECONDS
                    and request in daemons and soak.is_in_contact(daemons[request], ended_at, at)]
            if late:
                soak.add_finding("ROLLOUT", f"{len(late)} requests reached the engines that {version} replaces up to "
                                 f"{max(late):.2f} s after it was complete")
            await self.stop_engines(former)
        else:
            await asyncio.sleep(DRAIN_AFTER_SECONDS)
            for endpoint in target:
                address = soak.address_of(soak.endpoints.index(endpoint))
                await soak.store.put("servers", endpoint.name, endpoint.row(address, "draining"))
            await asyncio.sleep(STOP_AFTER_SECONDS)
            await self.stop_engines(target)
        await asyncio.sleep(max(0.0, deadline - time.monotonic()))
        # A store that came back from an older copy lacks the status until it is written again.
        rewritten_by = time.monotonic() + (REWRITE_SECONDS if "rewind" in soak.fault_kinds else 0)
        while not self.status(service) and time.monotonic() < rewritten_by:
            await asyncio.sleep(0.05)
        if self.status(service) != {"State": final, "To": version}:
            soak.add_finding("ROLLOUT", f"the status of {version} was {final} and became {self.status(service)}")
        self.check(service, version, fault, (ordered_at, deadline), (final, ended_at), target)

    def check(self, service: str, version: str, fault, period: tuple, end: tuple, target: list) -> None:
        ordered_at, deadline = period
        final, ended_at = end
        soak = self.soak
        expected = "reverted" if fault else "complete"
        all_requests = [at for it in soak.endpoints + soak.former_endpoints if it.service == service
                        for at, _ in it.arrivals if ordered_at <= at <= deadline]
        sent = sorted(at for it in target for at, _ in it.arrivals)
        exposed = [at for at in sent if at <= deadline]
        bad = sorted(at for it in target for at in it.bad)
        last = f"{sent[-1] - ordered_at:.1f}" if sent else "-"
        print(f"  rollout of {version}, {fault or 'good'}: {final} after {ended_at - ordered_at:.2f} s; {len(exposed)} of "
              f"{len(all_requests)} requests until the deadline, {len(bad)} bad, the last one at {last} s", flush=True)
        if final != expected:
            soak.add_finding("ROLLOUT", f"{version} ({fault}) is {final or 'not final'} in place of {expected}")
        delays = {"kill", "pause", "term", "herd", "starve", "store", "rewind"} & set(soak.fault_kinds)
        if final == "complete" and ended_at > deadline + (TAKEOVER_SECONDS if delays else 0):
            soak.add_finding("ROLLOUT", f"{version} was complete {ended_at - deadline:.1f} s after the deadline")
        # Before the order was written, nobody could know of the version.
        if any(at < ordered_at for at in sent):
            return
        if fault and len(exposed) > CANARY_SHARE * len(all_requests) + CANARY_SLACK:
            soak.add_finding("ROLLOUT", f"{version} got {len(exposed)} of {len(all_requests)} requests")
        if len(bad) >= 50 and sent[-1] > bad[49] + ROLLBACK_SECONDS:
            soak.add_finding("ROLLOUT", f"{version} got a request {sent[-1] - bad[49]:.1f} s after its 50th bad response")
