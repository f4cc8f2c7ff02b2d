"""Checks beyond the schema: references, totals, and what fits on a VM."""

from collections.abc import Iterator
from typing import NamedTuple

from pimentocross.backing.workers import Resources
from pimentocross.config.schema import Configuration, SizeConfig
from pimentocross.config.tree import KeyPath


class Violation(NamedTuple):
    """A rule that the value at a path of the configuration violates."""

    path: KeyPath
    message: str


def check_configuration(config: Configuration) -> list[Violation]:
    """Returns all violations, in the order of the checks."""
    return [
        *_check_names(config),
        *_check_tenants(config),
        *_check_watch_zones(config),
        *_check_sharing(config),
        *_check_objective(config),
        *_check_sizes(config),
        *_check_total_demand(config),
        *_check_quotas(config),
    ]


def total_capacity(config: Configuration) -> Resources:
    """Returns the total resources of all workers."""
    workers = sum(zone.workers for zone in config.zones.values())
    per_worker = config.workers.resources
    return Resources(
        per_worker.processors * workers,
        per_worker.memory * workers,
        per_worker.accelerators * workers,
        per_worker.slots * workers,
    )


def _entries_with_size(
    config: Configuration,
) -> Iterator[tuple[str, str, str, SizeConfig]]:
    for name, service in config.services.items():
        yield "services", name, service.tenant, service.size
    for name, batch in config.batch.items():
        yield "batch", name, batch.tenant, batch.size
    for name, watch in config.watches.items():
        yield "watches", name, watch.tenant, watch.size


def _check_names(config: Configuration) -> Iterator[Violation]:
    seen: dict[str, str] = {}
    for section, name, _, _ in _entries_with_size(config):
        if name in seen:
            yield Violation(
                (section, name), f"{name!r} is also defined in {seen[name]}"
            )
        if not name or "/" in name or "." in name:
            yield Violation(
                (section, name), "names must not be empty or contain '/' or '.'"
            )
        seen[name] = section
    for zone in config.zones:
        if not zone or "/" in zone or "." in zone:
            yield Violation(
                ("zones", zone), "names must not be empty or contain '/' or '.'"
            )


def _check_tenants(config: Configuration) -> Iterator[Violation]:
    for section, name, tenant, _ in _entries_with_size(config):
        if tenant not in config.tenants:
            path = (section, name, "tenant")
            yield Violation(path, f"no tenant {tenant!r}")


def _check_watch_zones(config: Configuration) -> Iterator[Violation]:
    for name, watch in config.watches.items():
        if watch.zone not in config.zones:
            path = ("watches", name, "zone")
            yield Violation(path, f"no availability zone {watch.zone!r}")


def _check_sharing(config: Configuration) -> Iterator[Violation]:
    known = {name for _, name, _, _ in _entries_with_size(config)}
    for name, rule in config.sharing.items():
        if rule.batch not in config.batch:
            path = ("sharing", name, "batch")
            yield Violation(path, f"no batch class {rule.batch!r}")
        if rule.beside not in known:
            path = ("sharing", name, "beside")
            yield Violation(path, f"no service or class {rule.beside!r}")


def _check_objective(config: Configuration) -> Iterator[Violation]:
    if sum(config.objective) <= 0:
        yield Violation(("objective",), "at least one weight must be above 0")


def _check_sizes(config: Configuration) -> Iterator[Violation]:
    capacity = config.workers.resources
    for section, name, _, size in _entries_with_size(config):
        for resource in Resources._fields:
            requested = getattr(size, resource)
            available = getattr(capacity, resource)
            if requested > available:
                path = (section, name, "size", resource)
                message = (
                    f"{requested} {resource} fit on no VM, which has"
                    f" {available}"
                )
                yield Violation(path, message)


def _check_total_demand(config: Configuration) -> Iterator[Violation]:
    demand = Resources(0.0, 0, 0, 0)
    for service in config.services.values():
        for _ in range(service.replicas):
            demand = demand.plus(service.size.resources)
    for watch in config.watches.values():
        for _ in range(watch.instances):
            demand = demand.plus(watch.size.resources)
    capacity = total_capacity(config)
    for resource in Resources._fields:
        requested, available = (
            getattr(demand, resource),
            getattr(capacity, resource),
        )
        if requested > available:
            message = (
                f"services and watches need {requested} {resource}, but all"
                f" workers together have {available}"
            )
            yield Violation(("services",), message)


def _check_quotas(config: Configuration) -> Iterator[Violation]:
    quotas = [t.quota for t in config.tenants.values() if t.quota]
    capacity = total_capacity(config)
    processors = sum(q.processors for q in quotas)
    if processors > capacity.processors:
        message = (
            f"quotas of {processors:g} processors exceed the"
            f" {capacity.processors:g} there are"
        )
        yield Violation(("tenants",), message)
    memory = sum(q.memory for q in quotas)
    if memory > capacity.memory:
        message = (
            f"quotas of {memory} bytes of memory exceed the"
            f" {capacity.memory} there are"
        )
        yield Violation(("tenants",), message)
