"""Real nodes as processes: start, health, stop, kill."""

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
    """In a new child, before it executes its program: end it when its parent ends (Linux)."""
    ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


def listening_socket(port: int = 0) -> socket.socket:
    """A clients' socket that outlives the processes which accept from it."""
    return socket.create_server(("127.0.0.1", port), backlog=LISTEN_BACKLOG)


def reserve_address() -> socket.socket:
    """A socket that is bound and does not listen.

    A process that binds the same address with SO_REUSEADDR may do so, and the system gives its port to nobody else
    meanwhile, not to one of a run's many connections either.
    """
    reserved = socket.socket()
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    reserved.bind(("127.0.0.1", 0))
    return reserved


class NodeProcess:
    """One process of `rosewheel run`.

    Attributes:
        inherited_socket: the clients' socket, where it outlives the process.
        listen_address: where clients connect.
        admin_address: where the admin server listens; None without one.
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
            folder: parent of the node's own folder.
            config: its configuration without addresses; see `node_settings.node_configuration`.
            inherited_socket: the clients' socket, as a platform holds it.
            admin: whether it has an admin server.
            predecessor: the process whose address it takes over.
        """
        self.name, self.inherited_socket = name, inherited_socket
        self.folder = folder / name
        self._reserved: socket.socket | None = None
        if inherited_socket is None:
            self._reserved = reserve_address() if predecessor is None else predecessor._reserved
        self._reserved_admin = reserve_address() if admin else None
        clients = inherited_socket or self._reserved
        if clients is None:
            raise ValueError("the predecessor has an inherited socket, this process has none")
        self.listen_address: Address = clients.getsockname()[:2]
        self.admin_address: Address | None = (
            None if self._reserved_admin is None else self._reserved_admin.getsockname()[:2]
        )
        (self.folder / "tmp").mkdir(parents=True, exist_ok=True)
        self.process = self._start(self._write_config(discovery, config))

    def _write_config(self, discovery: Address, config: dict[str, Any]) -> Path:
        row = {
            "name": self.name,
            "listen": _text(self.listen_address),
            "discovery": _text(discovery),
            **config,
        }
        if self.admin_address is not None:
            row["ops"] = _text(self.admin_address)
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
        """Whether the process runs."""
        return self.process.poll() is None

    async def wait_healthy(self, need_endpoints: bool = True) -> bool:
        """Whether the node is healthy within `START_TIMEOUT_S`.

        Args:
            need_endpoints: False where it is enough that it answers: without endpoints it is not healthy.
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
        """The end of the node's log."""
        return (self.folder / "log").read_text(errors="replace").strip().rpartition("\n")[2]

    def terminate(self) -> None:
        """Ask the process to stop."""
        if self.alive:
            self.process.terminate()

    def kill(self, keep_address: bool = False) -> None:
        """Kill the process and wait for it.

        Args:
            keep_address: keep its port reserved for a successor.
        """
        if self.alive:
            self.process.kill()
        self.process.wait()
        if self._reserved_admin is not None:
            self._reserved_admin.close()
        if self._reserved is not None and not keep_address:
            self._reserved.close()

    async def wait_ended(self, timeout_s: float) -> bool:
        """Whether the process has ended within this time."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while self.alive and loop.time() < deadline:
            await asyncio.sleep(EXIT_POLL_S)
        return not self.alive

    def cpu_s(self) -> float:
        """CPU time so far; 0 once the process has ended."""
        try:
            fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        except OSError:
            return 0.0
        user_ticks, system_ticks = int(fields[11]), int(fields[12])
        return (user_ticks + system_ticks) / os.sysconf("SC_CLK_TCK")

    def memory_mb(self) -> float:
        """Resident memory; 0 once the process has ended."""
        try:
            pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0.0
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    def descriptor_count(self) -> int:
        """Open descriptors; 0 once the process has ended."""
        try:
            return len(os.listdir(f"/proc/{self.process.pid}/fd"))
        except OSError:
            return 0


async def check_health(address: Address) -> int:
    """The status of a node's health response; 0 without one."""
    return await http_status(address, b"/_health")


async def http_status(address: Address, path: bytes) -> int:
    """The status of the response to a GET on a connection of its own; 0 without one in `HEALTH_TIMEOUT_S`."""
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


def _text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
