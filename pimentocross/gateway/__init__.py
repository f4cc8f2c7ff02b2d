"""The entry VM's process: serves callers and takes part in owner election."""
