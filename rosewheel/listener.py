"""The listening socket of a node: bound here, or inherited from the platform.

During a hot restart the old and the new process accept from one inherited socket. A process that stops to listen
therefore only closes its descriptor: `shutdown()` would end the socket for both.
"""

from __future__ import annotations

import os
import socket
import stat

from rosewheel.config.address import Address
from rosewheel.config.errors import ConfigError

LISTEN_KEY = "LB_LISTEN"
BACKLOG = 1024  # connections that wait to be accepted; a planned restart brings thousands at once


def open_listener(address: Address, inherited: int | None) -> socket.socket:
    """Return the clients' socket: the inherited descriptor's, which listens, or one that is bound to the address.

    A bound one listens only once it is accepted from: a request in the system's queue would lose time that nobody
    counts.

    Raises:
        ConfigError: there is none; the text is one line.
    """
    return bind(address, LISTEN_KEY) if inherited is None else _adopt(inherited)


def start_listening(sock: socket.socket) -> None:
    """Have a bound socket listen; nothing changes for one that does already.

    Raises:
        ConfigError: Another process listens at its address by now.
    """
    try:
        sock.listen(BACKLOG)
    except OSError as error:
        host, port = sock.getsockname()[:2]
        raise ConfigError(f"{LISTEN_KEY}: {host}:{port}: {error}") from error


def bind(address: Address, key: str) -> socket.socket:
    """Open a socket at an address.

    Args:
        address: host and port.
        key: the configuration key of the address, for the error.

    Raises:
        ConfigError: the address can't be bound.
    """
    host, port = address
    try:
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(address)
        except OSError:
            sock.close()
            raise
        return sock
    except OSError as error:
        raise ConfigError(f"{key}: {host}:{port}: {error}") from error


def _adopt(descriptor: int) -> socket.socket:
    try:
        if not stat.S_ISSOCK(os.fstat(descriptor).st_mode):
            raise OSError("not a socket")
        os.set_inheritable(descriptor, False)  # child processes must not hold it open
        sock = socket.socket(fileno=descriptor)
        if sock.family not in (socket.AF_INET, socket.AF_INET6) or sock.type != socket.SOCK_STREAM:
            sock.detach()
            raise OSError("not a TCP socket")
        if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            sock.detach()
            raise OSError("not listening")
    except OSError as error:
        raise ConfigError(f"LB_INHERITED_FD: {descriptor}: {error}") from error
    return sock
