"""Links to callers, targets, workers and peers: one module for each."""
