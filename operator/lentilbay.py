"""Operator library: describes a deployment as Python objects and prints it as a configuration.

    from lentilbay import Configuration, Tier, seconds

    configuration = Configuration()
    window = configuration.add(Tier("window", rank=0, answer_within=seconds(5)))
    ...
    print(configuration)

The printed text is the canonical form, which `lentilbayctl configuration apply` submits unchanged. Each object
validates its own values on construction; printing validates the whole configuration. All faults are reported
at once. The daemon validates every configuration again, so using this library is optional. It needs only the
standard library.
"""

from __future__ import annotations

import hashlib
import ipaddress
import re
import secrets
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Iterable, Sequence, TypeVar

MAX_NAME = 36
MAX_TIERS = 8
MAX_LIST_LINE = 120

_NAME = re.compile(r"[A-Za-z0-9._-]{1,%d}\Z" % MAX_NAME)
_KEY_HASH = re.compile(r"[!-#%-:<-~]+\$[!-:<-~]+\Z")
_UNITS = (
    ("d", 86_400_000_000),
    ("h", 3_600_000_000),
    ("min", 60_000_000),
    ("s", 1_000_000),
    ("ms", 1_000),
    ("us", 1),
)


class ConfigurationError(ValueError):
    """All faults of an object or a configuration; `faults` holds one message for each."""

    def __init__(self, faults: Sequence[str]) -> None:
        super().__init__("\n".join(faults))
        self.faults = tuple(faults)


def milliseconds(count: float) -> timedelta:
    """A duration in milliseconds."""
    return timedelta(milliseconds=count)


def seconds(count: float) -> timedelta:
    """A duration in seconds."""
    return timedelta(seconds=count)


def minutes(count: float) -> timedelta:
    """A duration in minutes."""
    return timedelta(minutes=count)


def hours(count: float) -> timedelta:
    """A duration in hours."""
    return timedelta(hours=count)


def hash_key(key: str, salt: str | None = None) -> str:
    """Returns the salted hash of a bearer key; a configuration holds only the hash. The default salt is random."""
    salt = secrets.token_hex(16) if salt is None else salt
    return f"{salt}${hashlib.sha256(f'{salt}${key}'.encode()).hexdigest()}"


class _Faults:
    """Collects the faults of one section."""

    def __init__(self, section: str) -> None:
        self._section = section
        self.found: list[str] = []

    def require(self, holds: bool, key: str, message: str) -> None:
        if not holds:
            self.found.append(f"[{self._section}] {key}: {message}")

    def names(self, key: str, names: Iterable[str]) -> None:
        for name in names:
            allowed = f"allowed: 1 to {MAX_NAME} letters, digits and - _ ."
            self.require(bool(_NAME.match(name)), key, f"{name!r} is not a name; {allowed}")

    def within(self, key: str, value: float | None, least: float, most: float) -> None:
        holds = value is None or least <= value <= most
        self.require(holds, key, f"{value} is out of range; allowed: {least} to {most}")

    def duration(self, key: str, value: timedelta | None) -> None:
        holds = value is None or timedelta(milliseconds=1) <= value <= timedelta(days=7)
        self.require(holds, key, f"{value} is out of range; allowed: 1ms to 7d")

    def raise_any(self) -> None:
        if self.found:
            raise ConfigurationError(self.found)


def _printed(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, timedelta):
        count = value // timedelta(microseconds=1)
        return next(f"{count // size}{unit}" for unit, size in _UNITS if count % size == 0)
    if isinstance(value, float):
        return repr(value).removesuffix(".0")
    return str(value)


def _list_lines(key: str, words: Sequence[str]) -> list[str]:
    """Splits a long list over `key`, `key.2`, `key.3`, because INI readers limit the length of a line."""
    lines: list[str] = []
    for word in words:
        if lines and len(lines[-1]) + 2 + len(word) <= MAX_LIST_LINE:
            lines[-1] += f", {word}"
        else:
            lines.append(word)
    return [f"{key if n == 0 else f'{key}.{n + 1}'} = {line}" for n, line in enumerate(lines)]


