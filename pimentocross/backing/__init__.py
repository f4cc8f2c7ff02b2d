"""The platform's services (log, VM list, workers) and their HTTP clients."""
