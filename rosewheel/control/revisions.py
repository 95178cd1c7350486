"""The fleet's configuration as a chain of versions: merge patches, what changed since, rollback. No I/O, no clock.

A document holds the operator's tables as plain values, `cordons`, and under `services.NAME` what holds for one
service only. A change is a merge patch (RFC 7396): objects are merged, lists replaced, null takes a key away.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

Document = dict[str, Any]

RETAINED_REVISIONS = 2000  # versions that can be named: two days' worth and more, where a day brings 920
MAX_PATCH_DEPTH = 12  # of a patch; the tables need six


class Epoch(NamedTuple):
    """The reign of one writer. The name settles which of two counts that were begun alike, on either side of a cut."""

    number: int
    leader: str


class Revision(NamedTuple):
    """One version, on one branch: no two documents ever have the same. Compares as writers and machines have to."""

    epoch_number: int
    leader: str
    number: int

    @property
    def epoch(self) -> Epoch:
        return Epoch(self.epoch_number, self.leader)


INITIAL_REVISION = Revision(0, "", 0)


class RevisionConflictError(Exception):
    """A change that was made for another version than the one there is."""


class UnknownRevisionError(Exception):
    """A version that is not kept, or never was."""


@dataclass(slots=True, frozen=True)
class Change:
    """What leads from one version to the next; `at_s` is the writer's time of day."""

    revision: Revision
    patch: Document
    author: str = ""
    note: str = ""
    created_at_s: float = 0.0
    unreplicated: bool = False  # acknowledged though no other machine held it


@dataclass(slots=True, frozen=True)
class Snapshot:
    """The oldest version that is kept, whole."""

    revision: Revision = INITIAL_REVISION
    document: Document | None = None
    created_at_s: float = 0.0


def apply_patch(document: Any, patch: Document) -> Document:
    """The document with the patch applied. What the patch does not touch is shared, not copied."""
    result = dict(document) if isinstance(document, dict) else {}
    for key, value in patch.items():
        if value is None:
            result.pop(key, None)
        elif isinstance(value, dict):
            result[key] = apply_patch(result.get(key), value)
        else:
            result[key] = value
    return result


def make_patch(old: Document, new: Document) -> Document:
    """The patch that leads from one document to the other."""
    patch: Document = {key: None for key in old if key not in new}
    for key, value in new.items():
        before = old.get(key)
        if before is value:
            continue
        if isinstance(before, dict) and isinstance(value, dict):
            if inner := make_patch(before, value):
                patch[key] = inner
        elif key not in old or not _same(before, value):
            patch[key] = value
    return patch


def document_for_service(document: Document, service: str) -> Document:
    """What concerns a node of this service: the common part, with the service's own over it."""
    common = {key: value for key, value in document.items() if key != "services"}
    services = document.get("services")
    own = services.get(service) if isinstance(services, dict) else None
    return apply_patch(common, own) if isinstance(own, dict) else common


def nesting_exceeds(value: Any, depth: int = MAX_PATCH_DEPTH) -> bool:
    if isinstance(value, dict):
        return depth == 0 or any(nesting_exceeds(inner, depth - 1) for inner in value.values())
    if isinstance(value, list):
        return depth == 0 or any(nesting_exceeds(inner, depth - 1) for inner in value)
    return False


def _same(one: Any, other: Any) -> bool:
    """Equal, also in kind: to Python 1, 1.0 and True are."""
    if type(one) is not type(other):
        return False
    if isinstance(one, dict):
        return one.keys() == other.keys() and all(_same(value, other[key]) for key, value in one.items())
    if isinstance(one, list):
        return len(one) == len(other) and all(map(_same, one, other))
    return bool(one == other)


class RevisionHistory:
    """The versions that one machine holds, from a base on, each one more than the one before."""

    def __init__(self, base: Snapshot | None = None) -> None:
        self.snapshot = base or Snapshot()
        self.changes: list[Change] = []
        self._documents: list[Document] = [self.snapshot.document or {}]  # share what did not change

    @property
    def last(self) -> Revision:
        return self.changes[-1].revision if self.changes else self.snapshot.revision

    @property
    def document(self) -> Document:
        return self._documents[-1]

    def append(self, change: Change) -> None:
        """ValueError where it does not follow the last one."""
        top, position = self.last, change.revision
        if position.number != top.number + 1 or position.epoch < top.epoch:
            raise ValueError(f"{describe(position)} does not follow {describe(top)}")
        self.changes.append(change)
        self._documents.append(apply_patch(self._documents[-1], change.patch))

    def draft(self, epoch: Epoch, patch: Document, expected: int, **said: Any) -> Change:
        """The change that this patch would be; ConflictError where it was made for another version."""
        if expected != self.last.number:
            raise RevisionConflictError(f"version is {self.last.number}, not {expected}")
        return Change(Revision(*epoch, self.last.number + 1), patch, **said)

    def document_at(self, position: Revision) -> Document | None:
        """The document of a position, None where it is not of this branch or not kept."""
        index = position.number - self.snapshot.revision.number
        if not 0 <= index <= len(self.changes):
            return None
        own = self.changes[index - 1].revision if index else self.snapshot.revision
        return self._documents[index] if own == position else None

    def revision_numbered(self, version: int) -> Revision:
        """UnknownVersionError where this version is not kept."""
        index = version - self.snapshot.revision.number
        if not 0 <= index <= len(self.changes):
            oldest = self.snapshot.revision.number
            raise UnknownRevisionError(f"version {version} is not kept; {oldest} to {self.last.number} are")
        return self.changes[index - 1].revision if index else self.snapshot.revision

    def rollback_patch(self, version: int) -> Document:
        """The patch whose outcome is what that version held."""
        document = self.document_at(self.revision_numbered(version))
        assert document is not None
        return make_patch(self.document, document)

    def changes_after(self, position: Revision) -> list[Change] | None:
        """The changes after a position; None where only the whole can help."""
        if self.document_at(position) is None:
            return None
        return self.changes[position.number - self.snapshot.revision.number :]

    def created_at_s(self, version: int) -> float:
        """When this version came to be, or the oldest one that is kept, if it is older."""
        index = version - self.snapshot.revision.number
        if index <= 0 or not self.changes:
            return self.snapshot.created_at_s
        return self.changes[min(index, len(self.changes)) - 1].created_at_s

    def trim(self, kept: int = RETAINED_REVISIONS) -> None:
        """Forget all but the newest."""
        surplus = len(self.changes) - kept
        if surplus > 0:
            last = self.changes[surplus - 1]
            self.snapshot = Snapshot(last.revision, self._documents[surplus], last.created_at_s)
            del self.changes[:surplus], self._documents[:surplus]


def describe(position: Revision) -> str:
    """For people."""
    if not position.epoch_number:
        return f"version {position.number}"
    return f"version {position.number} of epoch {position.epoch_number} ({position.leader})"
