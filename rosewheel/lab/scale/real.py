"""Real nodes of a scale run: `rosewheel node` by a TOML file, as operators start it."""

from __future__ import annotations

import asyncio
import os
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

from rosewheel.control.http_client import HttpCallError, JsonHttpClient
from rosewheel.lab.nodes import health, reserve
from rosewheel.lab.scale.children import die_with_parent
from rosewheel.lab.scale.plan import Machine
from rosewheel.lab.wire import Address

HEALTHY_S = 30.0
ASK_S = 2.0
STOP_S = 8.0  # a node that was told to stop answers what it has taken first

CONFIG = """[node]
name = "{name}"
listen = "{listen}"
ops = "{ops}"
state_dir = "{state}"

[discovery]
address = "{discovery}"

[limits]
memory_mb = 256
connection_idle_ms = 30000

[control]
machines = [{control}]
service = "{service}"

[routing]
zone = "z{zone}"
siblings = {siblings}

[[class]]
name = "read"
aim_ms = 1000
give_up_ms = 3000
effect = "safe"
"""


class RealNode:
    """One node's process; its addresses stay the same over restarts."""

    def __init__(
        self,
        machine: Machine,
        folder: Path,
        discovery: Address,
        control: dict[str, Address],
        service: str,
        siblings: int,
    ) -> None:
        """`control` is where the control machines are, as seen from here."""
        self.machine, self.folder = machine, folder / machine.name
        self.folder.mkdir(parents=True, exist_ok=True)
        self._sockets: list[socket.socket] = [reserve(), reserve()]
        self.listen: Address = self._sockets[0].getsockname()[:2]
        self.ops: Address = self._sockets[1].getsockname()[:2]
        self.process: subprocess.Popen[bytes] | None = None
        self.cpu_before_s = 0.0  # of processes that have ended
        self.path = self.folder / "node.toml"
        self.path.write_text(
            CONFIG.format(
                name=machine.name,
                listen=_text(self.listen),
                ops=_text(self.ops),
                state=self.folder,
                discovery=_text(discovery),
                zone=machine.zone,
                siblings=siblings,
                control=", ".join(f'"{name}={_text(address)}"' for name, address in control.items()),
                service=service,
            )
        )

    def start(self) -> None:
        environ = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "rosewheel.cli", "node", "--config", str(self.path)],
                env=environ,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=die_with_parent,
            )

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.poll() is None

    @property
    def pid(self) -> int:
        return self.process.pid if self.process is not None and self.alive else 0

    async def healthy(self) -> bool:
        """Whether it says within `HEALTHY_S` that it serves."""
        deadline = asyncio.get_running_loop().time() + HEALTHY_S
        while self.alive and asyncio.get_running_loop().time() < deadline:
            if await health(self.listen) == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    def last_words(self) -> str:
        return (self.folder / "log").read_text(errors="replace").strip().rpartition("\n")[2]

    def kill(self) -> None:
        """Its machine is lost."""
        if self.process is not None:
            if self.alive:
                self.process.kill()
            self.process.wait()

    async def restart(self) -> None:
        """Stop in order, then begin anew."""
        await self.stop()
        self.start()

    async def stop(self) -> None:
        if self.process is None:
            return
        if self.alive:
            self.process.terminate()
        deadline = asyncio.get_running_loop().time() + STOP_S
        while self.alive and asyncio.get_running_loop().time() < deadline:
            await asyncio.sleep(0.05)
        self.kill()

    def close(self) -> None:
        self.kill()
        for sock in self._sockets:
            sock.close()

    async def stats(self) -> dict[str, Any]:
        """What its operators' door tells; empty where it does not."""
        client = JsonHttpClient(self.ops)
        try:
            status, told = await client.call("GET", "/admin/stats")
        except HttpCallError:
            return {}
        finally:
            client.close()
        return told if status == 200 and isinstance(told, dict) else {}


def _text(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
