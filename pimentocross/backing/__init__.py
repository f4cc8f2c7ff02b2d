"""What the platform gives: log service, VM list, workers, and clients."""
