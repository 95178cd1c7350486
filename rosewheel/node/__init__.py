"""Requests and attempts of one node: drives the policy, and enforces deadlines and limits. No sockets."""
