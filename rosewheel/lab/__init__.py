"""Test lab: emulated and simulated servers, load generation, scenarios and experiments."""
