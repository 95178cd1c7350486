"""The operator of a scale run: publishes configurations through the leader and reads the status of the fleet."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec

from rosewheel.control.documents import Document
from rosewheel.control.errors import HttpCallError
from rosewheel.control.http_client import JsonHttpClient
from rosewheel.lab.scale.control_machine import ControlMachineProcess
from rosewheel.lab.scale.errors import ProcessError
from rosewheel.lab.scale.measurements import PublishedConfig
from rosewheel.lab.wire import now_ms

START_TIMEOUT_S = 20.0
PUBLISH_ATTEMPT_TIMEOUT_S = 3.0  # a lost machine does not answer
PUBLISH_TIMEOUT_S = 300.0  # longer than any outage of the leader
RETRY_S = 0.05
HTTP_OK, HTTP_CONFLICT = 200, 409


class ControlStatus(msgspec.Struct, frozen=True, rename={"nodes_current": "in_force"}):
    """Part of the leader's status.

    Attributes:
        nodes_current: Number of nodes that have acknowledged the current version.
    """

    nodes_current: int = 0


def service_name(number: int) -> str:
    """Return the name of a service."""
    return f"s{number}"


def initial_document(services: int) -> Document:
    """Return the first configuration, with a part common to all nodes and a part for each service."""
    read = {"name": "read", "aim_ms": 1000.0, "give_up_ms": 3000.0, "effect": "safe"}
    services_part: Document = {}
    for number in range(services):
        write = {**read, "name": "write", "worth": 3.0 + number, "effect": "unsafe"}
        services_part[service_name(number)] = {
            "class": [read, write],
            "routing": {"max_attempts": 2 + number % 4},
        }
    return {"limits": {"connect_timeout_ms": 200.0}, "class": [read], "services": services_part}


def change_patch(number: int, service: int) -> Document:
    """Return the patch of a change to a service, whose value depends on the number."""
    return {"services": {service_name(service): {"limits": {"max_open": 1000 + number}}}}


class Operator:
    """Client of the leader that connects directly, not through the simulated network."""

    def __init__(self, leader: ControlMachineProcess) -> None:
        self.leader = leader
        self.client = JsonHttpClient(leader.address)
        self.version = 0

    async def wait_until_up(self) -> None:
        """Wait until the leader answers.

        Raises:
            ProcessError: The leader ended or did not answer within `START_TIMEOUT_S`.
        """
        deadline_s = asyncio.get_running_loop().time() + START_TIMEOUT_S
        while await self.status() is None:
            if not self.leader.alive or asyncio.get_running_loop().time() > deadline_s:
                raise ProcessError(
                    f"control machine {self.leader.machine.name} did not start: {self.leader.last_log_line()}"
                )
            await asyncio.sleep(RETRY_S)

    async def status(self) -> ControlStatus | None:
        """Return the leader's status of the fleet; None if it could not be read."""
        try:
            status, body = await self.client.call("GET", "/control/status")
        except HttpCallError:
            return None
        if status != HTTP_OK or not isinstance(body, dict) or not body:
            return None
        return msgspec.convert(body, ControlStatus)

    async def publish(self, patch: Document) -> PublishedConfig:
        """Publish a change, with new attempts until the leader accepts it.

        Raises:
            ProcessError: The change was not accepted within `PUBLISH_TIMEOUT_S`.
        """
        first_attempt_ms = now_ms()
        reason = ""
        while now_ms() < first_attempt_ms + PUBLISH_TIMEOUT_S * 1000.0:
            attempt_ms = now_ms()
            try:
                status, body = await self._put(patch)
            except HttpCallError as error:
                reason = str(error)
            else:
                if status == HTTP_OK:
                    self.version = body["version"]
                    return PublishedConfig(self.version, attempt_ms, now_ms() - first_attempt_ms)
                reason = str(body)
                if status == HTTP_CONFLICT and "version" in body:
                    self.version = body["version"]
            await asyncio.sleep(RETRY_S)
        raise ProcessError(f"change not accepted within {PUBLISH_TIMEOUT_S:g} s: {reason}")

    async def _put(self, patch: Document) -> tuple[int, Any]:
        row = {"patch": patch, "version": self.version, "by": "scale", "note": ""}
        return await self.client.call("POST", "/control/put", row, timeout_s=PUBLISH_ATTEMPT_TIMEOUT_S)

    def close(self) -> None:
        """Close the connection to the leader."""
        self.client.close()
