"""The Daejeon Metropolitan Scholarly Publishing Utility: manuscripts are long, so lost prefill is weighted most."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "operator"))
from lentilbay import (Configuration, Endpoint, Model, Objective, Organisation, Service, Tier, hours,
                       minutes, seconds)

SALT = "5b0e64c7f2a98d13"
KEYS = {  # Salted hashes, made by hash_key(); the keys themselves are not stored.
    "chemistry-society": "b9210ff815b9c93f4f1e1ade1e47808baea37472939893fc1de05fd8581f91a7",
    "geology-society": "22c7edd5b812a105a5f8c49d638442337ca43dcfe9385297004778926da1e418",
    "hanbat-press": "bc4f61ca8b661c712c30138c4d9c353f18b563e5d57f5b74e5f727de05375c88",
    "journal-office": "4de7b7485fddd88de43e6dd96a93e34614525ed6fc8877fb9420b69bd6119c03",
    "letters-press": "aa95938463d67ecacf7d32d91d5f99b24c8c72ad45f565421a593c7cdd9aa144",
}
REGIONS = {"chungcheong": "10.11.0", "sudogwon": "10.12.0", "yeongnam": "10.13.0"}

configuration = Configuration(Objective(goodput=1, wasted_prefill=3))
add = configuration.add

# A late line edit of a proof delays an issue, and preempting it would lose its long prefill.
proof = add(Tier("proof", 0, sheddable=False, preemptible=False, first_token_within=seconds(20),
                 answer_within=minutes(30), goodput_weight=6))
editing = add(Tier("editing", 1, preemptible=False, first_token_within=seconds(30),
                   answer_within=hours(2), goodput_weight=3))
desk = add(Tier("desk", 2, first_token_within=seconds(5), answer_within=minutes(3), goodput_weight=2))
background = add(Tier("background", 3, answer_within=hours(12), goodput_weight=1))

line_edits = add(Service("line-edits", deadline=hours(2)))
style_reviews = add(Service("style-reviews", deadline=minutes(20)))
reference_checks = add(Service("reference-checks", deadline=minutes(3)))
status = add(Service("manuscript-status", "plain", deadline=seconds(10)))
# Recording a correction twice would corrupt an author's text.
corrections = add(Service("corrections", "plain", idempotent=False, deadline=seconds(20), retries=0))

for name, tiers, concurrency, weight in [
    ("hanbat-press", [editing, proof, desk, background], 48, 4),
    ("letters-press", [editing, proof, desk, background], 40, 3),
    ("journal-office", [desk, proof], 32, 3),
    ("chemistry-society", [editing, desk, background], 16, 1),
    ("geology-society", [editing, desk, background], 16, 1),
]:
    add(Organisation(name, tiers, {"2026-12": f"{SALT}${KEYS[name]}"}, requests_per_second=concurrency / 2,
                     tokens_per_second=8000 * weight, concurrency=concurrency, weight=weight))

ENGINES = [
    ("g1", 4, 300_000, [line_edits, style_reviews]),
    ("g1", 4, 300_000, [line_edits, style_reviews]),
    ("g2", 8, 600_000, [line_edits, style_reviews]),
    ("g2", 8, 600_000, [line_edits, reference_checks]),
    ("g3", 16, 1_200_000, [line_edits, style_reviews, reference_checks]),
    ("g3", 16, 1_200_000, [line_edits, style_reviews, reference_checks]),
]
for region, network in REGIONS.items():
    for n, (generation, slots, kv_tokens, services) in enumerate(ENGINES, 1):
        add(Endpoint(f"{region}-engine-{n}", f"{network}.{10 + n}:8000", region, f"{region}-1", services,
                     generation, slots, kv_tokens, checks_fencing=generation == "g3"))
    add(Endpoint(f"{region}-journal", f"{network}.30:9000", region, f"{region}-1", [status, corrections],
                 slots=16))

# The societies' house styles are adapters of the style-review model.
add(Model(line_edits, ["2026-11", "2026-09"], replicas=dict.fromkeys(REGIONS, 6)))
add(Model(style_reviews, ["2026-10"], ["chemistry", "geology"], dict.fromkeys(REGIONS, 5)))
add(Model(reference_checks, ["2026-10"], replicas=dict.fromkeys(REGIONS, 3)))

if __name__ == "__main__":
    print(configuration)
