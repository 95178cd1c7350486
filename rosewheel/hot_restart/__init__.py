"""What is open goes from an old process of a node to the new one."""
