"""The quickstart's configuration: organisations, tiers and services of two example users on a few stand-ins."""

import pathlib
import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "operator"))
from lentilbay import (Configuration, Endpoint, Objective, Organisation, Service, Tier, hash_key, hours,
                       milliseconds, minutes, seconds)

KEY_PREFIX = "quickstart-"
REGION = "chungcheong"
DATA_CENTRE = "chungcheong-1"


@dataclass(frozen=True)
class EngineKind:
    """The speed and capacity of an engine stand-in."""

    generation: str
    prefill_tokens_per_second: int
    decode_step_us: int
    slots: int
    kv_tokens: int

    def arguments(self) -> list[str]:
        return [f"--prefill_tokens_per_second={self.prefill_tokens_per_second}",
                f"--decode_step_us={self.decode_step_us}", f"--knee={self.slots}",
                f"--kv_tokens={self.kv_tokens}"]


SLOW = EngineKind("g1", 10_000, 4_000, 4, 100_000)
FAST = EngineKind("g3", 40_000, 2_000, 16, 400_000)
JOURNAL = ("corrections", "manuscript-status")
BOOKING = ("lot-booking", "lot-checks")
EDITOR_MODELS = ("line-edits", "style-reviews", "reference-checks")
TRADE_MODELS = ("price-answers", "contract-drafts", "grade-summaries")
ENGINES: dict[str, tuple[EngineKind, Sequence[str]]] = {
    "editor-engine-1": (SLOW, EDITOR_MODELS), "editor-engine-2": (FAST, EDITOR_MODELS),
    "trade-engine-1": (SLOW, TRADE_MODELS), "trade-engine-2": (FAST, TRADE_MODELS),
}
APPLICATIONS: dict[str, Sequence[str]] = {"journal": JOURNAL, "booking": BOOKING}
APPLICATION_CALL_US = 5_000
# Each organisation's limit. Those of a tier that is not sheddable must together fit the slots of the endpoints.
CONCURRENCY = 24


def configuration(addresses: Mapping[str, str], marker: str = "") -> str:
    """Returns the configuration. A marker adds a model without endpoints, so that /v1/models shows the version."""
    document = Configuration(Objective(goodput=2, wasted_prefill=2))
    add = document.add
    tiers = {it.name: add(it) for it in (
        Tier("window", 0, sheddable=False, preemptible=False, answer_within=seconds(5), goodput_weight=10),
        Tier("proof", 1, sheddable=False, preemptible=False, answer_within=minutes(30), goodput_weight=6),
        Tier("contract", 2, preemptible=False, answer_within=minutes(1), goodput_weight=6),
        Tier("editing", 3, preemptible=False, answer_within=hours(2), goodput_weight=3),
        Tier("desk", 4, answer_within=minutes(3), goodput_weight=2),
        Tier("background", 5, answer_within=hours(12), goodput_weight=1),
        Tier("overnight", 6, answer_within=hours(9), goodput_weight=1))}
    services = {it.name: add(it) for it in (
        Service("line-edits", deadline=hours(2)), Service("style-reviews", deadline=minutes(20)),
        Service("reference-checks", deadline=minutes(3)), Service("price-answers", deadline=seconds(5)),
        Service("contract-drafts", deadline=minutes(1)), Service("grade-summaries", deadline=hours(9)),
        Service("corrections", "plain", idempotent=False, deadline=seconds(20), retries=0),
        Service("manuscript-status", "plain", deadline=seconds(10)),
        Service("lot-booking", "plain", idempotent=False, deadline=seconds(10), retries=0),
        Service("lot-checks", "plain", deadline=seconds(10)))}
    if marker:
        add(Service(marker))
    for name, used in (
            ("hanbat-press", ("editing", "desk", "background")), ("letters-press", ("editing", "desk", "background")),
            ("chemistry-society", ("desk", "background")), ("geology-society", ("desk", "background")),
            ("journal-office", ("desk", "proof")), ("brokers", ("window", "contract")),
            ("desk", ("desk", "window")), ("members", ("desk", "contract")),
            ("millers", ("overnight",)), ("smelters", ("overnight",))):
        add(Organisation(name, [tiers[it] for it in used], {"quickstart": hash_key(KEY_PREFIX + name, "00")},
                         concurrency=CONCURRENCY))
    for name, (kind, models) in ENGINES.items():
        add(Endpoint(name, addresses[name], REGION, DATA_CENTRE, [services[it] for it in models], kind.generation,
                     kind.slots, kind.kv_tokens))
    for name, offered in APPLICATIONS.items():
        add(Endpoint(name, addresses[name], REGION, DATA_CENTRE, [services[it] for it in offered], slots=16))
    return str(document)
