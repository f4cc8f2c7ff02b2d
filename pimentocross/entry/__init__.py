"""The process on an entry VM: listeners, roles, and how they meet."""
