"""The owner of a cell's jobs: records them, starts them, notes their ends."""
