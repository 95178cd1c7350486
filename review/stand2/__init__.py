"""Stand-ins of the second review: discovery, equipos, clients, a proxy, and the start of the project's programs."""