class _Section:
    """Builds the text of one section; omits values that are None."""

    def __init__(self, header: str) -> None:
        self._lines = [f"[{header}]"]

    def put(self, key: str, value: object) -> _Section:
        if value is not None:
            self._lines.append(f"{key} = {_printed(value)}")
        return self

    def put_list(self, key: str, words: Sequence[str]) -> _Section:
        self._lines += _list_lines(key, words)
        return self

    def text(self) -> str:
        return "\n".join(self._lines) + "\n"


@dataclass(frozen=True)
class Objective:
    """Relative weights of answers in time and of prompt processing that is lost."""

    goodput: float = 1.0
    wasted_prefill: float = 1.0

    def __post_init__(self) -> None:
        faults = _Faults("objective")
        faults.within("goodput", self.goodput, 0, 1_000_000)
        faults.within("wasted_prefill", self.wasted_prefill, 0, 1_000_000)
        faults.raise_any()

    def text(self) -> str:
        section = _Section("objective").put("goodput", float(self.goodput))
        return section.put("wasted_prefill", float(self.wasted_prefill)).text()


@dataclass(frozen=True)
class Tier:
    """A class of service and its latency objectives. Rank 0 is served first."""

    name: str
    rank: int
    sheddable: bool = True
    preemptible: bool = True
    first_token_within: timedelta | None = None
    answer_within: timedelta | None = None
    goodput_weight: float = 1.0

    def __post_init__(self) -> None:
        faults = _Faults(f"tier {self.name}")
        faults.names("name", [self.name])
        faults.within("rank", self.rank, 0, MAX_TIERS - 1)
        faults.duration("first_token_within", self.first_token_within)
        faults.duration("answer_within", self.answer_within)
        faults.within("goodput_weight", self.goodput_weight, 0, 1_000_000)
        if self.first_token_within and self.answer_within:
            ordered = self.first_token_within <= self.answer_within
            faults.require(ordered, "first_token_within", "the first token comes after the whole answer")
        faults.raise_any()

    def text(self) -> str:
        section = _Section(f"tier {self.name}").put("rank", self.rank)
        section.put("sheddable", self.sheddable).put("preemptible", self.preemptible)
        section.put("first_token_within", self.first_token_within).put("answer_within", self.answer_within)
        return section.put("goodput_weight", float(self.goodput_weight)).text()


@dataclass(frozen=True)
class Organisation:
    """A customer: its keys (label to salted hash), its tiers (the first is the default) and its limits."""

    name: str
    tiers: Sequence[Tier]
    keys: dict[str, str] = field(default_factory=dict)
    requests_per_second: float | None = None
    tokens_per_second: float | None = None
    concurrency: int | None = None
    weight: float = 1.0

    def __post_init__(self) -> None:
        faults = _Faults(f"organisation {self.name}")
        faults.names("name", [self.name])
        faults.names("key", self.keys)
        for label, hashed in self.keys.items():
            salted = bool(_KEY_HASH.match(hashed)) and len(hashed) <= 150
            faults.require(salted, f"key.{label}", "the value is not a salted hash; use hash_key()")
        faults.require(len(self.tiers) > 0, "tiers", "at least one is required")
        faults.within("requests_per_second", self.requests_per_second, 0.001, 1_000_000_000)
        faults.within("tokens_per_second", self.tokens_per_second, 0.001, 1_000_000_000)
        faults.within("concurrency", self.concurrency, 1, 10_000_000)
        faults.within("weight", self.weight, 0.001, 1_000_000_000)
        faults.raise_any()

    def text(self) -> str:
        section = _Section(f"organisation {self.name}")
        for label in sorted(self.keys):
            section.put(f"key.{label}", self.keys[label])
        section.put_list("tiers", [tier.name for tier in self.tiers])
        for key in ("requests_per_second", "tokens_per_second"):
            limit = getattr(self, key)
            section.put(key, None if limit is None else float(limit))
        return section.put("concurrency", self.concurrency).put("weight", float(self.weight)).text()


