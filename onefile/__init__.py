"""Builds the program as one file."""
