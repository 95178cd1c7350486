"""Network addresses: a numeric host and a port."""

from __future__ import annotations

Address = tuple[str, int]  # (host, port), as in the socket module

MAX_PORT = 65535


def parse_address(text: object) -> Address:
    """Parse `host:port`.

    The host is a numeric address, because no DNS is available where a node runs. An IPv6 address may be in brackets.

    Raises:
        ValueError: the text has another form, or the port is out of range.
    """
    host, colon, port = str(text).rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{text!r} is not address:port")
    return host.strip("[]"), int(port)
