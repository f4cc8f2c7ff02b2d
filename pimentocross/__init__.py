"""Schedules latency-critical services, batch jobs and watches on shared VMs."""

from typing import Final

__version__: Final = "0.1.0"
