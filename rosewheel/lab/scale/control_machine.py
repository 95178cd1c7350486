"""Control machines of a scale run, as processes of `rosewheel control serve`."""

from __future__ import annotations

import os
import socket
from pathlib import Path

from rosewheel.lab.node_process import reserve_address
from rosewheel.lab.scale.daemon import Daemon
from rosewheel.lab.scale.plan import ControlMachine
from rosewheel.lab.wire import Address


class ControlMachineProcess(Daemon):
    """Process of a control machine; its address and folder don't change on a restart."""

    def __init__(self, machine: ControlMachine, folder: Path) -> None:
        super().__init__(folder / machine.name)
        self.machine = machine
        self._reserved: socket.socket = reserve_address()
        self.address: Address = self._reserved.getsockname()[:2]
        self._arguments: list[str] = []

    def start(self, peers: dict[str, Address], leader: str) -> None:
        """Start the process.

        Args:
            peers: Addresses at which this machine reaches the other control machines, by name.
            leader: Name of the leader.
        """
        host, port = self.address
        self._arguments = ["control", "serve", "--name", self.machine.name, "--listen", f"{host}:{port}"]
        self._arguments += ["--writer", leader, "--dir", str(self.folder / "log.d")]
        for name, (peer_host, peer_port) in peers.items():
            self._arguments += ["--peer", f"{name}={peer_host}:{peer_port}"]
        self.restart()

    def restart(self) -> None:
        """Start the process again, with the same arguments."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.launch(self._arguments, dict(os.environ))

    def close(self) -> None:
        """Kill the process and release its address."""
        self.kill()
        self._reserved.close()
