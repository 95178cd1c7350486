"""Propagation of changes by phase, from the measurements of a run and the records of its simulated nodes."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

import numpy as np

from rosewheel.lab.scale.measurements import Measurements
from rosewheel.lab.scale.plan import Plan
from rosewheel.lab.scale.propagation import (
    NodeHistory,
    Outage,
    Propagation,
    PublishedChange,
    measure_propagation,
    node_histories,
)
from rosewheel.lab.scale.version_log import SIMULATED_WORKER_PREFIX, RecordKind, record_file_name

ALL_PHASES = "all"


@dataclass(slots=True, frozen=True)
class ChangePropagation:
    """Propagation by the phase in which a change was published, and for `ALL_PHASES`.

    Attributes:
        lists: Receipt of endpoint lists by the nodes of their service.
        config: Application of configurations by all nodes.
        acked: Acknowledgement of configurations by all nodes.
    """

    lists: dict[str, Propagation]
    config: dict[str, Propagation]
    acked: dict[str, Propagation]


def change_propagation(measurements: Measurements, folder: Path) -> ChangePropagation:
    """Measure the propagation of all changes, from the records in this folder."""
    configs = _published_configs(measurements)
    outages = {node: measurements.outages.get(node, []) for node in measurements.plan.simulated_nodes}
    config_outages = {
        node: [*node_outages, *measurements.leader_outages.get(node, ())]
        for node, node_outages in outages.items()
    }
    return ChangePropagation(
        lists=_by_phase(measurements, folder, RecordKind.LISTS, _published_lists(measurements), outages),
        config=_by_phase(measurements, folder, RecordKind.CONFIG, configs, config_outages),
        acked=_by_phase(measurements, folder, RecordKind.ACKED, configs, config_outages),
    )


def _published_lists(measurements: Measurements) -> list[PublishedChange]:
    nodes_by_service = _simulated_nodes_by_service(measurements.plan)
    # Each service counts its versions separately, so a change is measured only at the nodes of its service.
    return [
        PublishedChange(row.version, row.at_ms, nodes_by_service[row.service])
        for row in measurements.lists
        if row.service in nodes_by_service
    ]


def _published_configs(measurements: Measurements) -> list[PublishedChange]:
    nodes = frozenset(measurements.plan.simulated_nodes)
    return [PublishedChange(row.version, row.at_ms, nodes) for row in measurements.configs if nodes]


def _simulated_nodes_by_service(plan: Plan) -> dict[int, frozenset[int]]:
    nodes_by_service: dict[int, set[int]] = {}
    for machine in plan.machines:
        if not machine.real:
            nodes_by_service.setdefault(machine.service, set()).add(machine.number)
    return {service: frozenset(nodes) for service, nodes in nodes_by_service.items()}


def _by_phase(
    measurements: Measurements,
    folder: Path,
    kind: RecordKind,
    published: Sequence[PublishedChange],
    outages: Mapping[int, Sequence[Outage]],
) -> dict[str, Propagation]:
    histories = _load_histories(folder, kind)
    if histories is None:
        return {}
    phases: dict[str, list[PublishedChange]] = {}
    for change in published:
        phases.setdefault(measurements.phase_at(change.at_ms), []).append(change)
    result = {name: measure_propagation(changes, histories, outages) for name, changes in phases.items()}
    in_phase_order = [change for changes in phases.values() for change in changes]
    return {**result, ALL_PHASES: measure_propagation(in_phase_order, histories, outages)}


def _load_histories(folder: Path, kind: RecordKind) -> dict[int, NodeHistory] | None:
    """Return the histories of all simulated nodes; None if there are no records."""
    paths = sorted(folder.glob(record_file_name(f"{SIMULATED_WORKER_PREFIX}*", kind)))
    if not paths:
        return None
    archives = [np.load(path) for path in paths]
    nodes, versions, times_ms = (
        np.concatenate([archive[key] for archive in archives]) for key in ("nodes", "versions", "at")
    )
    return node_histories(nodes, versions, times_ms)
