"""The entry VM process: its HTTP and peer listeners and background tasks."""
