"""Real nodes of a scale run, as processes of `rosewheel node` with a TOML file."""

from __future__ import annotations

import asyncio
import os
import socket
from dataclasses import dataclass
from pathlib import Path

from rosewheel.control.errors import HttpCallError
from rosewheel.control.http_client import JsonHttpClient
from rosewheel.lab.node_process import check_health, reserve_address
from rosewheel.lab.scale.daemon import Daemon
from rosewheel.lab.scale.plan import Machine, zone_name
from rosewheel.lab.wire import Address

HEALTHY_TIMEOUT_S = 30.0
HEALTH_CHECK_INTERVAL_S = 0.1
DRAIN_TIMEOUT_S = 8.0  # time a node has to complete its requests before it is killed
DRAIN_CHECK_INTERVAL_S = 0.05
HTTP_OK = 200

CONFIG = """[node]
name = "{name}"
listen = "{listen}"
ops = "{ops}"
state_dir = "{state}"

[discovery]
address = "{discovery}"

[limits]
memory_mb = 256
connection_idle_ms = 30000

[control]
machines = [{control}]
service = "{service}"

[routing]
zone = "{zone}"
siblings = {siblings}

[[class]]
name = "read"
aim_ms = 1000
give_up_ms = 3000
effect = "safe"
"""


@dataclass(slots=True, frozen=True)
class RealNodeSetup:
    """Setup of a real node.

    Attributes:
        machine: The machine of the node.
        discovery: Address at which the node reaches discovery.
        control_machines: Addresses at which the node reaches the control machines, by name.
        service: Name of the service.
        balancer_count: Number of nodes of the service.
    """

    machine: Machine
    discovery: Address
    control_machines: dict[str, Address]
    service: str
    balancer_count: int


class RealNode(Daemon):
    """Process of a real node; its addresses don't change on a restart."""

    def __init__(self, setup: RealNodeSetup, folder: Path) -> None:
        super().__init__(folder / setup.machine.name)
        self.machine = setup.machine
        self.folder.mkdir(parents=True, exist_ok=True)
        self._reserved: list[socket.socket] = [reserve_address(), reserve_address()]
        self.listen: Address = self._reserved[0].getsockname()[:2]
        self.admin: Address = self._reserved[1].getsockname()[:2]
        self.config_path = self.folder / "node.toml"
        self.config_path.write_text(self._config(setup))

    def _config(self, setup: RealNodeSetup) -> str:
        machines = (f'"{name}={_host_and_port(address)}"' for name, address in setup.control_machines.items())
        return CONFIG.format(
            name=setup.machine.name,
            listen=_host_and_port(self.listen),
            ops=_host_and_port(self.admin),
            state=self.folder,
            discovery=_host_and_port(setup.discovery),
            zone=zone_name(setup.machine.zone),
            siblings=setup.balancer_count,
            control=", ".join(machines),
            service=setup.service,
        )

    def start(self) -> None:
        """Start the process, without the `LB_` variables of this environment."""
        environment = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
        self.launch(["node", "--config", str(self.config_path)], environment)

    async def wait_until_healthy(self) -> bool:
        """Wait until the node reports that it is healthy; return whether it does within `HEALTHY_TIMEOUT_S`."""
        deadline_s = asyncio.get_running_loop().time() + HEALTHY_TIMEOUT_S
        while self.alive and asyncio.get_running_loop().time() < deadline_s:
            if await check_health(self.listen) == HTTP_OK:
                return True
            await asyncio.sleep(HEALTH_CHECK_INTERVAL_S)
        return False

    async def restart(self) -> None:
        """Stop the process with a drain, then start it again."""
        await self.stop()
        self.start()

    async def stop(self) -> None:
        """Terminate the process; kill it if it has not ended after `DRAIN_TIMEOUT_S`."""
        if self.process is None:
            return
        if self.alive:
            self.process.terminate()
        deadline_s = asyncio.get_running_loop().time() + DRAIN_TIMEOUT_S
        while self.alive and asyncio.get_running_loop().time() < deadline_s:
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
        self.kill()

    def close(self) -> None:
        """Kill the process and release its addresses."""
        self.kill()
        for reserved in self._reserved:
            reserved.close()

    async def endpoint_count(self) -> int | None:
        """Return the number of endpoints that the node may use, from its admin API; None if it could not be read."""
        client = JsonHttpClient(self.admin)
        try:
            status, body = await client.call("GET", "/admin/stats")
        except HttpCallError:
            return None
        finally:
            client.close()
        if status != HTTP_OK or not isinstance(body, dict):
            return None
        count: int | None = body.get("pool_size")
        return count


def _host_and_port(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
