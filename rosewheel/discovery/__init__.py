"""Discovery of servers: the watch client, the endpoint list, and the backoff between watches."""
