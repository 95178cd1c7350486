"""The control machines of a scale run: `rosewheel control serve` processes, and the operator beside the writer."""

from __future__ import annotations

import asyncio
import os
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

from rosewheel.control.http_client import HttpCallError, JsonHttpClient
from rosewheel.lab.nodes import reserve
from rosewheel.lab.scale.children import ChildError, die_with_parent
from rosewheel.lab.scale.plan import ControlMachine
from rosewheel.lab.wire import Address, now_ms

UP_S = 20.0  # how long a control machine may take to answer, far more than it needs
PUT_S = 3.0  # a try of a change; a machine that is lost says nothing
PUT_MOST_S = 300.0  # a writer that is lost comes back within the run
AGAIN_S = 0.05


def service_name(number: int) -> str:
    return f"s{number}"


def first(services: int) -> dict[str, Any]:
    """The document that the fleet begins with: what all have in common, and a part for each service."""
    common = {"name": "read", "aim_ms": 1000.0, "give_up_ms": 3000.0, "effect": "safe"}
    own: dict[str, Any] = {}
    for number in range(services):
        classes = [common, {**common, "name": "write", "worth": 3.0 + number, "effect": "unsafe"}]
        own[service_name(number)] = {"class": classes, "routing": {"max_attempts": 2 + number % 4}}
    return {"limits": {"connect_timeout_ms": 200.0}, "class": [common], "services": own}


def change(number: int, service: int) -> dict[str, Any]:
    """The patch of one change, another value each time."""
    return {"services": {service_name(service): {"limits": {"max_open": 1000 + number}}}}


class ControlProcess:
    """One control machine's process; its address and folder stay the same when it comes back."""

    def __init__(self, machine: ControlMachine, folder: Path) -> None:
        self.machine, self.folder = machine, folder / machine.name
        self._socket: socket.socket = reserve()
        self.address: Address = self._socket.getsockname()[:2]
        self.process: subprocess.Popen[bytes] | None = None
        self._arguments: list[str] = []

    def start(self, peers: dict[str, Address], writer: str) -> None:
        """`peers` is where the others are, as seen from here."""
        host, port = self.address
        self._arguments = ["--name", self.machine.name, "--listen", f"{host}:{port}", "--writer", writer]
        self._arguments += ["--dir", str(self.folder / "log.d")]
        for name, (there, at) in peers.items():
            self._arguments += ["--peer", f"{name}={there}:{at}"]
        self.again()

    def again(self) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "rosewheel.cli", "control", "serve", *self._arguments],
                env=dict(os.environ),
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

    def kill(self) -> None:
        if self.process is not None:
            if self.alive:
                self.process.kill()
            self.process.wait()

    def close(self) -> None:
        self.kill()
        self._socket.close()

    def last_words(self) -> str:
        return (self.folder / "log").read_text(errors="replace").strip().rpartition("\n")[2]


class Operator:
    """Whoever makes changes, on the writer's own machine."""

    def __init__(self, writer: ControlProcess) -> None:
        self.writer = writer
        self.client = JsonHttpClient(writer.address)
        self.version = 0

    async def up(self) -> None:
        """Wait until the writer answers; ChildError where it does not."""
        deadline = asyncio.get_running_loop().time() + UP_S
        while not await self.status():
            if not self.writer.alive or asyncio.get_running_loop().time() > deadline:
                raise ChildError(f"the control machine did not start: {self.writer.last_words()}")
            await asyncio.sleep(AGAIN_S)

    async def status(self) -> dict[str, Any]:
        """What the writer knows of the fleet; empty where it does not answer."""
        try:
            status, told = await self.client.call("GET", "/control/status")
        except HttpCallError:
            return {}
        return told if status == 200 and isinstance(told, dict) else {}

    async def put(self, patch: dict[str, Any]) -> dict[str, Any]:
        """Make this change, however often it takes: its version, when the try that made it began, and how long it took
        from the first try until it was acknowledged, in ms. ChildError where it can't be made in `PUT_MOST_S`."""
        asked = now_ms()
        why = ""
        while now_ms() < asked + PUT_MOST_S * 1000.0:
            began = now_ms()
            row = {"patch": patch, "version": self.version, "by": "scale", "note": ""}
            try:
                status, told = await self.client.call("POST", "/control/put", row, timeout_s=PUT_S)
            except HttpCallError as error:
                why = str(error)
            else:
                if status == 200:
                    self.version = told["version"]
                    return {"version": self.version, "at": began, "took": now_ms() - asked}
                why = str(told)
                if status == 409 and "version" in told:
                    self.version = told["version"]
            await asyncio.sleep(AGAIN_S)
        raise ChildError(f"a change could not be made: {why}")

    def close(self) -> None:
        self.client.close()
