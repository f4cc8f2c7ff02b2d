"""Availability zones, their cells, and who owns and runs them."""
