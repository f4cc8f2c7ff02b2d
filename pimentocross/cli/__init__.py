"""The command-line interface, one module for each group of commands."""
