"""Discrete-event simulation of scenarios: the same server models and nodes as in the emulator, without sockets."""
