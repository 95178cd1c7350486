"""Discovery of servers: a client of watches, the endpoint list, and the backoff between watches."""
