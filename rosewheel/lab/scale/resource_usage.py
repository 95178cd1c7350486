"""CPU, memory and descriptors of a process (Linux)."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path

_RSS_FIELD = 21  # pages, in /proc/PID/stat behind the command; proc(5)


@dataclass(slots=True, frozen=True)
class ResourceUsage:
    """CPU seconds since the process started, resident memory in MB, and open descriptors."""

    cpu_s: float = 0.0
    rss_mb: float = 0.0
    open_files: float = 0.0


def process_usage(pid: int) -> ResourceUsage:
    """Usage of this process; zeros if it has ended."""
    try:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        pages = int(fields[_RSS_FIELD])
        # Not the CPU ticks of `stat`: at 10 ms they are too coarse for an idle node.
        cpu_ns = sum(
            int(path.read_text().split()[0]) for path in Path(f"/proc/{pid}/task").glob("*/schedstat")
        )
        open_files = len(os.listdir(f"/proc/{pid}/fd"))
    except OSError:
        return ResourceUsage()
    return ResourceUsage(cpu_ns / 1e9, pages * os.sysconf("SC_PAGE_SIZE") / 2**20, float(open_files))
