"""The decisions: their interface, their settings, and the module that makes them. No clock, no sockets."""
