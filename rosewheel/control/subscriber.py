"""Receives the configuration of a node's service from a control machine and applies it.

A node keeps one watch open and sends a short call for each change. If no control machine is reachable, the node keeps
the applied revision, and starts from its cached document.
"""

from __future__ import annotations

import logging
import time
from collections.abc import Callable, Mapping
from pathlib import Path

from rosewheel.config.address import Address
from rosewheel.control.acknowledgement import AcknowledgementSender
from rosewheel.control.cached_document import CachedDocumentFile
from rosewheel.control.codec.values import JsonObject
from rosewheel.control.codec.watch import decode_update, encode_watch_target
from rosewheel.control.documents import Document
from rosewheel.control.machine_selection import MachineSelection
from rosewheel.control.messages import ConfigurationUpdate, NodeAcknowledgement, WatchRequest
from rosewheel.control.revisions import Revision
from rosewheel.control.subscription import Subscription, UpdateEffect
from rosewheel.control.timer import Timer
from rosewheel.control.watch_client import make_watch_client
from rosewheel.discovery.watch_client import WatchClient

log = logging.getLogger("rosewheel.control")

MAX_RETURN_BACKOFF_FACTOR = 16.0  # limit of the growth of the wait before a return to the preferred machine

ApplyDocument = Callable[[Document], None]


def _ignore_revision(_: Revision) -> None:
    pass


