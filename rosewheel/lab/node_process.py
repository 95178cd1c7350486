"""Real nodes as processes: their configuration from a scenario, start, health, stop, kill."""

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

from rosewheel.lab.plan import Plan
from rosewheel.lab.wire import Address
from rosewheel.policy.settings import Idempotency

EFFECT_NAMES = {
    Idempotency.IDEMPOTENT: "free",
    Idempotency.IDEMPOTENT_WITH_KEY: "guarded",
    Idempotency.NON_IDEMPOTENT: "single_shot",
}
START_TIMEOUT_S = 30.0  # a node that has not said yes by then will not
_PR_SET_PDEATHSIG = 1


def _die_with_parent() -> None:
    """In the child, before it becomes a node: whatever ends this process ends the node too (Linux)."""
    ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


def platform_settings(plan: Plan, tier: int, siblings: int, zone: str = "") -> dict[str, Any]:
    """The settings of a node that sends to this tier, as the platform words them. `zone`: where it stands."""
    scenario, rules, nodes = plan.scenario, plan.scenario.rules, plan.scenario.nodes
    return {
        "locality": zone or scenario.zone,
        "tier": tier,
        "siblings": siblings,
        "registryMode": "push",
        "valueBy": "work",
        "categories": [
            {
                "name": row.name,
                "aimMs": row.latency_objective_ms,
                "giveUpMs": row.deadline_ms,
                "credit": row.priority_weight,
                "lateWorth": 0.0,
                "effect": EFFECT_NAMES[row.idempotency],
                "keyScope": row.dedup_scope.value,
                "memorySpanMs": row.dedup_window_ms,
            }
            for row in scenario.classes
        ],
        "bounds": {
            "cancel": nodes.cancel,
            "maxAttempts": nodes.max_attempts,
            "maxRetryAfterMs": nodes.max_retry_after_ms,
            "retryAfter": nodes.retry_after,
            "secondCopies": nodes.hedged_requests,
            "connIdleMs": 30000,
            "connectTimeoutMs": 250,
            "mayProbe": True,
        },
        "feedback": {"fields": ["depth"] if scenario.tiers[tier].report.enabled else []},
        "invariants": {
            "coldFrom": rules.warm_up_initial_share,
            "coldMs": rules.warm_up_s * 1000.0,
            "tipAfterMs": rules.overload_window_ms,
            "overloadFactor": rules.overload_factor,
        },
        "prices": {"crossZone": scenario.network.cross_zone_cost},
    }


def listening_socket(port: int = 0) -> socket.socket:
    """A clients' socket that outlives the processes which accept from it."""
    return socket.create_server(("127.0.0.1", port), backlog=1024)


class NodeProcess:
    """One process of `run`."""

    def __init__(
        self,
        name: str,
        folder: Path,
        discovery: Address,
        config: dict[str, Any],
        held: socket.socket | None = None,
        ops: bool = False,
        after: NodeProcess | None = None,
    ) -> None:
        """Start it. `held` is the clients' socket where the platform holds one; `after` the process whose address it
        takes over."""
        self.name, self.inherited_socket = name, held
        self._reserved: socket.socket | None = None
        if held is None:
            self._reserved = reserve_address() if after is None else after._reserved
        self._door = reserve_address() if ops else None
        address = held or self._reserved
        assert address is not None
        self.listen_address: Address = address.getsockname()[:2]
        self.admin_address: Address | None = None if self._door is None else self._door.getsockname()[:2]
        self.folder = folder / name
        (self.folder / "tmp").mkdir(parents=True, exist_ok=True)
        row = {
            "name": name,
            "listen": _text(self.listen_address),
            "discovery": _text(discovery),
            **config,
        }
        if self.admin_address is not None:
            row["ops"] = _text(self.admin_address)
        path = self.folder / "config.json"
        path.write_bytes(msgspec.json.encode(row))
        environ = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
        environ |= {"LB_CONFIG": str(path), "TMPDIR": str(self.folder / "tmp")}
        passed: tuple[int, ...] = ()
        if held is not None:
            environ["LB_INHERITED_FD"] = str(held.fileno())
            passed = (held.fileno(),)
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "rosewheel"],
                env=environ,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=passed,
                preexec_fn=_die_with_parent,
            )

    @property
    def alive(self) -> bool:
        return self.process.poll() is None

    async def wait_healthy(self, need_list: bool = True) -> bool:
        """Whether it says yes within `HEALTHY_S`; without equipos in its list it listens, and that will do."""
        deadline = asyncio.get_running_loop().time() + START_TIMEOUT_S
        while self.alive and asyncio.get_running_loop().time() < deadline:
            status = await check_health(self.listen_address)
            if status == 200 or (status and not need_list):
                return True
            await asyncio.sleep(0.05)
        return False

    def last_log_line(self) -> str:
        """The end of its log."""
        return (self.folder / "log").read_text(errors="replace").strip().rpartition("\n")[2]

    def terminate(self) -> None:
        if self.alive:
            self.process.terminate()

    def kill(self, keep_address: bool = False) -> None:
        if self.alive:
            self.process.kill()
        self.process.wait()
        if self._door is not None:
            self._door.close()
        if self._reserved is not None and not keep_address:
            self._reserved.close()

    async def wait_ended(self, within_s: float) -> bool:
        deadline = asyncio.get_running_loop().time() + within_s
        while self.alive and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(0.02)
        return not self.alive

    def cpu_s(self) -> float:
        """CPU time so far, in seconds; 0 once it has ended."""
        try:
            fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        except OSError:
            return 0.0
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def check_health(address: Address) -> int:
    """The status with which a node answers for its health; 0 where it doesn't within a second."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(b"GET /_health HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                line = await reader.readline()
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return 0
    parts = line.split()
    return int(parts[1]) if len(parts) > 1 and parts[1].isdigit() else 0


def reserve_address() -> socket.socket:
    """A socket that is bound and does not listen. A process that binds the same address with SO_REUSEADDR may, and
    the system gives its port to nobody else meanwhile, not to one of a run's many connections either."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", 0))
    return sock


def _text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
