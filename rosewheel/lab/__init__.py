"""Emulated servers, load, scenarios and experiments."""
