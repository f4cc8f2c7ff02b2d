"""Schedules latency-critical services, batch jobs and watches on shared VMs."""

from typing import Final

from pimentocross.startup import import_trio

__version__: Final = "0.1.0"

import_trio()
