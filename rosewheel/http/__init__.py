"""HTTP/1.1: connections of clients (downstream) and to servers (upstream)."""
