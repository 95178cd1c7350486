"""Runs a control machine that kills its own process with SIGKILL while it appends the nth record to its log.

    python control_child.py NAME LISTEN DIRECTORY PEER=ADDRESS POINT NTH

POINT says when: `before` the write, `half` (after half of the bytes), `written` (before the sync), `synced` (before the
acknowledgement), or `never`.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

from rosewheel.config.address import parse_address
from rosewheel.control.durable_log import DurableLog
from rosewheel.control.machine import ControlMachine
from rosewheel.control.machine_settings import MachineSettings


class SelfKillingLog(DurableLog):
    """A log that kills its process at `point` of the nth append."""

    def __init__(self, directory: Path, point: str, nth: int) -> None:
        self.point, self.records_left = point, nth
        super().__init__(directory)

    def _kill_at(self, point: str) -> None:
        if self.records_left <= 0 and point == self.point:
            os.kill(os.getpid(), signal.SIGKILL)

    def _write(self, data: bytes) -> None:
        self.records_left -= 1
        self._kill_at("before")
        if self.records_left <= 0 and self.point == "half":
            super()._write(data[: len(data) // 2])
            self._kill_at("half")
        super()._write(data)
        self._kill_at("written")

    def _sync(self) -> None:
        super()._sync()
        self._kill_at("synced")


async def main(name: str, listen: str, directory: str, peer: str, point: str, nth: str) -> None:
    peer_name, _, address = peer.partition("=")
    peers = {peer_name: parse_address(address)}
    settings = MachineSettings(name, parse_address(listen), Path(directory), peers, "c1")
    machine = ControlMachine(settings, SelfKillingLog(settings.data_dir, point, int(nth)))
    await machine.start()
    print("ready", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
