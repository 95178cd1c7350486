"""The fleet's configuration: its revisions, the control machines that replicate them, and the nodes' subscriptions."""
