"""The operators' door."""
