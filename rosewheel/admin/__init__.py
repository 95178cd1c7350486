"""The admin server: health, statistics and cordons of one node, as JSON over HTTP."""
