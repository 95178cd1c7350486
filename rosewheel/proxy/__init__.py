"""Connects the node to its sockets: start, reload, drain, and state on disk."""
