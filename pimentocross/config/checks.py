"""What a schema can't say: references, sums, and what fits on a VM."""

from collections.abc import Iterator
from typing import NamedTuple

from pimentocross.backing.workers import Resources
from pimentocross.config.schema import Configuration, SizeConfig
from pimentocross.config.tree import KeyPath


class Complaint(NamedTuple):
    """Something wrong at a path of the configuration."""

    path: KeyPath
    message: str


def check_configuration(config: Configuration) -> list[Complaint]:
    """Returns all that is wrong, in the order of the sections."""
    return [
        *_check_names(config),
        *_check_tenants(config),
        *_check_watch_zones(config),
        *_check_sharing(config),
        *_check_objective(config),
        *_check_sizes(config),
        *_check_sums(config),
        *_check_quotas(config),
    ]


def total_capacity(config: Configuration) -> Resources:
    """Returns what all workers together can carry."""
    workers = sum(zone.workers for zone in config.zones.values())
    one = config.workers.resources
    return Resources(
        one.processors * workers,
        one.memory * workers,
        one.accelerators * workers,
        one.slots * workers,
    )


def _sections(
    config: Configuration,
) -> Iterator[tuple[str, str, str, SizeConfig]]:
    for name, service in config.services.items():
        yield "services", name, service.tenant, service.size
    for name, batch in config.batch.items():
        yield "batch", name, batch.tenant, batch.size
    for name, watch in config.watches.items():
        yield "watches", name, watch.tenant, watch.size


def _check_names(config: Configuration) -> Iterator[Complaint]:
    seen: dict[str, str] = {}
    for section, name, _, _ in _sections(config):
        if name in seen:
            yield Complaint(
                (section, name), f"{name!r} is also in {seen[name]}"
            )
        if not name or "/" in name or "." in name:
            yield Complaint((section, name), "a name has no '/' or '.'")
        seen[name] = section
    for zone in config.zones:
        if not zone or "/" in zone or "." in zone:
            yield Complaint(("zones", zone), "a name has no '/' or '.'")


def _check_tenants(config: Configuration) -> Iterator[Complaint]:
    for section, name, tenant, _ in _sections(config):
        if tenant not in config.tenants:
            path = (section, name, "tenant")
            yield Complaint(path, f"no tenant {tenant!r}")


def _check_watch_zones(config: Configuration) -> Iterator[Complaint]:
    for name, watch in config.watches.items():
        if watch.zone not in config.zones:
            path = ("watches", name, "zone")
            yield Complaint(path, f"no availability zone {watch.zone!r}")


def _check_sharing(config: Configuration) -> Iterator[Complaint]:
    known = {name for _, name, _, _ in _sections(config)}
    for name, rule in config.sharing.items():
        if rule.batch not in config.batch:
            path = ("sharing", name, "batch")
            yield Complaint(path, f"no batch class {rule.batch!r}")
        if rule.beside not in known:
            path = ("sharing", name, "beside")
            yield Complaint(path, f"no service or class {rule.beside!r}")


def _check_objective(config: Configuration) -> Iterator[Complaint]:
    if sum(config.objective) <= 0:
        yield Complaint(("objective",), "at least one weight is above 0")


def _check_sizes(config: Configuration) -> Iterator[Complaint]:
    capacity = config.workers.resources
    for section, name, _, size in _sections(config):
        for part in Resources._fields:
            wanted = getattr(size, part)
            most = getattr(capacity, part)
            if wanted > most:
                path = (section, name, "size", part)
                message = f"{wanted} {part} fit on no VM, which has {most}"
                yield Complaint(path, message)


def _check_sums(config: Configuration) -> Iterator[Complaint]:
    standing = Resources(0.0, 0, 0, 0)
    for service in config.services.values():
        for _ in range(service.replicas):
            standing = standing.plus(service.size.resources)
    for watch in config.watches.values():
        for _ in range(watch.instances):
            standing = standing.plus(watch.size.resources)
    capacity = total_capacity(config)
    for part in Resources._fields:
        wanted, most = getattr(standing, part), getattr(capacity, part)
        if wanted > most:
            message = f"services and watches need {wanted} {part} of {most}"
            yield Complaint(("services",), message)


def _check_quotas(config: Configuration) -> Iterator[Complaint]:
    quotas = [t.quota for t in config.tenants.values() if t.quota]
    capacity = total_capacity(config)
    processors = sum(q.processors for q in quotas)
    if processors > capacity.processors:
        message = (
            f"quotas of {processors:g} processors exceed the"
            f" {capacity.processors:g} there are"
        )
        yield Complaint(("tenants",), message)
    memory = sum(q.memory for q in quotas)
    if memory > capacity.memory:
        message = f"quotas of {memory} bytes exceed the {capacity.memory}"
        yield Complaint(("tenants",), message)
