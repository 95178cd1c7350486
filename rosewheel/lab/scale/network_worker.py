"""Worker process of the simulated network: `python -m rosewheel.lab.scale.network_worker SETUP.json`."""

from __future__ import annotations

import asyncio
import contextlib

import msgspec

from rosewheel.lab.scale.messages import (
    LoseMachines,
    NetworkCommand,
    NetworkReady,
    NetworkSetup,
    NetworkStatistics,
    ReadStatistics,
    RestoreMachines,
    SetPartition,
)
from rosewheel.lab.scale.network import Network
from rosewheel.lab.scale.worker import run_worker, serve_commands


async def main(setup: NetworkSetup) -> None:
    """Relay connections until standard input ends."""
    network = Network(setup.regions, setup.machines, setup.far_s)

    async def start() -> NetworkReady:
        """Open the listeners."""
        return NetworkReady([await network.listen(listener) for listener in setup.listeners])

    def handle(command: NetworkCommand) -> NetworkStatistics | None:
        """Carry out a command."""
        match command:
            case LoseMachines(names=names):
                network.lose_machines(names)
            case RestoreMachines(names=names):
                network.restore_machines(names)
            case SetPartition(partitioned=partitioned):
                network.set_partition(partitioned)
            case ReadStatistics():
                return network.statistics()
        return None

    decoder: msgspec.json.Decoder[NetworkCommand] = msgspec.json.Decoder(NetworkCommand)
    with contextlib.suppress(asyncio.CancelledError):
        await serve_commands(decoder, handle, start)
    network.close()


if __name__ == "__main__":
    run_worker(main, NetworkSetup)
