"""An entry VM's process: answers callers, finds or is the cell's owner."""
