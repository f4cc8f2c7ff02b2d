"""Coordination building blocks: log fold, ownership, drain, retry budget."""
