"""Node processes of a run: start, health checks, resource usage and termination."""

from __future__ import annotations

import asyncio
import ctypes
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import msgspec

from rosewheel.lab.wire import Address

START_TIMEOUT_S = 30.0
HEALTH_TIMEOUT_S = 1.0
HEALTH_POLL_S = 0.05
EXIT_POLL_S = 0.02
LISTEN_BACKLOG = 1024
_PR_SET_PDEATHSIG = 1


def kill_with_parent() -> None:
    """Make the kernel kill this process when its parent exits (Linux only); called in a child before `exec`."""
    ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


def listening_socket(port: int = 0) -> socket.socket:
    """Return a listening socket that node processes inherit, and that stays open across their restarts."""
    return socket.create_server(("127.0.0.1", port), backlog=LISTEN_BACKLOG)


def reserve_address() -> socket.socket:
    """Return a socket that is bound to a free loopback port and does not listen.

    While it is open, the kernel does not assign the port to any other socket, including outgoing connections. A
    process can still bind the address with SO_REUSEADDR.
    """
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind(("127.0.0.1", 0))
    return reserved


class NodeProcess:
    """A node process (`python -m rosewheel`).

    Attributes:
        name: name of the node.
        folder: folder of its configuration, log and temporary files.
        inherited_socket: listening socket that the process inherits; None if it opens its own.
        listen_address: address for clients.
        admin_address: address of the admin server; None without one.
    """

    def __init__(
        self,
        name: str,
        folder: Path,
        discovery: Address,
        config: dict[str, Any],
        inherited_socket: socket.socket | None = None,
        admin: bool = False,
        predecessor: NodeProcess | None = None,
    ) -> None:
        """Start the process.

        Args:
            folder: parent of the folder of the node.
            config: configuration without addresses; see `node_settings.node_configuration`.
            inherited_socket: listening socket to inherit, as if the platform held it.
            admin: whether to start an admin server.
            predecessor: killed process whose listen address is reused.
        """
        self.name, self.inherited_socket = name, inherited_socket
        self.folder = folder / name
        self._reserved: socket.socket | None = None
        if inherited_socket is None:
            self._reserved = reserve_address() if predecessor is None else predecessor._reserved
        self._reserved_admin = reserve_address() if admin else None
        clients = inherited_socket or self._reserved
        if clients is None:
            raise ValueError("predecessor has no reserved address to reuse and there is no inherited socket")
        self.listen_address: Address = clients.getsockname()[:2]
        self.admin_address: Address | None = (
            None if self._reserved_admin is None else self._reserved_admin.getsockname()[:2]
        )
        (self.folder / "tmp").mkdir(parents=True, exist_ok=True)
        self.process = self._start(self._write_config(discovery, config))

    def _write_config(self, discovery: Address, config: dict[str, Any]) -> Path:
        row = {
            "name": self.name,
            "listen": _address_text(self.listen_address),
            "discovery": _address_text(discovery),
            **config,
        }
        if self.admin_address is not None:
            row["ops"] = _address_text(self.admin_address)
        path = self.folder / "config.json"
        path.write_bytes(msgspec.json.encode(row))
        return path

    def _start(self, config: Path) -> subprocess.Popen[bytes]:
        environ = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
        environ |= {"LB_CONFIG": str(config), "TMPDIR": str(self.folder / "tmp")}
        descriptors: tuple[int, ...] = ()
        if self.inherited_socket is not None:
            environ["LB_INHERITED_FD"] = str(self.inherited_socket.fileno())
            descriptors = (self.inherited_socket.fileno(),)
        with (self.folder / "log").open("ab") as log:
            return subprocess.Popen(
                [sys.executable, "-m", "rosewheel"],
                env=environ,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=descriptors,
                preexec_fn=kill_with_parent,
            )

    @property
    def alive(self) -> bool:
        """Return whether the process is running."""
        return self.process.poll() is None

    async def wait_healthy(self, need_endpoints: bool = True) -> bool:
        """Wait until the node is healthy, and return whether it is within `START_TIMEOUT_S`.

        Args:
            need_endpoints: whether the node must be healthy; if False, any response suffices, which a node without
                endpoints sends too.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + START_TIMEOUT_S
        while self.alive and loop.time() < deadline:
            status = await check_health(self.listen_address)
            if status == 200 or (status and not need_endpoints):
                return True
            await asyncio.sleep(HEALTH_POLL_S)
        return False

    def last_log_line(self) -> str:
        """Return the last line of the log of the node."""
        return (self.folder / "log").read_text(errors="replace").strip().rpartition("\n")[2]

    def terminate(self) -> None:
        """Send SIGTERM to the process."""
        if self.alive:
            self.process.terminate()

    def kill(self, keep_address: bool = False) -> None:
        """Kill the process, wait for it, and release its addresses.

        Args:
            keep_address: whether to keep the listen address reserved for a successor.
        """
        if self.alive:
            self.process.kill()
        self.process.wait()
        if self._reserved_admin is not None:
            self._reserved_admin.close()
        if self._reserved is not None and not keep_address:
            self._reserved.close()

    async def wait_ended(self, timeout_s: float) -> bool:
        """Wait until the process has exited, and return whether it has within the timeout."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while self.alive and loop.time() < deadline:
            await asyncio.sleep(EXIT_POLL_S)
        return not self.alive

    def cpu_s(self) -> float:
        """Return the CPU time so far, in s; 0 if the process has exited."""
        try:
            fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        except OSError:
            return 0.0
        user_ticks, system_ticks = int(fields[11]), int(fields[12])
        return (user_ticks + system_ticks) / os.sysconf("SC_CLK_TCK")

    def memory_mb(self) -> float:
        """Return the resident memory, in MB; 0 if the process has exited."""
        try:
            pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0.0
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    def descriptor_count(self) -> int:
        """Return the number of open descriptors; 0 if the process has exited."""
        try:
            return len(os.listdir(f"/proc/{self.process.pid}/fd"))
        except OSError:
            return 0


async def check_health(address: Address) -> int:
    """Return the status of the health response of a node; 0 without one."""
    return await http_status(address, b"/_health")


async def http_status(address: Address, path: bytes) -> int:
    """Send a GET on a new connection and return the response status; 0 without one within `HEALTH_TIMEOUT_S`."""
    try:
        async with asyncio.timeout(HEALTH_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(b"GET %b HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" % path)
                line = await reader.readline()
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return 0
    parts = line.split()
    return int(parts[1]) if len(parts) > 1 and parts[1].isdigit() else 0


def _address_text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
