"""A control machine returns with an old copy of its folder, after another one was away."""

from __future__ import annotations

import asyncio
import json
import shutil
import signal
from typing import Any

from stand2.programs import ROOT, Program, Stage, free_port
from stand2.runner import NotRunError, run, trouble

NAMES = ("c1", "c2", "c3", "c4")
COMMAND = ROOT / ".venv-dev" / "bin" / "rosewheel"
SETTLE_S = 8.0


class Machines:
    """Four control machines, of which c1 is the first leader."""

    def __init__(self, stage: Stage) -> None:
        self.stage = stage
        self.ports = {name: free_port() for name in NAMES}
        self.programs: dict[str, Program] = {}

    async def start(self, name: str) -> None:
        """Start a machine as its page says, in its own folder."""
        command = [str(COMMAND), "control", "serve", "--name", name, "--writer", "c1"]
        command += ["--listen", f"127.0.0.1:{self.ports[name]}", "--dir", str(self.stage.folder / name)]
        for peer, port in self.ports.items():
            command += ["--peer", f"{peer}=127.0.0.1:{port}"]
        self.programs[name] = await self.stage.start(name, command, {})

    async def kill(self, name: str) -> None:
        """Kill a machine outright."""
        self.stage.note(f"SIGKILL to {name}")
        self.programs[name].send(signal.SIGKILL)
        await self.programs[name].process.wait()

    async def call(self, name: str, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        """Call a machine; return the status and the answer, or 0 if there is none."""
        data = b"" if body is None else json.dumps(body).encode()
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: {len(data)}\r\n\r\n"
        )
        try:
            async with asyncio.timeout(8.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.ports[name])
                writer.write(head.encode() + data)
                answer = await reader.read()
                writer.close()
            head_bytes, _, content = answer.partition(b"\r\n\r\n")
            return int(head_bytes.split(b" ")[1]), json.loads(content)
        except (OSError, TimeoutError, ValueError, IndexError) as error:
            return 0, repr(error)

    async def put(self, note: str, version: int, max_open: int) -> bool:
        """Ask the leader for a change; return whether it was accepted."""
        patch = {"services": {"fotos": {"limits": {"max_open": max_open}}}}
        row = {"patch": patch, "version": version, "by": "review", "note": note}
        status, answer = await self.call("c1", "POST", "/control/put", row)
        self.stage.note(f"put {note} on version {version}: {status} {answer}")
        return status == 200

    async def accept(self, note: str, version: int, max_open: int) -> None:
        """Ask for a change until it is accepted."""
        for _ in range(20):
            if await self.put(note, version, max_open):
                return
            await asyncio.sleep(0.5)
        raise NotRunError(f"{note} was not accepted")

    async def notes(self, name: str) -> list[str]:
        """Return the notes of all versions in a machine's history, oldest first."""
        status, answer = await self.call(name, "GET", "/control/history?most=100")
        if status != 200:
            raise NotRunError(f"{name}: no history: {answer}")
        return [row["note"] for row in reversed(answer["versions"])]


async def play(stage: Stage) -> bool:
    """Play the case; return whether an accepted change is missing, or the machines differ."""
    if not COMMAND.exists():
        raise NotRunError("the command line was not built")
    machines = Machines(stage)
    for name in NAMES:
        await machines.start(name)
    accepted = ["first", "second", "third"]
    await machines.accept("first", 0, 1001)
    await machines.accept("second", 1, 1002)
    await asyncio.sleep(2.0)
    await machines.kill("c4")
    shutil.copytree(stage.folder / "c1", stage.folder / "copy")
    await machines.accept("third", 2, 1003)
    await asyncio.sleep(2.0)
    await machines.kill("c1")
    if trouble():
        stage.note("c1 returns with the copy of its folder from before the third change")
        shutil.rmtree(stage.folder / "c1")
        shutil.move(stage.folder / "copy", stage.folder / "c1")
    await machines.start("c1")
    await machines.start("c4")
    await asyncio.sleep(3.0)
    status, answer = await machines.call("c1", "GET", "/control/status")
    stage.note(f"status of c1: {status} {answer}")
    version = len(await machines.notes("c1"))
    if await machines.put("fourth", version, 1004):
        accepted.append("fourth")
    await asyncio.sleep(SETTLE_S)
    broken = False
    for name in NAMES:
        notes = await machines.notes(name)
        _, config = await machines.call(name, "GET", "/control/config")
        missing = [note for note in accepted if notes.count(note) != 1]
        stage.note(f"{name}: {notes}, missing {missing}, {config}")
        broken = broken or bool(missing)
    return broken


run(__file__, play)
