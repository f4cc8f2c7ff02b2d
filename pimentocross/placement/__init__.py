"""Decisions: where a task goes, in which order, and why."""
