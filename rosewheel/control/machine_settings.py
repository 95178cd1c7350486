"""Settings of one control machine."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from rosewheel.config.address import Address


@dataclass(slots=True, frozen=True)
class MachineSettings:
    """Settings that a control machine is started with.

    Attributes:
        name: Its name, the same on all machines.
        listen: Address for nodes, machines and operators.
        data_dir: Directory of the log.
        peers: Addresses of the other machines by name.
        initial_leader: Leads at first; counts only where the log is empty.
    """

    name: str
    listen: Address
    data_dir: Path
    peers: dict[str, Address]
    initial_leader: str = ""
