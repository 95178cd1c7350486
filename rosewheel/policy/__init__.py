"""Balancing policy: settings, events, actions and the decision module. No clock and no I/O."""
