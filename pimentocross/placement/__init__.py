"""Task placement: worker choice, ordering, eviction and learned estimates."""
