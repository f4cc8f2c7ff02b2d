"""Entry point of `python -m pimentocross`."""

from pimentocross.cli.main import main

main()
