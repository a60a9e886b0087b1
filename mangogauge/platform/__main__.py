"""Run one host of the fleet on the platform: ``python3 -m mangogauge.platform``."""

from ..processes import run_process

run_process("mangogauge.platform.service")
