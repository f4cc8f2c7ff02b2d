"""Stand-ins of the users' platform, and the checks of the review's scripts."""
