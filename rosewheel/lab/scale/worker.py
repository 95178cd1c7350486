"""Worker processes of a scale run, which read JSON commands from standard input and end when it is closed."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import TypeVar

import msgspec
import uvloop

from rosewheel.lab.node_process import kill_with_parent
from rosewheel.lab.scale.errors import ProcessError

REPLY_TIMEOUT_S = 30.0  # long enough for a busy machine
STOP_TIMEOUT_S = 3.0  # time a worker has to end after its standard input was closed
MAX_LINE_BYTES = 32 << 20

Reply = TypeVar("Reply")
Setup = TypeVar("Setup")
CommandUnion = TypeVar("CommandUnion")


class WorkerProcess:
    """A worker as seen by the run, which sends it commands and receives its replies."""

    def __init__(self, name: str, process: asyncio.subprocess.Process, log: Path) -> None:
        assert process.stdin is not None  # `start` opens both as pipes
        assert process.stdout is not None
        self.name, self.process, self.log = name, process, log
        self._stdin, self._stdout = process.stdin, process.stdout
        self._lock = asyncio.Lock()

    @classmethod
    async def start(cls, name: str, folder: Path, module: str, *arguments: str) -> WorkerProcess:
        """Start `python -m MODULE ARGUMENTS`; its standard error is appended to `NAME.log` in the folder."""
        log = folder / f"{name}.log"
        with log.open("ab") as errors:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                module,
                *arguments,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=errors,
                limit=MAX_LINE_BYTES,
                preexec_fn=kill_with_parent,
            )
        return cls(name, process, log)

    @property
    def pid(self) -> int:
        """The process id."""
        return self.process.pid

    def send(self, command: msgspec.Struct) -> None:
        """Send a command that has no reply."""
        if not self._stdin.is_closing():
            self._stdin.write(msgspec.json.encode(command) + b"\n")

    async def receive(self, reply_type: type[Reply]) -> Reply:
        """Return the next line from the worker.

        Raises:
            ProcessError: The worker ended, did not reply in time or wrote an invalid line.
        """
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                line = await self._stdout.readline()
            return msgspec.json.decode(line, type=reply_type)
        except (TimeoutError, ValueError) as error:
            last_line = self.log.read_text(errors="replace").strip().rpartition("\n")[2]
            raise ProcessError(
                f"no valid reply from {self.name}: {last_line or type(error).__name__}"
            ) from error

    async def request(self, command: msgspec.Struct, reply_type: type[Reply]) -> Reply:
        """Send a command and return its reply; raises ProcessError as `receive` does."""
        async with self._lock:
            self.send(command)
            return await self.receive(reply_type)

    async def stop(self) -> None:
        """Close standard input; kill the process if it has not ended after `STOP_TIMEOUT_S`."""
        self._stdin.close()
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()


# ------------------------------------------------------------- in the worker process


async def serve_commands(
    decoder: msgspec.json.Decoder[CommandUnion],
    handle: Callable[[CommandUnion], msgspec.Struct | None],
    start: Callable[[], Awaitable[msgspec.Struct]],
) -> None:
    """Write the message returned by `start`, then handle commands until standard input ends."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    _write_line(await start())
    while line := await reader.readline():
        reply = handle(decoder.decode(line))
        if reply is not None:
            _write_line(reply)


def _write_line(message: msgspec.Struct) -> None:
    sys.stdout.buffer.write(msgspec.json.encode(message) + b"\n")
    sys.stdout.buffer.flush()


def run_worker(
    main: Callable[[Setup], Awaitable[None]],
    setup_type: type[Setup],
    loop_factory: Callable[[], asyncio.AbstractEventLoop] = uvloop.new_event_loop,
) -> None:
    """Entry point of a worker, whose only argument is the path of its JSON setup file."""
    # Ctrl+C is sent to the whole process group; the parent handles it and stops the workers.
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    setup = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=setup_type)

    async def run() -> None:
        """Wrap `main`, which may return any awaitable, in a coroutine."""
        await main(setup)

    with asyncio.Runner(loop_factory=loop_factory) as runner:
        runner.run(run())
