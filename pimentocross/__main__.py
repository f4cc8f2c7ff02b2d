"""Runs the program by `python -m pimentocross`."""

from pimentocross.cli.main import main

main()