class ConfigurationSubscriber:
    """Subscribes a node to its configuration.

    Attributes:
        name: Name of the node.
        service: The service that the node balances.
        machines: Addresses of the control machines, by name.
        state: The received and applied configuration.
        selection: Selects the machine to watch.
    """

    def __init__(
        self,
        name: str,
        service: str,
        machines: Mapping[str, Address],
        seed: int,
        cache_path: Path | None,
        apply: ApplyDocument,
        on_update: Callable[[Revision], None] = _ignore_revision,
        on_acknowledged: Callable[[Revision], None] = _ignore_revision,
    ) -> None:
        """Set up without I/O.

        Args:
            name: Name of the node, unique in the fleet.
            service: The service that the node balances.
            machines: Addresses of the control machines, by name.
            seed: Random seed of the node's waits.
            cache_path: File for the last applied document; None to disable the cache.
            apply: Applies the complete document of the node's service. If it can't, it raises ValueError and changes
                nothing; the message is reported to the control machines.
            on_update: Called with the applied revision after each update.
            on_acknowledged: Called with the applied revision once a control machine has received the acknowledgement.
        """
        self.name, self.service, self.machines = name, service, dict(machines)
        self.state = Subscription()
        self.selection = MachineSelection(name, self.machines, seed)
        self._apply, self._on_update = apply, on_update
        self._cache = None if cache_path is None else CachedDocumentFile(cache_path, service, self.state)
        self._acknowledgements = AcknowledgementSender(
            self._acknowledgement, self.selection.random, lambda: on_acknowledged(self.state.applied)
        )
        self._stamp = 0
        self._return_attempts = 0  # attempts to return to the preferred machine since its last update
        self._closed = False
        self._reopen_timer, self._return_timer = Timer(), Timer()
        self._watch_client: WatchClient[ConfigurationUpdate] | None = None

    def start(self) -> None:
        """Apply the cached document, if it is valid, and open a watch."""
        self._load_cache()
        self._open()

    def close(self) -> None:
        """Close the watch and cancel pending acknowledgements."""
        self._closed = True
        self._reopen_timer.cancel()
        self._return_timer.cancel()
        if self._watch_client is not None:
            self._watch_client.close()
        self._acknowledgements.close()

    @property
    def machine(self) -> str:
        """Name of the control machine that is watched."""
        return self.selection.current

    @property
    def applied(self) -> Revision:
        """The revision that the node has applied."""
        return self.state.applied

    @property
    def rejected(self) -> Revision | None:
        """A later revision that the node could not apply; None if there is none."""
        return self.state.rejected

    def _open(self) -> None:
        if self._closed:
            return
        address = self.machines[self.selection.current]
        self._acknowledgements.use_machine(address)
        if self._watch_client is None:
            self._watch_client = make_watch_client(
                address,
                self._target,
                decode=self._decode,
                on_update=self._receive,
                on_failure=self._watch_failed,
            )
        self._watch_client.change_address(address)
        # Revision numbers may decrease in a later epoch, so the subscription checks their order instead.
        self._watch_client.revision = 0
        self._watch_client.start()
        if not self.state.received_is_applied:
            self._acknowledgements.schedule()
        if not self.selection.is_preferred and not self._return_timer.is_running:
            backoff = min(MAX_RETURN_BACKOFF_FACTOR, 2.0**self._return_attempts)
            self._return_timer.start(self.selection.draw_return_wait_s() * backoff, self._try_preferred)

    def _target(self) -> str:
        request = WatchRequest(
            self.state.received,
            node=self.name,
            service=self.service,
            stamp=self._next_stamp(),
            received_is_applied=self.state.received_is_applied,
        )
        return encode_watch_target(request)

    def _watch_failed(self) -> None:
        """Watch the next machine in the node's order after a backoff."""
        if not self._closed:
            self._reopen_timer.start(self.selection.fail_over(), self._open)

    def _try_preferred(self) -> None:
        """Watch the preferred machine; if it is still lost, the watch fails over again."""
        self._return_attempts += 1
        if not self.selection.is_preferred:
            self.selection.return_to_preferred()
            self._open()

    def _decode(self, row: JsonObject) -> ConfigurationUpdate:
        update = decode_update(row)
        self.state.check(update)
        return update

    def _receive(self, update: ConfigurationUpdate) -> None:
        effect = self.state.receive(update)
        if self.selection.is_preferred:
            self._return_attempts = 0
        match effect:
            case UpdateEffect.APPLY:
                self._apply_received()
            case UpdateEffect.SAVE:
                self._save()
            case UpdateEffect.NONE:
                pass
        self._acknowledgements.schedule()
        self._on_update(self.state.applied)

    def _apply_received(self) -> None:
        received = self.state.received
        try:
            self._apply(self.state.received_document)
        except ValueError as error:
            self.state.mark_rejected(_one_line(error))
            log.error(
                "configuration rejected: %s, revision=%d epoch=%d leader=%s applied=%d",
                *(self.state.reason, received.number, received.epoch_number, received.leader),
                self.state.applied.number,
            )
            return
        self.state.mark_applied()
        log.info(
            "configuration applied: revision=%d epoch=%d leader=%s",
            *(received.number, received.epoch_number, received.leader),
        )
        self._save()

    def _acknowledgement(self) -> NodeAcknowledgement:
        state = self.state
        return NodeAcknowledgement(
            self.name, self.service, self._next_stamp(), state.applied, state.rejected, state.reason
        )

    def _next_stamp(self) -> int:
        """Return a stamp above all earlier ones, also across restarts unless the clock was set back."""
        self._stamp = max(self._stamp + 1, int(time.time() * 1000.0))
        return self._stamp

    def _load_cache(self) -> None:
        if self._cache is None:
            return
        try:
            revision, document = self._cache.load()
            self._apply(document)
        except FileNotFoundError:
            return
        except (OSError, ValueError) as error:
            log.warning("cached configuration ignored: %s", _one_line(error))
            return
        self.state.restore(revision, document)
        self._cache.mark_saved(revision)
        log.info(
            "configuration applied: revision=%d epoch=%d leader=%s source=cache",
            *(revision.number, revision.epoch_number, revision.leader),
        )

    def _save(self) -> None:
        if self._cache is not None:
            self._cache.save()


def _one_line(error: Exception) -> str:
    return " ".join(str(error).split())
