"""Compares two commits on the same simulated days of users' deployments."""
