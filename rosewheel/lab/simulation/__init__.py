"""The lab in virtual time: the same scenarios, models and nodes, driven by one queue of events, without sockets."""
