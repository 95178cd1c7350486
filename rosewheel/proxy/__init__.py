"""Joins the node to its sockets: start, stop, handover."""
