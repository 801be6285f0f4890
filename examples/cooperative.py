"""The Indus Copper Traders Cooperative: price answers are useful only while the market window is open."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "operator"))
from lentilbay import (Configuration, Endpoint, Model, Objective, Organisation, Service, Tier, hours,
                       milliseconds, seconds)

SALT = "a3d1c05e97b24f68"
KEYS = {  # Salted hashes, made by hash_key(); the keys themselves are not stored.
    "brokers": "8f26095b7397cc530d2775d1198d1bc1d6e9e22ee6593d8c516b8dc4b6d9dca9",
    "desk": "534bcaa2282e77dfe30b2f2eab74dfda8ea0e75edb220f5a4eaa606ca2397d1d",
    "members": "a04ddfa191e8892243e1669a17444ddf1b8cb21d9ca274c90123c884b675bf5d",
    "millers": "68aea04e0886b6bbb872b52e350261b06764ff876df9da8b1582bec221a12b0a",
    "smelters": "4475f0e252462a195ac84e194ad58d5ef17dfd8b0d0a55f6b4344d3e4bb49da1",
}
REGIONS = {"karachi": "10.21.0", "lahore": "10.22.0", "islamabad": "10.23.0"}

configuration = Configuration(Objective(goodput=3, wasted_prefill=1))
add = configuration.add

window = add(Tier("window", 0, sheddable=False, preemptible=False, first_token_within=milliseconds(800),
                  answer_within=seconds(5), goodput_weight=10))
contract = add(Tier("contract", 1, preemptible=False, first_token_within=seconds(2),
                    answer_within=seconds(60), goodput_weight=6))
desk = add(Tier("desk", 2, answer_within=seconds(30), goodput_weight=2))
overnight = add(Tier("overnight", 3, answer_within=hours(9), goodput_weight=1))

prices = add(Service("price-answers", deadline=seconds(5)))
drafts = add(Service("contract-drafts", deadline=seconds(60)))
grades = add(Service("grade-summaries", deadline=hours(9)))
lots = add(Service("lot-checks", "plain", deadline=seconds(10)))
booking = add(Service("lot-booking", "plain", idempotent=False, deadline=seconds(10), retries=0))

for name, tiers, concurrency, weight in [
    ("brokers", [window, contract], 60, 4), ("desk", [desk, window, contract], 40, 3),
    ("members", [desk, contract], 30, 2), ("smelters", [desk, overnight], 20, 1),
    ("millers", [desk, overnight], 20, 1),
]:
    add(Organisation(name, tiers, {"2026-12": f"{SALT}${KEYS[name]}"}, requests_per_second=2 * concurrency,
                     tokens_per_second=4000 * weight, concurrency=concurrency, weight=weight))

ENGINES = [("g1", 8, 120_000, [prices, grades])] * 2 + [("g2", 16, 240_000, [prices, drafts])] * 3
ENGINES += [("g3", 32, 480_000, [drafts, grades])]
for region, network in REGIONS.items():
    for n, (generation, slots, kv_tokens, services) in enumerate(ENGINES, 1):
        add(Endpoint(f"{region}-engine-{n}", f"{network}.{10 + n}:8000", region, f"{region}-1", services,
                     generation, slots, kv_tokens, checks_fencing=generation != "g1"))
    add(Endpoint(f"{region}-booking", f"{network}.30:9000", region, f"{region}-1", [lots, booking], slots=16))

for service, replicas in [(prices, 5), (drafts, 4), (grades, 3)]:
    add(Model(service, ["v1"], replicas=dict.fromkeys(REGIONS, replicas)))

if __name__ == "__main__":
    print(configuration)
