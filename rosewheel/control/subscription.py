"""The received and the applied configuration of a node. No I/O and no clock."""

from __future__ import annotations

from enum import Enum, auto

from rosewheel.control.documents import Document, apply_patch
from rosewheel.control.errors import StaleUpdateError
from rosewheel.control.messages import ConfigurationUpdate
from rosewheel.control.revisions import INITIAL_REVISION, Revision


class UpdateEffect(Enum):
    """The action that a node takes on an update."""

    APPLY = auto()  # apply the received document
    SAVE = auto()  # save the new epoch, so that older updates are rejected after a restart too
    NONE = auto()


class Subscription:
    """The configuration state of one node.

    Patches are merged into the received document, even if that document could not be applied.

    Attributes:
        received: The last received revision.
        received_document: Document of `received`.
        applied: The last applied revision.
        applied_document: Document of `applied`.
        rejected: A later revision that could not be applied; None if there is none.
        reason: Why the revision was rejected; empty if none was.
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
        """Whether the last received revision is applied."""
        return self.applied == self.received and self.rejected is None

    def restore(self, revision: Revision, document: Document) -> None:
        """Restore a revision that was applied before a restart."""
        self.received = self.applied = revision
        self.received_document = self.applied_document = document

    def check(self, update: ConfigurationUpdate) -> None:
        """Check that an update is not older than the last received revision.

        Raises:
            StaleUpdateError: The update is of a lower epoch, or of an earlier revision in the same epoch.
        """
        if update.revision < self.received:
            raise StaleUpdateError(update.revision, self.received)

    def receive(self, update: ConfigurationUpdate) -> UpdateEffect:
        """Merge a checked update into the received document, and return the action to take."""
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
        """Record that the received document was applied."""
        self.applied, self.applied_document = self.received, self.received_document
        self.rejected, self.reason = None, ""

    def mark_rejected(self, reason: str) -> None:
        """Record that the received document could not be applied; the applied one stays in use."""
        self.rejected, self.reason = self.received, reason
