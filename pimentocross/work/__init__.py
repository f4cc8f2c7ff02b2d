"""Jobs as the product knows them: queues, steps, tasks and their runs."""
