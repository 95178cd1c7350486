"""Settings of one control machine."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from rosewheel.config.address import Address


@dataclass(slots=True, frozen=True)
class MachineSettings:
    """Startup settings of a control machine.

    Attributes:
        name: Name of the machine, by which all other machines know it.
        listen: Address to listen on, for nodes, machines and operators.
        data_dir: Directory of the log.
        peers: Addresses of the other machines, by name.
        initial_leader: Leader of the first epoch; ignored unless the log is empty.
    """

    name: str
    listen: Address
    data_dir: Path
    peers: dict[str, Address]
    initial_leader: str = ""
