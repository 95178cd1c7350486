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
from rosewheel.lab.soak.records import NodeExit, SoakRecords, now_s

START_TIMEOUT_S = 30.0
POLL_S = 0.02
PAUSE_S = 0.15
TERM_TIMEOUT_S = 3.0 + 0.7  # time from SIGTERM to SIGKILL
EXPECTED_LOG_WORDS = ("configuration not reloaded",)  # logged under NODE_RELOAD_INVALID
ERROR_LOG_WORDS = ("Traceback", "Error:", "rule violated", "policy failed", "effect failed")

SETTINGS: dict[str, Any] = {
    "tier": 0,
    "locality": "a",
    "registryMode": "push",
    "valueBy": "request",
    "categories": [
        {"name": "read", "aimMs": 500.0, "giveUpMs": 1500.0, "credit": 1.0, "effect": "free"},
        {"name": "post", "aimMs": 500.0, "giveUpMs": 1500.0, "credit": 4.0, "effect": "single_shot"},
        {
            "name": "points",
            "aimMs": 500.0,
            "giveUpMs": 1500.0,
            "credit": 2.0,
            "effect": "guarded",
            "keyScope": "all",
            "memorySpanMs": 900.0,
        },
    ],
    "bounds": {
        "cancel": True,
        "maxAttempts": 3,
        "maxRetryAfterMs": 500.0,
        "retryAfter": True,
        "secondCopies": True,
        "connIdleMs": 8000.0,
        "connectTimeoutMs": 1000.0,
        "mayProbe": False,
    },
    "feedback": {"fields": []},
    "invariants": {"coldFrom": 0.2, "coldMs": 4000.0, "tipAfterMs": 1500.0, "overloadFactor": 3.0},
    "prices": {"crossZone": 0.0},
}


class SoakNode:
    """One node: a sequence of processes at the same address.

    Attributes:
        number: Number of the node, from 0.
        incarnation: Number of the current process, from 1; 0 before the first start.
        address: Address to which clients connect.
    """

    def __init__(
        self, number: int, folder: Path, records: SoakRecords, plant: str | None, count: int
    ) -> None:
        self.number, self.incarnation = number, 0
        self._folder, self._records, self._plant, self._count = folder / f"n{number}", records, plant, count
        self._reserved, self._reserved_admin = reserve_address(), reserve_address()
        self.address: tuple[str, int] = self._reserved.getsockname()[:2]
        self._process: subprocess.Popen[bytes] | None = None
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

    def write_config(self, discovery_port: int, known: dict[str, Any], changes: dict[str, Any]) -> None:
        """Write the configuration file.

        Args:
            discovery_port: Port of the node's discovery agent.
            known: Initial endpoint list.
            changes: Settings that replace those of `SETTINGS`.
        """
        host, port = self.address
        admin_host, admin_port = self._reserved_admin.getsockname()[:2]
        document = {
            "name": f"n{self.number}",
            "listen": f"{host}:{port}",
            "ops": f"{admin_host}:{admin_port}",
            "discovery": f"127.0.0.1:{discovery_port}",
            "limits": {"memory_mb": 192, "sockets": 512},
            "known": known,
            "settings": SETTINGS | {"siblings": self._count} | changes,
        }
        (self._folder / "config.json").write_bytes(msgspec.json.encode(document))

    async def start(self) -> None:
        """Start the next process, and wait until it is ready, has exited, or `START_TIMEOUT_S` has passed."""
        self.incarnation += 1
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
        if process is None or process.poll() is not None:
            return
        term_s = None if is_killed else now_s()
        process.send_signal(signal.SIGKILL if is_killed else signal.SIGTERM)
        signalled_s = now_s()
        while process.poll() is None:
            if not is_killed and now_s() - signalled_s > TERM_TIMEOUT_S:
                process.kill()
            await asyncio.sleep(POLL_S)
        self._records.node_exits.append(NodeExit(self.name, term_s, now_s(), process.returncode))

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
