"""JSON encoding of the log, the cached document, watches and calls. Only these modules know the keys on the wire."""
