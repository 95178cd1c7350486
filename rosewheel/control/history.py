"""The revisions of one machine's log, with the document of each. No I/O and no clock."""

from __future__ import annotations

from rosewheel.control.documents import Document, apply_patch, make_patch
from rosewheel.control.errors import OutOfSequenceError, RevisionConflictError, UnknownRevisionError
from rosewheel.control.messages import PutRequest
from rosewheel.control.revisions import Change, Epoch, Revision, Snapshot

RETAINED_REVISIONS = 2000  # more than two days' changes at 920 a day


class RevisionHistory:
    """A snapshot and the consecutive changes after it.

    Attributes:
        snapshot: The oldest retained revision.
        changes: The changes after the snapshot, oldest first.
    """

    def __init__(self, snapshot: Snapshot | None = None) -> None:
        self.snapshot = snapshot or Snapshot()
        self.changes: list[Change] = []
        # One document per revision, the snapshot's first. Unchanged parts are shared between documents.
        self._documents: list[Document] = [self.snapshot.document or {}]

    @property
    def last(self) -> Revision:
        """The newest revision."""
        return self.changes[-1].revision if self.changes else self.snapshot.revision

    @property
    def last_document(self) -> Document:
        """The document of the newest revision."""
        return self._documents[-1]

    def append(self, change: Change) -> None:
        """Append a change.

        Raises:
            OutOfSequenceError: The change does not directly follow the last revision.
        """
        check_sequence(change.revision, self.last)
        self.changes.append(change)
        self._documents.append(apply_patch(self._documents[-1], change.patch))

    def draft(self, epoch: Epoch, request: PutRequest, created_at_s: float = 0.0) -> Change:
        """Return the change that a request makes, without appending it.

        Args:
            epoch: The leader's epoch.
            request: The patch against the last document, its expected revision and its author.
            created_at_s: Unix time of the leader, in seconds.

        Raises:
            RevisionConflictError: The expected revision is not the last one.
        """
        if request.expected != self.last.number:
            raise RevisionConflictError(self.last.number, request.expected)
        return Change(
            Revision(*epoch, self.last.number + 1),
            request.patch,
            request.author,
            request.note,
            created_at_s,
            request.unreplicated,
        )

    def document_at(self, revision: Revision) -> Document | None:
        """Return the document of a revision; None if the revision is on another branch or not retained."""
        index = revision.number - self.snapshot.revision.number
        if not 0 <= index <= len(self.changes):
            return None
        return self._documents[index] if self._revision_at(index) == revision else None

    def contains(self, revision: Revision) -> bool:
        """Return whether a revision is on this branch and retained."""
        return self.document_at(revision) is not None

    def revision_numbered(self, number: int) -> Revision:
        """Return the revision that has this number on this branch.

        Raises:
            UnknownRevisionError: No retained revision has this number.
        """
        return self._revision_at(self._index_of(number))

    def rollback_patch(self, number: int) -> Document:
        """Return the patch from the last document to the document of an earlier revision.

        Raises:
            UnknownRevisionError: No retained revision has this number.
        """
        return make_patch(self.last_document, self._documents[self._index_of(number)])

    def changes_after(self, revision: Revision) -> list[Change] | None:
        """Return the changes after a revision; None if the revision is on another branch or not retained."""
        if not self.contains(revision):
            return None
        return self.changes[revision.number - self.snapshot.revision.number :]

    def created_at_s(self, number: int) -> float:
        """Return the Unix time at which a revision was written, in seconds.

        A number outside the retained range gives the time of the nearest retained revision.
        """
        index = number - self.snapshot.revision.number
        if index <= 0 or not self.changes:
            return self.snapshot.created_at_s
        return self.changes[min(index, len(self.changes)) - 1].created_at_s

    def trim(self, retained: int = RETAINED_REVISIONS) -> None:
        """Replace all but the newest changes with a snapshot."""
        surplus = len(self.changes) - retained
        if surplus > 0:
            last = self.changes[surplus - 1]
            self.snapshot = Snapshot(last.revision, self._documents[surplus], last.created_at_s)
            del self.changes[:surplus], self._documents[:surplus]

    def _index_of(self, number: int) -> int:
        """Return the index of a revision in `_documents`."""
        oldest = self.snapshot.revision.number
        if not 0 <= number - oldest <= len(self.changes):
            raise UnknownRevisionError(number, oldest, self.last.number)
        return number - oldest

    def _revision_at(self, index: int) -> Revision:
        return self.changes[index - 1].revision if index else self.snapshot.revision


def check_sequence(revision: Revision, last: Revision) -> None:
    """Check that a revision may directly follow `last`.

    Raises:
        OutOfSequenceError: The number is not the next one, or the epoch is lower.
    """
    if revision.number != last.number + 1 or revision.epoch < last.epoch:
        raise OutOfSequenceError(revision, last)
