"""Hot restart: a new process of a node takes over the open connections of the old process."""
