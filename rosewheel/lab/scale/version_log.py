"""When which node had which version: recorded in memory by simulated nodes, written to files at the end of a run."""

from __future__ import annotations

from array import array
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path

import numpy as np

from rosewheel.lab.wire import now_ms

SIMULATED_WORKER_PREFIX = "hollow-"  # of workers' names, and so of their records' file names
NO_VERSIONS = (np.zeros(0, np.int32), np.zeros(0, np.int32), np.zeros(0))


class RecordKind(StrEnum):
    """What is recorded. The values stand in file names and reports."""

    LISTS = "lists"  # endpoint lists received
    CONFIG = "config"  # configurations applied
    ACKED = "acked"  # configurations whose acknowledgement was answered


class VersionLog:
    """Node, version and moment of each record."""

    def __init__(self) -> None:
        self.nodes, self.versions, self.times_ms = array("i"), array("i"), array("d")

    def __len__(self) -> int:
        return len(self.nodes)

    def add(self, node: int, version: int) -> None:
        """Record that the node has this version now."""
        self.nodes.append(node)
        self.versions.append(version)
        self.times_ms.append(now_ms())

    def save(self, path: Path) -> None:
        """Write a numpy archive with the arrays `nodes`, `versions` and `at` (ms)."""
        nodes, versions, times_ms = NO_VERSIONS
        if self.nodes:
            nodes = np.frombuffer(self.nodes, dtype=np.int32)
            versions = np.frombuffer(self.versions, dtype=np.int32)
            times_ms = np.frombuffer(self.times_ms, dtype=np.float64)
        np.savez(path, nodes=nodes, versions=versions, at=times_ms)


@dataclass(slots=True, frozen=True)
class NodeRecords:
    """The logs of one worker's nodes."""

    lists: VersionLog = field(default_factory=VersionLog)
    config: VersionLog = field(default_factory=VersionLog)
    acked: VersionLog = field(default_factory=VersionLog)

    def save(self, folder: Path, worker: str) -> list[int]:
        """Write one file per kind; the number of records in each."""
        counts = []
        for kind, log in (
            (RecordKind.LISTS, self.lists),
            (RecordKind.CONFIG, self.config),
            (RecordKind.ACKED, self.acked),
        ):
            log.save(folder / record_file_name(worker, kind))
            counts.append(len(log))
        return counts


def record_file_name(worker: str, kind: RecordKind) -> str:
    """Name of the file with a worker's records; a worker of `*` gives the pattern for all workers."""
    return f"{worker}-{kind}.npz"
