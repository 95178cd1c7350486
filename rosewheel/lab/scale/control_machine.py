"""The control machines of a scale run: processes of `rosewheel control serve`."""

from __future__ import annotations

import os
import socket
from pathlib import Path

from rosewheel.lab.node_process import reserve_address
from rosewheel.lab.scale.daemon import Daemon
from rosewheel.lab.scale.plan import ControlMachine
from rosewheel.lab.wire import Address


class ControlMachineProcess(Daemon):
    """One control machine's process; its address and folder stay the same over restarts."""

    def __init__(self, machine: ControlMachine, folder: Path) -> None:
        super().__init__(folder / machine.name)
        self.machine = machine
        self._reserved: socket.socket = reserve_address()
        self.address: Address = self._reserved.getsockname()[:2]
        self._arguments: list[str] = []

    def start(self, peers: dict[str, Address], leader: str) -> None:
        """Start the process; `peers` are the addresses of the other machines as seen from this one."""
        host, port = self.address
        self._arguments = ["control", "serve", "--name", self.machine.name, "--listen", f"{host}:{port}"]
        self._arguments += ["--writer", leader, "--dir", str(self.folder / "log.d")]
        for name, (peer_host, peer_port) in peers.items():
            self._arguments += ["--peer", f"{name}={peer_host}:{peer_port}"]
        self.restart()

    def restart(self) -> None:
        """Start the process again, as it was started before."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.launch(self._arguments, dict(os.environ))

    def close(self) -> None:
        """End the process and release its address."""
        self.kill()
        self._reserved.close()
