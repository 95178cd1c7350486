"""A scale run: hollow nodes beside real ones, on loopback, through a network that can be cut."""
