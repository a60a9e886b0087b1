"""Run the command line by ``python -m mangogauge``."""

from .commands import main

main()
