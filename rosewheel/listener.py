"""Opens the listening socket of a node, or takes over an inherited one.

During a hot restart the old and the new process accept from the same socket. A process that stops listening therefore
only closes its descriptor, because `shutdown()` would affect both processes.
"""

from __future__ import annotations

import os
import socket
import stat

from rosewheel.config.address import Address
from rosewheel.config.errors import ConfigError

LISTEN_KEY = "LB_LISTEN"
BACKLOG = 1024  # length of the accept queue; large, because many clients reconnect at once after a restart


def open_listener(address: Address, inherited: int | None) -> socket.socket:
    """Return the socket for clients: the inherited one, which already listens, or one bound to the address.

    A bound socket does not listen before `start_listening`, because the time that a request waits in the accept queue
    does not count against its deadline.

    Args:
        address: The host and port to bind if no descriptor is inherited.
        inherited: The inherited descriptor, or None.

    Raises:
        ConfigError: The address can't be bound, or the descriptor is not a listening TCP socket.
    """
    return bind(address, LISTEN_KEY) if inherited is None else _adopt(inherited)


def start_listening(sock: socket.socket) -> None:
    """Make a bound socket listen. Does not change a socket that already listens.

    Raises:
        ConfigError: Another process has started to listen on the address.
    """
    try:
        sock.listen(BACKLOG)
    except OSError as error:
        host, port = sock.getsockname()[:2]
        raise ConfigError(f"{LISTEN_KEY}: {host}:{port}: {error}") from error


def bind(address: Address, key: str) -> socket.socket:
    """Return a socket bound to an address.

    Args:
        address: The host and port.
        key: The configuration key of the address, for the error.

    Raises:
        ConfigError: The address can't be bound.
    """
    host, port = address
    try:
        sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
        try:
            if port:  # a port that the system chooses must not be shared with a socket that listens first
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
