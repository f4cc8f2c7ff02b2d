"""Observability: metrics, latency histograms and logs."""
