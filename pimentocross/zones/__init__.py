"""Cells of availability zones: their state, owners, tasks and placement."""