@dataclass(frozen=True)
class Service:
    """What clients request: a model (`kind="model"`) or any other HTTP service (`kind="plain"`)."""

    name: str
    kind: str = "model"
    idempotent: bool = True
    key: str = "required"
    deadline: timedelta | None = None
    retries: int | None = None

    def __post_init__(self) -> None:
        faults = _Faults(f"service {self.name}")
        faults.names("name", [self.name])
        faults.require(self.kind in ("model", "plain"), "kind", "allowed: model, plain")
        faults.require(self.key in ("required", "optional"), "key", "allowed: required, optional")
        faults.duration("deadline", self.deadline)
        faults.within("retries", self.retries, 0, 8)
        safe = self.idempotent or not self.retries
        faults.require(safe, "retries", "the service is non-idempotent; allowed: 0")
        faults.raise_any()

    def text(self) -> str:
        section = _Section(f"service {self.name}").put("kind", self.kind)
        section.put("idempotent", self.idempotent).put("key", self.key)
        return section.put("deadline", self.deadline).put("retries", self.retries).text()


@dataclass(frozen=True)
class Endpoint:
    """A model engine or an application endpoint at an IP address and port."""

    name: str
    address: str
    region: str
    data_centre: str
    services: Sequence[Service]
    generation: str = ""
    slots: int = 1
    kv_tokens: int = 0
    checks_fencing: bool = False

    def __post_init__(self) -> None:
        faults = _Faults(f"endpoint {self.name}")
        faults.names("name", [self.name])
        faults.names("region", [self.region])
        faults.names("data_centre", [self.data_centre])
        faults.names("generation", [self.generation] if self.generation else [])
        faults.require(_is_address(self.address), "address", f"{self.address!r} is not an IP number and port")
        faults.require(len(self.services) > 0, "services", "at least one is required")
        faults.within("slots", self.slots, 1, 100_000)
        faults.within("kv_tokens", self.kv_tokens, 0, 1_000_000_000)
        kinds = {service.kind for service in self.services}
        faults.require(len(kinds) < 2, "services", "one endpoint offers services of both kinds")
        fits = kinds != {"model"} or self.kv_tokens > 0
        faults.require(fits, "kv_tokens", "a model endpoint needs the size of its KV cache")
        fits = kinds != {"plain"} or self.kv_tokens == 0
        faults.require(fits, "kv_tokens", "an endpoint of plain services has no KV cache; allowed: 0")
        faults.raise_any()

    def text(self) -> str:
        section = _Section(f"endpoint {self.name}").put("address", self.address)
        section.put("region", self.region).put("data_centre", self.data_centre)
        section.put_list("services", sorted({service.name for service in self.services}))
        section.put("generation", self.generation or None).put("slots", self.slots)
        return section.put("kv_tokens", self.kv_tokens).put("checks_fencing", self.checks_fencing).text()


@dataclass(frozen=True)
class Model:
    """The versions and adapters of a model service to load, and the number of replicas per region.

    The first version is in use; others are loaded before a switch to them.
    """

    service: Service
    versions: Sequence[str]
    adapters: Sequence[str] = ()
    replicas: dict[str, int] = field(default_factory=dict)

    @property
    def name(self) -> str:
        return self.service.name

    def __post_init__(self) -> None:
        faults = _Faults(f"model {self.name}")
        faults.require(self.service.kind == "model", "name", "the service is not of kind model")
        faults.require(len(self.versions) > 0, "versions", "at least one is required")
        faults.names("versions", self.versions)
        faults.names("adapters", self.adapters)
        faults.names("replicas", self.replicas)
        for region, count in self.replicas.items():
            faults.within(f"replicas.{region}", count, 0, 100_000)
        faults.raise_any()

    def text(self) -> str:
        section = _Section(f"model {self.name}").put_list("versions", self.versions)
        section.put_list("adapters", sorted(set(self.adapters)))
        for region in sorted(self.replicas):
            section.put(f"replicas.{region}", self.replicas[region])
        return section.text()


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        version = ipaddress.ip_address(host[1:-1] if bracketed else host).version
    except ValueError:
        return False
    return bracketed == (version == 6) and port.isascii() and port.isdigit() and 1 <= int(port) <= 65535


Element = Tier | Organisation | Service | Endpoint | Model
T = TypeVar("T", Tier, Organisation, Service, Endpoint, Model)


