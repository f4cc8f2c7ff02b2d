"""Coordination parts, each usable alone: log fold, ownership, budgets."""
