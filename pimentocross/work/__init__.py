"""Data model of jobs: queues, steps, tasks, runs and their stored records."""
