"""What operators see: histograms, logs, explanations."""
