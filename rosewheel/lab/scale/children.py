"""Processes of a scale run: told in JSON lines on their standard input, and ended when that ends."""

from __future__ import annotations

import asyncio
import ctypes
import os
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec
import uvloop

ANSWER_S = 30.0  # how long a child may take to answer; far more than it needs on a busy machine
END_S = 3.0  # until a child that was told to end is killed
LIMIT = 32 << 20  # bytes of one answer
_PR_SET_PDEATHSIG = 1


class ChildError(Exception):
    """A process of the run did not do its part."""


def die_with_parent() -> None:
    """In a child, before it becomes a program that does not read its standard input (Linux)."""
    ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class Child:
    """One process: `ask` sends an object and gives its answer, `tell` only sends."""

    def __init__(self, name: str, process: asyncio.subprocess.Process, log: Path) -> None:
        self.name, self.process, self.log = name, process, log
        self._lock = asyncio.Lock()

    @classmethod
    async def start(cls, name: str, folder: Path, *arguments: str) -> Child:
        """`python -m ARGUMENTS`, its standard error in a file of the folder."""
        log = folder / f"{name}.log"
        with log.open("ab") as errors:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *arguments,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=errors,
                limit=LIMIT,
                preexec_fn=die_with_parent,
            )
        return cls(name, process, log)

    @property
    def pid(self) -> int:
        return self.process.pid

    def tell(self, row: dict[str, Any]) -> None:
        assert self.process.stdin is not None
        if not self.process.stdin.is_closing():
            self.process.stdin.write(msgspec.json.encode(row) + b"\n")

    async def heard(self) -> dict[str, Any]:
        """Its next line; ChildError where there is none."""
        assert self.process.stdout is not None
        try:
            async with asyncio.timeout(ANSWER_S):
                line = await self.process.stdout.readline()
            return msgspec.json.decode(line, type=dict[str, Any])
        except (TimeoutError, ValueError) as error:
            words = self.log.read_text(errors="replace").strip().rpartition("\n")[2]
            raise ChildError(f"{self.name} did not answer: {words or type(error).__name__}") from error

    async def ask(self, row: dict[str, Any]) -> dict[str, Any]:
        async with self._lock:
            self.tell(row)
            return await self.heard()

    async def end(self) -> None:
        """Close its standard input, and kill it where it is still there after `END_S`."""
        assert self.process.stdin is not None
        self.process.stdin.close()
        try:
            async with asyncio.timeout(END_S):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()


Handle = Callable[[dict[str, Any]], dict[str, Any] | None]


async def serve(handle: Handle, begin: Callable[[], Awaitable[dict[str, Any]]]) -> None:
    """A child's life: say once what `begin` gives, then answer each line, until the lines end."""
    loop = asyncio.get_running_loop()
    told = asyncio.StreamReader(limit=LIMIT)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(told), sys.stdin)
    _say(await begin())
    while line := await told.readline():
        answer = handle(msgspec.json.decode(line))
        if answer is not None:
            _say(answer)


def _say(row: dict[str, Any]) -> None:
    sys.stdout.buffer.write(msgspec.json.encode(row) + b"\n")
    sys.stdout.buffer.flush()


def run(
    main: Callable[[dict[str, Any]], Awaitable[None]],
    loop: Callable[[], asyncio.AbstractEventLoop] = uvloop.new_event_loop,
) -> None:
    """A child's entry: its one argument is the path of a JSON object."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # reaches the whole group; the parent ends the run in order
    given = msgspec.json.decode(Path(sys.argv[1]).read_bytes())

    async def told() -> None:
        await main(given)

    with asyncio.Runner(loop_factory=loop) as runner:
        runner.run(told())


# ------------------------------------------------------------------- figures


def usage(pid: int) -> dict[str, float]:
    """CPU seconds so far, resident MB and open descriptors of a process; zeros once it has ended (Linux)."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        pages = int(fields[21])
        # Not the ticks of `stat`: 10 ms are too coarse for what a node does at rest.
        spent = sum(
            int(path.read_text().split()[0]) for path in Path(f"/proc/{pid}/task").glob("*/schedstat")
        )
        files = len(os.listdir(f"/proc/{pid}/fd"))
    except OSError:
        return {"cpu_s": 0.0, "rss_mb": 0.0, "files": 0.0}
    return {
        "cpu_s": spent / 1e9,
        "rss_mb": pages * os.sysconf("SC_PAGE_SIZE") / 2**20,
        "files": float(files),
    }
