"""The received and the applied configuration of a node. No I/O and no clock."""

from __future__ import annotations

from enum import Enum, auto

from rosewheel.control.documents import Document, apply_patch
from rosewheel.control.errors import StaleUpdateError
from rosewheel.control.messages import ConfigurationUpdate
from rosewheel.control.revisions import INITIAL_REVISION, Revision


class UpdateEffect(Enum):
    """How a node reacts to an update."""

    APPLY = auto()  # apply the received document
    SAVE = auto()  # save the new epoch: nothing older may be taken after a restart either
    NONE = auto()


class Subscription:
    """The state of one node. Patches are merged into the received document, whether or not that could be applied.

    Attributes:
        received: The last revision that was received.
        received_document: Its document.
        applied: The last revision that was applied.
        applied_document: Its document.
        rejected: A later revision that could not be applied.
        reason: Why it could not.
    """

    def __init__(self) -> None:
        self.received = INITIAL_REVISION
        self.received_document: Document = {}
        self.applied = INITIAL_REVISION
        self.applied_document: Document = {}
        self.rejected: Revision | None = None
        self.reason = ""

    @property
    def received_is_applied(self) -> bool:
        """Whether the node has applied all that it has received."""
        return self.applied == self.received and self.rejected is None

    def restore(self, revision: Revision, document: Document) -> None:
        """Continue from a revision that was applied before a restart."""
        self.received = self.applied = revision
        self.received_document = self.applied_document = document

    def check(self, update: ConfigurationUpdate) -> None:
        """Check that an update is of the epoch and order that the node has seen.

        Raises:
            StaleUpdateError: It is of a lower epoch, or of an earlier revision of this one.
        """
        if update.revision < self.received:
            raise StaleUpdateError(update.revision, self.received)

    def receive(self, update: ConfigurationUpdate) -> UpdateEffect:
        """Take an update that was checked."""
        if update.is_snapshot:
            self.received_document = update.content
        else:
            self.received_document = apply_patch(self.received_document, update.content)
        previous, self.received = self.received, update.revision
        if update.is_snapshot or update.content or self.applied == INITIAL_REVISION:
            return UpdateEffect.APPLY
        if self.rejected is not None:
            return UpdateEffect.NONE
        self.applied = update.revision  # the change concerns other services
        return UpdateEffect.SAVE if previous.epoch != update.revision.epoch else UpdateEffect.NONE

    def mark_applied(self) -> None:
        """The received document was applied."""
        self.applied, self.applied_document = self.received, self.received_document
        self.rejected, self.reason = None, ""

    def mark_rejected(self, reason: str) -> None:
        """The received document could not be applied; the one before stays."""
        self.rejected, self.reason = self.received, reason
