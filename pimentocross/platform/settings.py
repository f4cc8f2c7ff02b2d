"""Reads the platform's settings file, which has lines of the form a.b=value."""

from collections.abc import Mapping
import math
import os
from pathlib import Path
from typing import Final

from pimentocross.contracts.switches import (
    Switches,
    UnknownPartError,
    read_switches,
)
from pimentocross.gateway.settings import GatewaySettings
from pimentocross.work.limits import DEFAULT_RECORD_BYTES

_METRICS_VARIABLE: Final = "PIMENTOCROSS_METRICS_PORT"
# The port that deploy/system.toml declares to the platform.
_DEFAULT_METRICS_PORT: Final = "9464"
# Defaults for bounds that the settings file omits, from the users' pages.
_DEFAULT_MAX_LEASE_MS: Final = 6000.0
_DEFAULT_STATUS_S: Final = 120.0
_DEFAULT_CONFIG_APPLY_MS: Final = 2000.0
_DEFAULT_MAX_FDS: Final = 4096.0
# Comma-separated names of the parts that are switched off.
_PARTS_OFF_VARIABLE: Final = "PIMENTOCROSS_PARTS_OFF"
_PATH_VARIABLE: Final = "PIMENTOCROSS_BOOT"
_COMMENT: Final = "#"


class SettingsError(Exception):
    """The settings file is missing or invalid.

    Attributes:
        findings: Description of each error, with its location.
    """

    def __init__(self, findings: list[str]) -> None:
        """Initializes the error with a description of each problem."""
        super().__init__("; ".join(findings))
        self.findings = findings


def settings_path() -> Path:
    """Returns the path of the settings file, from the environment.

    Raises:
        SettingsError: The environment variable is not set.
    """
    path = os.environ.get(_PATH_VARIABLE, "")
    if not path:
        raise SettingsError([f"{_PATH_VARIABLE} is not set"])
    return Path(path)


def read_settings(path: Path) -> GatewaySettings:
    """Reads a settings file; unknown fields are ignored.

    Raises:
        SettingsError: The file is unreadable or invalid; names all errors.
    """
    try:
        text = path.read_text("utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError([f"{path}: {error}"]) from error
    findings: list[str] = []
    values = _parse_lines(path, text, findings)

    def require(name: str) -> str:
        value = values.get(name, "")
        if not value:
            findings.append(f"{path}: {name} is missing")
        return value

    settings = GatewaySettings(
        name=require("node_name"),
        zone=require("zone"),
        ip=require("ip"),
        caller_address=require("listen_addrs.frontend"),
        ready_address=require("listen_addrs.ready"),
        peer_port=_port(require("internal_ports").partition(",")[0], findings),
        metrics_port=_port(
            os.environ.get(_METRICS_VARIABLE, _DEFAULT_METRICS_PORT), findings
        ),
        store_address=require("platform.address"),
        adviser_address=values.get("recommendation", ""),
        lease_most=_number(
            values, "bounds.max_hold_ms", _DEFAULT_MAX_LEASE_MS, findings
        )
        / 1000,
        ended_least=_number(
            values, "bounds.status_s", _DEFAULT_STATUS_S, findings
        ),
        config_within=_number(
            values, "bounds.config_apply_ms", _DEFAULT_CONFIG_APPLY_MS, findings
        )
        / 1000,
        evacuated_within=_number(
            values, "bounds.evacuate_ms", float("inf"), findings
        )
        / 1000,
        grace=_number(values, "bounds.grace_s", 6.0, findings),
        descriptors=int(
            _number(values, "limits.max_fds", _DEFAULT_MAX_FDS, findings)
        ),
        # Share of a core times its speed relative to a standard core.
        cores=_number(values, "limits.cpu_share", 0.0, findings)
        * _number(values, "limits.cpu_cores", 1.0, findings),
        record_bytes=int(
            _number(
                values,
                "platform.record_bytes",
                DEFAULT_RECORD_BYTES,
                findings,
            )
        ),
        switches=_switches(findings),
    )
    if findings:
        raise SettingsError(findings)
    return settings


def _parse_lines(
    path: Path, text: str, findings: list[str]
) -> Mapping[str, str]:
    values = {}
    for number, line in enumerate(text.splitlines(), 1):
        line = line.strip()
        if not line or line.startswith(_COMMENT):
            continue
        name, separator, value = line.partition("=")
        if not separator:
            findings.append(f"{path}:{number}: no '='")
        values[name.strip()] = value.strip()
    return values


def _port(text: str, findings: list[str]) -> int:
    if text and not text.isdecimal():
        findings.append(f"{text!r} is not a port number")
    return int(text) if text.isdecimal() else 0


def _switches(findings: list[str]) -> Switches:
    try:
        return read_switches(os.environ.get(_PARTS_OFF_VARIABLE, ""))
    except UnknownPartError as error:
        findings.append(f"{_PARTS_OFF_VARIABLE}: {error}")
        return Switches()


def _number(
    values: Mapping[str, str],
    name: str,
    default: float,
    findings: list[str],
) -> float:
    text = values.get(name)
    if not text:
        return default
    try:
        number = float(text)
    except ValueError:
        number = math.nan
    if not math.isfinite(number):
        findings.append(f"{name}: not a number")
        return default
    return number
