"""Workers as an owner sees them: capacity, commitments, health."""
