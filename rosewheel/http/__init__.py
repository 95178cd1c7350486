"""HTTP/1.1 connections: from clients (downstream) and to servers (upstream)."""
