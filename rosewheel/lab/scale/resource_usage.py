"""CPU time, memory and descriptors of a process (Linux)."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

_RSS_FIELD = 21  # index among the fields of /proc/PID/stat after the command, see proc(5); in pages


@dataclass(slots=True, frozen=True)
class ResourceUsage:
    """Resource usage of a process.

    Attributes:
        cpu_s: CPU time since the process started, in seconds.
        rss_mb: Resident memory, in MB.
        open_files: Number of open descriptors.
    """

    cpu_s: float = 0.0
    rss_mb: float = 0.0
    open_files: float = 0.0


def process_usage(pid: int) -> ResourceUsage:
    """Return the usage of a process, or zeros if it has ended."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        pages = int(fields[_RSS_FIELD])
        # The CPU ticks in `stat` have a resolution of 10 ms, which is too coarse for an idle node.
        cpu_ns = sum(
            int(path.read_text().split()[0]) for path in Path(f"/proc/{pid}/task").glob("*/schedstat")
        )
        open_files = len(os.listdir(f"/proc/{pid}/fd"))
    except OSError:
        return ResourceUsage()
    return ResourceUsage(cpu_ns / 1e9, pages * os.sysconf("SC_PAGE_SIZE") / 2**20, float(open_files))
