"""Records of the versions that simulated nodes receive, kept in memory and written to files at the end of a run."""

from __future__ import annotations

from array import array
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path

import numpy as np

from rosewheel.lab.wire import now_ms

SIMULATED_WORKER_PREFIX = "hollow-"  # prefix of names of workers and of their record files
NO_VERSIONS = (np.zeros(0, np.int32), np.zeros(0, np.int32), np.zeros(0))


class RecordKind(StrEnum):
    """Kind of record. The values are parts of file names and keys of reports."""

    LISTS = "lists"  # endpoint lists received
    CONFIG = "config"  # configurations applied
    ACKED = "acked"  # configurations whose acknowledgement a control machine has received


class VersionLog:
    """Log of versions, with the node and the time of each record."""

    def __init__(self) -> None:
        self.nodes, self.versions, self.times_ms = array("i"), array("i"), array("d")

    def __len__(self) -> int:
        return len(self.nodes)

    def add(self, node: int, version: int) -> None:
        """Record that a node has a version from now on."""
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
    """The logs of all nodes of one worker, by kind."""

    lists: VersionLog = field(default_factory=VersionLog)
    config: VersionLog = field(default_factory=VersionLog)
    acked: VersionLog = field(default_factory=VersionLog)

    def save(self, folder: Path, worker: str) -> list[int]:
        """Write one file per kind and return the number of records in each."""
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
    """Return the name of a record file; the worker may be a pattern, such as `*`."""
    return f"{worker}-{kind}.npz"
