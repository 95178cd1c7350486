"""Acknowledgements of a node to the control machine that it watches."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from rosewheel.config.address import Address
from rosewheel.control.codec.paths import ACKNOWLEDGE_PATH
from rosewheel.control.codec.watch import encode_acknowledgements
from rosewheel.control.errors import HttpCallError
from rosewheel.control.http_client import JsonHttpClient
from rosewheel.control.messages import NodeAcknowledgement
from rosewheel.control.timer import Timer

# Upper bound of the random delay of an acknowledgement. It spreads the load on the machine when many nodes apply the
# same change, and combines the acknowledgements of changes in quick succession.
MAX_ACKNOWLEDGEMENT_DELAY_S = 0.4
RETRY_WAIT_RANGE_S = (1.0, 2.0)  # range of the wait after a failed acknowledgement


class AcknowledgementSender:
    """Sends the node's state to the control machine after each change, and retries until it is received."""

    def __init__(
        self,
        make_acknowledgement: Callable[[], NodeAcknowledgement],
        random: Random,
        on_acknowledged: Callable[[], None],
    ) -> None:
        """Start with nothing to send.

        Args:
            make_acknowledgement: Returns the node's current state.
            random: Random source of the delays.
            on_acknowledged: Called once the machine has the node's current state.
        """
        self._make_acknowledgement = make_acknowledgement
        self._random, self._on_acknowledged = random, on_acknowledged
        self._client: JsonHttpClient | None = None
        self._timer = Timer()
        self._task: asyncio.Task[None] | None = None
        self._is_sent = False  # whether the current state was sent or is being sent

    def use_machine(self, address: Address) -> None:
        """Send to the machine at this address from now on."""
        if self._client is not None:
            if self._client.address == address:
                return
            self._client.close()
        self._client = JsonHttpClient(address)

    def schedule(self) -> None:
        """Send the node's changed state within `MAX_ACKNOWLEDGEMENT_DELAY_S`."""
        self._is_sent = False
        if not self._timer.is_running and (self._task is None or self._task.done()):
            self._timer.start(self._random.uniform(0.0, MAX_ACKNOWLEDGEMENT_DELAY_S), self._start)

    def close(self) -> None:
        """Cancel pending acknowledgements and close the connection."""
        self._timer.cancel()
        if self._client is not None:
            self._client.close()
        if self._task is not None:
            self._task.cancel()

    def _start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._send())

    async def _send(self) -> None:
        while not self._is_sent and self._client is not None:
            self._is_sent = True  # `schedule` resets it if the state changes during the call
            if not await self._call(self._client):
                self._is_sent = False
                self._timer.start(self._random.uniform(*RETRY_WAIT_RANGE_S), self._start)
                return
        if self._is_sent:
            self._on_acknowledged()

    async def _call(self, client: JsonHttpClient) -> bool:
        body = encode_acknowledgements([self._make_acknowledgement()])
        try:
            status, _ = await client.call("POST", ACKNOWLEDGE_PATH, body)
        except HttpCallError:
            status = 0
        # Closed after each call, since idle connections would cost the machine one descriptor per node.
        client.close()
        return status == 200