class Configuration:
    """A complete configuration. Elements may be added in any order; printing sorts and validates them."""

    def __init__(self, objective: Objective = Objective(), elements: Iterable[Element] = ()) -> None:
        self.objective = objective
        self._elements: list[Element] = list(elements)

    def add(self, element: T) -> T:
        """Adds an element and returns it, so that other elements can refer to it."""
        self._elements.append(element)
        return element

    def of(self, kind: type[T]) -> list[T]:
        """Returns the elements of one kind in printing order."""
        found = [it for it in self._elements if isinstance(it, kind)]
        return sorted(found, key=lambda it: (it.rank if isinstance(it, Tier) else 0, it.name))

    def faults(self) -> list[str]:
        """Returns inconsistencies between elements; each element validates its own values on construction."""
        return [*self._name_faults(), *self._tier_faults(), *self._reference_faults(), *self._capacity_faults()]

    def check(self) -> None:
        """Raises ConfigurationError with all faults."""
        if found := self.faults():
            raise ConfigurationError(found)

    def __str__(self) -> str:
        self.check()
        kinds: tuple[type, ...] = (Tier, Organisation, Service, Endpoint, Model)
        sections = [self.objective.text(), *(it.text() for kind in kinds for it in self.of(kind))]
        return "\n".join(sections).removesuffix("\n")

    def _name_faults(self) -> list[str]:
        out = [f"at least one {kind.__name__} is required" for kind in (Tier, Organisation, Service) if not self.of(kind)]
        seen: set[tuple[type, str]] = set()
        addresses: dict[str, str] = {}
        centres: dict[str, str] = {}
        for it in self._elements:
            if (type(it), it.name) in seen:
                out.append(f"{type(it).__name__} {it.name} stands twice")
            seen.add((type(it), it.name))
            if not isinstance(it, Endpoint):
                continue
            if addresses.setdefault(it.address, it.name) != it.name:
                out.append(f"endpoints {addresses[it.address]} and {it.name} have the same address")
            if centres.setdefault(it.data_centre, it.region) != it.region:
                out.append(f"data centre {it.data_centre} stands in {centres[it.data_centre]} and {it.region}")
        return out

    def _tier_faults(self) -> list[str]:
        out = []
        tiers = self.of(Tier)
        for higher, lower in zip(tiers, tiers[1:]):
            if higher.rank == lower.rank:
                out.append(f"tiers {higher.name} and {lower.name} share rank {lower.rank}")
                continue
            for key in ("sheddable", "preemptible"):
                if getattr(higher, key) and not getattr(lower, key):
                    out.append(f"tier {higher.name} ranks higher and is {key}, so tier {lower.name} must be too")
        return out

    def _reference_faults(self) -> list[str]:
        known = set(self._elements_by_identity())
        out = []
        for it in self._elements:
            used: Sequence[Element] = ()
            if isinstance(it, Organisation):
                used = it.tiers
            elif isinstance(it, Endpoint):
                used = it.services
            elif isinstance(it, Model):
                used = [it.service]
            out += [f"{it.name} refers to {other.name}, which was not added" for other in used if id(other) not in known]
        hashes: dict[str, str] = {}
        for organisation in self.of(Organisation):
            for label, hashed in organisation.keys.items():
                if hashed in hashes:
                    out.append(f"key {label} of {organisation.name} is also that of {hashes[hashed]}")
                hashes[hashed] = organisation.name
        return out

    def _elements_by_identity(self) -> list[int]:
        return [id(it) for it in self._elements]

    def _capacity_faults(self) -> list[str]:
        out = []
        endpoints = self.of(Endpoint)
        offered = {service.name for endpoint in endpoints for service in endpoint.services}
        out += [f"no endpoint offers service {it.name}" for it in self.of(Service) if it.name not in offered]
        slots = sum(endpoint.slots for endpoint in endpoints)
        for tier in self.of(Tier):
            users = [it for it in self.of(Organisation) if tier in it.tiers and not tier.sheddable]
            out += [
                f"tier {tier.name} is never refused, so organisation {it.name} needs a concurrency limit"
                for it in users
                if it.concurrency is None
            ]
            promised = sum(it.concurrency or 0 for it in users)
            if promised > slots:
                out.append(f"tier {tier.name} is never refused, but {promised} requests may meet {slots} slots")
        for model in self.of(Model):
            for region, wanted in model.replicas.items():
                here = [it for it in endpoints if it.region == region and model.service in it.services]
                if wanted > len(here):
                    out.append(f"model {model.name} wants {wanted} replicas in {region} of {len(here)} endpoints")
        return out
