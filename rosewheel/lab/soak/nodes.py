"""Node processes of a soak: start, signals and restart, and checks of their logs and statistics."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import msgspec

from rosewheel.lab.node_process import check_health, kill_with_parent, reserve_address
from rosewheel.lab.soak.deployment import Deployment
from rosewheel.lab.soak.records import NodeExit, SoakRecords, now_s

START_TIMEOUT_S = 30.0
POLL_S = 0.02
PAUSE_S = 0.15
MEMORY_INTERVAL_S = 0.02  # time between two readings of a process's memory
EXPECTED_LOG_WORDS = ("configuration not reloaded",)  # logged under NODE_RELOAD_INVALID
ERROR_LOG_WORDS = ("Traceback", "Error:", "rule violated", "policy failed", "effect failed")


SIGNAL_INTERVAL_S = 0.15
SIGNAL_SERIES = (
    (signal.SIGHUP, signal.SIGHUP, signal.SIGHUP),
    (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP),
    (signal.SIGTERM, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM),
)


def read_resident_mb(process_id: int) -> float:
    """Return the resident memory of a process in MB; 0 if it has ended."""
    try:
        fields = Path(f"/proc/{process_id}/statm").read_text().split()
        return int(fields[1]) * os.sysconf("SC_PAGE_SIZE") / (1 << 20)
    except (OSError, IndexError):
        return 0.0


class SoakNode:
    """One node: a sequence of processes at the same address.

    Attributes:
        number: Number of the node, from 0.
        incarnation: Number of the current process, from 1; 0 before the first start.
        address: Address to which clients connect.
    """

    def __init__(
        self,
        number: int,
        folder: Path,
        records: SoakRecords,
        plant: str | None,
        count: int,
        deployment: Deployment,
    ) -> None:
        self.number, self.incarnation = number, 0
        self._deployment = deployment
        self._folder, self._records, self._plant, self._count = folder / f"n{number}", records, plant, count
        self._reserved, self._reserved_admin = reserve_address(), reserve_address()
        self.address: tuple[str, int] = self._reserved.getsockname()[:2]
        self._process: subprocess.Popen[bytes] | None = None
        self._term_s: float | None = None  # of the first SIGTERM to this process
        self._restart_lock = asyncio.Lock()
        self._folder.mkdir(parents=True, exist_ok=True)
        self.log_path.unlink(missing_ok=True)  # removes the log of an earlier run

    @property
    def name(self) -> str:
        """Name of the current process."""
        return f"n{self.number}.{self.incarnation}"

    @property
    def log_path(self) -> Path:
        """Path of the log, which all processes of the node append to."""
        return self._folder / "log"

    def write_config(
        self, discovery_port: int, initial_endpoints: dict[str, Any], changes: dict[str, Any]
    ) -> None:
        """Write the configuration file.

        Args:
            discovery_port: Port of the node's discovery agent.
            initial_endpoints: Endpoint list, as a discovery message.
            changes: Settings that replace those of the deployment.
        """
        host, port = self.address
        admin_host, admin_port = self._reserved_admin.getsockname()[:2]
        document = {
            "name": f"n{self.number}",
            "listen": f"{host}:{port}",
            "ops": f"{admin_host}:{admin_port}",
            "discovery": f"127.0.0.1:{discovery_port}",
            "limits": {"memory_mb": self._deployment.memory_mb, "sockets": self._deployment.sockets},
            "known": initial_endpoints,
            "settings": self._deployment.settings(self._count) | changes,
        }
        (self._folder / "config.json").write_bytes(msgspec.json.encode(document))

    async def start(self) -> None:
        """Start the next process, and wait until it is ready, has exited, or `START_TIMEOUT_S` has passed."""
        self.incarnation += 1
        self._term_s = None
        module = ["rosewheel"] if self._plant is None else ["rosewheel.lab.soak.planted_node", self._plant]
        environ = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
        environ["LB_CONFIG"] = str(self._folder / "config.json")
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", *module],
                env=environ,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=kill_with_parent,
            )
        started_s = now_s()
        while now_s() - started_s < START_TIMEOUT_S and self._process.poll() is None:
            if await check_health(self.address) == 200:
                break
            await asyncio.sleep(POLL_S)
        self._records.ready_s[self.name] = now_s() - started_s

    async def restart(self, is_killed: bool, prepare: Any) -> None:
        """Stop the process and start the next one; do nothing if a restart is already under way.

        Args:
            is_killed: Whether to stop the process by SIGKILL instead of SIGTERM.
            prepare: Called before the start, to write the configuration.
        """
        if self._restart_lock.locked():
            return
        async with self._restart_lock:
            await self.stop(is_killed)
            prepare()
            await self.start()

    async def stop(self, is_killed: bool) -> None:
        """Stop the process and record its exit; after SIGTERM without an exit, send SIGKILL."""
        process = self._process
        if process is None or (process.poll() is not None and self._term_s is None):
            return
        if not is_killed and self._term_s is None:
            self._term_s = now_s()
        process.send_signal(signal.SIGKILL if is_killed else signal.SIGTERM)
        term_s = None if is_killed else self._term_s
        while process.poll() is None:
            if term_s is not None and now_s() - term_s > self._deployment.kill_after_s:
                process.kill()
            await asyncio.sleep(POLL_S)
        self._records.node_exits.append(NodeExit(self.name, term_s, now_s(), process.returncode))

    async def watch_memory(self) -> None:
        """Record the largest resident memory of each process, until the task is cancelled."""
        peaks_mb = self._records.peak_memory_mb
        while True:
            await asyncio.sleep(MEMORY_INTERVAL_S)
            if self._process is not None and self._process.poll() is None:
                resident_mb = read_resident_mb(self._process.pid)
                peaks_mb[self.name] = max(peaks_mb.get(self.name, 0.0), resident_mb)

    async def signal_in_series(self, number: int) -> None:
        """Send signals while the process starts or drains, some twice; it ends by SIGTERM or SIGKILL."""
        series = SIGNAL_SERIES[number % len(SIGNAL_SERIES)]
        for name in series:
            if self._process is not None and self._process.poll() is None:
                self._process.send_signal(name)
                if name is signal.SIGTERM and self._term_s is None:
                    self._term_s = now_s()
            await asyncio.sleep(SIGNAL_INTERVAL_S)

    async def pause(self) -> None:
        """Suspend the process for `PAUSE_S`, as an overloaded machine does."""
        process = self._process
        if process is None or process.poll() is not None:
            return
        process.send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(PAUSE_S)
        finally:
            with contextlib.suppress(OSError):
                process.send_signal(signal.SIGCONT)

    def reload(self) -> None:
        """Send SIGHUP, on which the process reloads its configuration."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGHUP)

    async def statistics(self) -> dict[str, Any]:
        """Return the statistics from the admin API; empty if it does not respond."""
        try:
            reader, writer = await asyncio.open_connection(*self._reserved_admin.getsockname()[:2])
            writer.write(b"GET /admin/stats HTTP/1.1\r\nHost: a\r\n\r\n")
            data = await reader.read()
            writer.close()
        except OSError:
            return {}
        body = data.partition(b"\r\n\r\n")[2]
        return msgspec.json.decode(body, type=dict[str, Any]) if body else {}

    def log_errors(self) -> list[str]:
        """Return the error lines of the log, without those that are expected from faults."""
        lines = self.log_path.read_text(errors="replace").splitlines()
        errors = (line for line in lines if any(word in line for word in ERROR_LOG_WORDS))
        return [
            f"n{self.number}: {line[:300]}"
            for line in errors
            if not any(word in line for word in EXPECTED_LOG_WORDS)
        ]
