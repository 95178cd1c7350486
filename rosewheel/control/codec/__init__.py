"""JSON of the log, the cached document, watches and calls. Only these modules know its keys and list positions."""
