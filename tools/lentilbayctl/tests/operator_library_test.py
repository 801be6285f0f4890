"""Checks that the operators' Python library and the daemon's parser agree.

Generated configurations and both examples are printed by Python, then parsed and printed by lentilbayctl, and the texts
must be identical. What the library rejects, the parser rejects too. Usage: PATH_OF_lentilbayctl [SEED]
"""

import pathlib
import random
import subprocess
import sys
import unittest
from datetime import timedelta

ROOT = pathlib.Path(__file__).resolve().parents[3]
sys.path[:0] = [str(ROOT / "operator"), str(ROOT / "examples")]
import cooperative
import daejeon
from lentilbay import (Configuration, ConfigurationError, Endpoint, Model, Objective, Organisation, Service, Tier,
                       hash_key, hours, seconds)

CTL = sys.argv.pop(1)
SEED = int(sys.argv.pop(1)) if len(sys.argv) > 1 and sys.argv[1].isdigit() else 20261203
GENERATED = 200


def run_ctl(command: str, text: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run([CTL, "configuration", command, "-"], input=text, capture_output=True, text=True)


def random_configuration(rng: random.Random) -> Configuration:
    """Returns a random valid configuration, up to the limits of names, lists and numbers."""

    def name(prefix: str, n: int) -> str:
        return f"{prefix}{n}" + "".join(rng.choices("aZ9._-", k=rng.randint(0, 30)))

    def number(minimum: float, maximum: float) -> float:
        return rng.choice([minimum, maximum, round(rng.uniform(minimum, maximum), rng.randint(0, 6)),
                           rng.uniform(minimum, maximum)])

    def duration() -> timedelta:
        unit = rng.choice([1, 1_000, 1_000_000, 60_000_000, 3_600_000_000])
        maximum = 7 * 86_400_000_000
        return timedelta(microseconds=max(1_000, min(maximum, unit * rng.randint(1, 100_000))))

    def maybe(value: object) -> object:
        return value if rng.random() < 0.5 else None

    out = Configuration(Objective(number(0, 1e6), number(0, 1e6)))
    tiers = []
    sheddable = preemptible = False
    for rank in sorted(rng.sample(range(8), rng.randint(1, 8))):
        sheddable = sheddable or rng.random() < 0.5
        preemptible = preemptible or rng.random() < 0.5
        times = sorted([duration(), duration()])
        tiers.append(out.add(Tier(name("t", rank), rank, sheddable, preemptible, maybe(times[0]), maybe(times[1]),
                                  number(0, 1e6))))
    models = [out.add(Service(name("m", n), "model", key=rng.choice(["required", "optional"]), deadline=maybe(duration()),
                              retries=maybe(rng.randint(0, 8)))) for n in range(rng.randint(1, 8))]
    plain = [out.add(Service(name("p", n), "plain", idempotent=False, deadline=maybe(duration()),
                             retries=maybe(0))) for n in range(rng.randint(0, 4))]
    regions = [name("r", n) for n in range(rng.randint(1, 4))]
    slots = 0
    for n in range(rng.randint(1, 12)):
        region = rng.choice(regions)
        services = models if n == 0 else rng.sample(models, rng.randint(1, len(models)))
        slots += 100
        address = rng.choice([f"10.0.{n}.1:{rng.randint(1, 65535)}", f"[fd00::{n + 1:x}]:8000"])
        out.add(Endpoint(name("e", n), address, region, f"dc-{regions.index(region)}", services,
                         rng.choice(["", "g1"]), 100, rng.randint(1, 10**9), rng.random() < 0.5))
    if plain:
        out.add(Endpoint("application", "10.9.0.1:9000", regions[0], "dc-0", plain, slots=7))
    for n in range(rng.randint(1, 6)):
        keys = {name("k", m): hash_key(f"key-{n}-{m}", f"{rng.getrandbits(64):x}") for m in range(rng.randint(0, 3))}
        out.add(Organisation(name("o", n), rng.sample(tiers, rng.randint(1, len(tiers))), keys,
                             maybe(number(0.001, 1e9)), maybe(number(0.001, 1e9)), slots // 6, number(0.001, 1e9)))
    for service in rng.sample(models, rng.randint(0, len(models))):
        here = sum(1 for it in out.of(Endpoint) if it.region == regions[0] and service in it.services)
        out.add(Model(service, [name("v", n) for n in range(rng.randint(1, 9))],
                      [name("a", n) for n in range(rng.randint(0, 9))], {regions[0]: rng.randint(0, here)}))
    return out


class RoundTrip(unittest.TestCase):
    def assert_round_trip(self, text: str, label: str) -> None:
        result = run_ctl("format", text)
        self.assertEqual((result.returncode, result.stderr), (0, ""), label)
        self.assertEqual(result.stdout, text, label)

    def test_examples(self) -> None:
        for module in (cooperative, daejeon):
            text = f"{module.configuration}\n"
            self.assertEqual(text, pathlib.Path(module.__file__).with_suffix(".ini").read_text())
            self.assert_round_trip(text, module.__name__)

    def test_cooperative_stays_short(self) -> None:
        self.assertLess(len(pathlib.Path(cooperative.__file__).read_text().splitlines()), 60)

    def test_generated(self) -> None:
        for n in range(GENERATED):
            seed = SEED + n
            self.assert_round_trip(f"{random_configuration(random.Random(seed))}\n", f"seed {seed}")


class Refusals(unittest.TestCase):
    """The library and, given the same error as text, the parser both reject invalid configurations."""

    def refuse_text(self, before: str, after: str) -> None:
        text = f"{cooperative.configuration}\n"
        self.assertIn(before, text)
        result = run_ctl("check", text.replace(before, after, 1))
        self.assertEqual(result.returncode, 1)
        self.assertIn("LB-60", result.stderr)

    def test_invalid_objects(self) -> None:
        with self.assertRaises(ConfigurationError) as caught:
            Tier("a b", 9, first_token_within=hours(1), answer_within=seconds(1))
        self.assertEqual(len(caught.exception.faults), 3)
        self.refuse_text("rank = 0", "rank = 9")
        with self.assertRaises(ConfigurationError):
            Service("s", "plain", idempotent=False, retries=1)
        self.refuse_text("retries = 0", "retries = 1")
        with self.assertRaises(ConfigurationError):
            Endpoint("e", "host.example:80", "r", "d", [Service("p", "plain")])
        self.refuse_text("10.21.0.11:8000", "host.example:80")
        with self.assertRaises(ConfigurationError):
            Organisation("o", [Tier("t", 0)], {"a": "in-the-clear"})
        self.refuse_text("$", "")

    def test_invalid_combinations(self) -> None:
        tier, service = Tier("gold", 0), Service("s", "plain")
        endpoint = Endpoint("e", "10.0.0.1:1", "r", "d", [service])
        unlisted_tier = Tier("silver", 0, sheddable=False)
        configuration = Configuration(elements=[tier, service, endpoint, Organisation("o", [unlisted_tier])])
        self.assertEqual(configuration.faults(), ["o refers to silver, which was not added"])
        with self.assertRaises(ConfigurationError):
            str(configuration)
        self.refuse_text("tiers = window, contract", "tiers = window, contracts")
        lower = Tier("bronze", 1, sheddable=False)
        configuration = Configuration(elements=[tier, lower, service, endpoint, Organisation("o", [lower])])
        self.assertEqual(len(configuration.faults()), 2)
        self.refuse_text("rank = 2\nsheddable = yes", "rank = 2\nsheddable = no")

    def test_key_hash_matches_the_daemon(self) -> None:
        hashed = hash_key("key", "salt")
        # SecretTest.cpp checks the same hash.
        self.assertEqual(hashed, "salt$0ac0af829fd6774dcc992a7b2c806221d1c411d7a2af3dc1476d334fbe955736")


if __name__ == "__main__":
    unittest.main()
