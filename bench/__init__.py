"""Benchmarks with regression bounds."""
