"""Has a machine that led before its restart lead again, in a new epoch."""

from __future__ import annotations

import asyncio
import contextlib
import logging

from rosewheel.control.errors import ControlError
from rosewheel.control.messages import PromoteRequest
from rosewheel.control.promotion import Promotion
from rosewheel.control.replica import Replica

log = logging.getLogger("rosewheel.control")

WAIT_S = 4.0  # limit of the wait of an operator's change for the new epoch


class Resumption:
    """Promotes a returning leader once its log has been compared with those of all peers.

    Args:
        replica: The replication state of the machine.
        promotion: Promotes the machine.
    """

    def __init__(self, replica: Replica, promotion: Promotion) -> None:
        self._replica, self._promotion = replica, promotion
        self._task: asyncio.Task[None] | None = None
        self._ended = asyncio.Event()  # the machine does not return, or no longer
        if not replica.is_returning:
            self._ended.set()

    def reconcile(self) -> None:
        """Begin the promotion if it is due; called after each report of a peer, and periodically."""
        if self._task is not None and not self._task.done():
            return
        if not self._replica.is_returning:
            self._ended.set()
        elif not self._replica.peers_to_compare:
            self._task = asyncio.get_running_loop().create_task(self._promote())

    async def _promote(self) -> None:
        try:
            await self._promotion.run(PromoteRequest(author=self._replica.name))
        except (ControlError, OSError) as error:  # the next call tries again
            log.warning("leadership not resumed yet: %s", error)
        if not self._replica.is_returning:
            self._ended.set()

    async def wait(self) -> None:
        """Wait until the machine leads again or follows another one, up to `WAIT_S`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(WAIT_S):
                await self._ended.wait()

    def close(self) -> None:
        """End the promotion in progress."""
        if self._task is not None:
            self._task.cancel()
