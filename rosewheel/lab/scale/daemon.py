"""Processes of the `rosewheel` command, as real nodes and control machines of a scale run."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Mapping
from pathlib import Path

from rosewheel.lab.node_process import kill_with_parent


class Daemon:
    """A restartable `rosewheel` process whose output is appended to the file `log` in its folder."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.process: subprocess.Popen[bytes] | None = None

    def launch(self, arguments: list[str], environment: Mapping[str, str]) -> None:
        """Start `rosewheel` with these arguments."""
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "rosewheel.cli", *arguments],
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=kill_with_parent,
            )

    @property
    def alive(self) -> bool:
        """Whether the process is running."""
        return self.process is not None and self.process.poll() is None

    @property
    def pid(self) -> int:
        """The process id; 0 while the process is not running."""
        return self.process.pid if self.process is not None and self.alive else 0

    def kill(self) -> None:
        """Kill the process and wait until it has ended."""
        if self.process is not None:
            if self.alive:
                self.process.kill()
            self.process.wait()

    def last_log_line(self) -> str:
        """Return the last line of the log, usually the reason why the process ended."""
        return (self.folder / "log").read_text(errors="replace").strip().rpartition("\n")[2]
