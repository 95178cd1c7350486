"""The fleet's configuration: versions of it, the machines that hold them, and the node's side."""
