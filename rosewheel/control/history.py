"""The revisions of one machine's log, with the document of each. No I/O and no clock."""

from __future__ import annotations

from hashlib import blake2b

import orjson

from rosewheel.control.documents import Document, apply_patch, make_patch
from rosewheel.control.errors import OutOfSequenceError, RevisionConflictError, UnknownRevisionError
from rosewheel.control.messages import PutRequest
from rosewheel.control.revisions import Change, Epoch, Revision, Snapshot

MAX_CACHED_DIGESTS = 16
DIGEST_BYTES = 8
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
        self._digests: dict[Revision, str] = {}

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
        if not self._is_unchanged_since(request.expected):
            raise RevisionConflictError(self.last.number, request.expected)
        return Change(
            Revision(*epoch, self.last.number + 1),
            request.patch,
            request.author,
            request.note,
            created_at_s,
            request.unreplicated,
        )

    def _is_unchanged_since(self, number: int) -> bool:
        """Return whether no later revision changes the document: the first one of an epoch does not."""
        first = number - self.snapshot.revision.number
        return 0 <= first <= len(self.changes) and not any(each.patch for each in self.changes[first:])

    def document_at(self, revision: Revision) -> Document | None:
        """Return the document of a revision; None if the revision is on another branch or not retained."""
        index = revision.number - self.snapshot.revision.number
        if not 0 <= index <= len(self.changes):
            return None
        return self._documents[index] if self._revision_at(index) == revision else None

    def digest_at(self, revision: Revision) -> str:
        """Return a digest of a revision and its document; empty if the revision is not on this branch or not retained.

        It distinguishes histories that have two contents of one revision.
        """
        if revision in self._digests:
            return self._digests[revision]
        document = self.document_at(revision)
        if document is None:
            return ""
        content = orjson.dumps([*revision, document], option=orjson.OPT_SORT_KEYS)
        if len(self._digests) >= MAX_CACHED_DIGESTS:
            self._digests.clear()
        digest = self._digests[revision] = blake2b(content, digest_size=DIGEST_BYTES).hexdigest()
        return digest

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
