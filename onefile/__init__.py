"""Builds the program as a single executable file."""
