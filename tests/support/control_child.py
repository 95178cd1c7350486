"""A control machine as a process of its own that ends itself, as by `kill -9`, at one point of its nth record:

    python control_child.py NAME LISTEN FOLDER PEER=ADDRESS POINT NTH

POINT is `before` the write, `half` way through it, `written` but not synced, `synced` but not told, or `never`.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from pathlib import Path

from rosewheel.config.platform import parse_address
from rosewheel.control.durable_log import DurableLog
from rosewheel.control.machine import ControlMachine, MachineSettings


class FaultyLog(DurableLog):
    def __init__(self, folder: Path, point: str, nth: int) -> None:
        self.point, self.left = point, nth
        super().__init__(folder)

    def _end(self, point: str) -> None:
        if self.left <= 0 and point == self.point:
            os.kill(os.getpid(), signal.SIGKILL)

    def _write(self, data: bytes) -> None:
        self.left -= 1
        self._end("before")
        if self.left <= 0 and self.point == "half":
            super()._write(data[: len(data) // 2])
            self._end("half")
        super()._write(data)
        self._end("written")

    def _sync(self) -> None:
        super()._sync()
        self._end("synced")


async def main(name: str, listen: str, folder: str, peer: str, point: str, nth: str) -> None:
    other, _, address = peer.partition("=")
    setup = MachineSettings(name, parse_address(listen), Path(folder), {other: parse_address(address)}, "c1")
    service = ControlMachine(setup, FaultyLog(setup.data_dir, point, int(nth)))
    await service.start()
    print("ready", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
