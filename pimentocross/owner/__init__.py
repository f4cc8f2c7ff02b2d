"""The owner of a cell's jobs: records and starts them and tracks their ends."""
