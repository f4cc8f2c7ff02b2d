"""An owner's view of workers: capacity, reservations and reachability."""
