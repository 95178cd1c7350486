"""The fleet's configuration as a chain of versions: merge patches, what changed since, rollback. No I/O, no clock.

A document holds the operator's tables as plain values, `cordons`, and under `services.NAME` what holds for one
service only. A change is a merge patch (RFC 7396): objects are merged, lists replaced, null takes a key away.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

Document = dict[str, Any]

KEPT = 2000  # versions that can be named: two days' worth and more, where a day brings 920
DEPTH = 12  # of a patch; the tables need six


class Epoch(NamedTuple):
    """The reign of one writer. The name settles which of two counts that were begun alike, on either side of a cut."""

    number: int
    writer: str


class Position(NamedTuple):
    """One version, on one branch: no two documents ever have the same. Compares as writers and machines have to."""

    number: int
    writer: str
    version: int

    @property
    def epoch(self) -> Epoch:
        return Epoch(self.number, self.writer)


START = Position(0, "", 0)


class ConflictError(Exception):
    """A change that was made for another version than the one there is."""


class UnknownVersionError(Exception):
    """A version that is not kept, or never was."""


@dataclass(slots=True, frozen=True)
class Change:
    """What leads from one version to the next; `at_s` is the writer's time of day."""

    position: Position
    patch: Document
    by: str = ""
    note: str = ""
    at_s: float = 0.0
    alone: bool = False  # acknowledged though no other machine held it


@dataclass(slots=True, frozen=True)
class Base:
    """The oldest version that is kept, whole."""

    position: Position = START
    document: Document | None = None
    at_s: float = 0.0


def merged(document: Any, patch: Document) -> Document:
    """The document with the patch applied. What the patch does not touch is shared, not copied."""
    result = dict(document) if isinstance(document, dict) else {}
    for key, value in patch.items():
        if value is None:
            result.pop(key, None)
        elif isinstance(value, dict):
            result[key] = merged(result.get(key), value)
        else:
            result[key] = value
    return result


def difference(old: Document, new: Document) -> Document:
    """The patch that leads from one document to the other."""
    patch: Document = {key: None for key in old if key not in new}
    for key, value in new.items():
        before = old.get(key)
        if before is value:
            continue
        if isinstance(before, dict) and isinstance(value, dict):
            if inner := difference(before, value):
                patch[key] = inner
        elif key not in old or not _same(before, value):
            patch[key] = value
    return patch


def projection(document: Document, service: str) -> Document:
    """What concerns a node of this service: the common part, with the service's own over it."""
    common = {key: value for key, value in document.items() if key != "services"}
    services = document.get("services")
    own = services.get(service) if isinstance(services, dict) else None
    return merged(common, own) if isinstance(own, dict) else common


def too_deep(value: Any, depth: int = DEPTH) -> bool:
    if isinstance(value, dict):
        return depth == 0 or any(too_deep(inner, depth - 1) for inner in value.values())
    if isinstance(value, list):
        return depth == 0 or any(too_deep(inner, depth - 1) for inner in value)
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


class Versions:
    """The versions that one machine holds, from a base on, each one more than the one before."""

    def __init__(self, base: Base | None = None) -> None:
        self.base = base or Base()
        self.changes: list[Change] = []
        self._documents: list[Document] = [self.base.document or {}]  # share what did not change

    @property
    def top(self) -> Position:
        return self.changes[-1].position if self.changes else self.base.position

    @property
    def document(self) -> Document:
        return self._documents[-1]

    def add(self, change: Change) -> None:
        """ValueError where it does not follow the last one."""
        top, position = self.top, change.position
        if position.version != top.version + 1 or position.epoch < top.epoch:
            raise ValueError(f"{named(position)} does not follow {named(top)}")
        self.changes.append(change)
        self._documents.append(merged(self._documents[-1], change.patch))

    def drafted(self, epoch: Epoch, patch: Document, expected: int, **said: Any) -> Change:
        """The change that this patch would be; ConflictError where it was made for another version."""
        if expected != self.top.version:
            raise ConflictError(f"version is {self.top.version}, not {expected}")
        return Change(Position(*epoch, self.top.version + 1), patch, **said)

    def at(self, position: Position) -> Document | None:
        """The document of a position, None where it is not of this branch or not kept."""
        index = position.version - self.base.position.version
        if not 0 <= index <= len(self.changes):
            return None
        own = self.changes[index - 1].position if index else self.base.position
        return self._documents[index] if own == position else None

    def position(self, version: int) -> Position:
        """UnknownVersionError where this version is not kept."""
        index = version - self.base.position.version
        if not 0 <= index <= len(self.changes):
            oldest = self.base.position.version
            raise UnknownVersionError(f"version {version} is not kept; {oldest} to {self.top.version} are")
        return self.changes[index - 1].position if index else self.base.position

    def back_to(self, version: int) -> Document:
        """The patch whose outcome is what that version held."""
        document = self.at(self.position(version))
        assert document is not None
        return difference(self.document, document)

    def since(self, position: Position) -> list[Change] | None:
        """The changes after a position; None where only the whole can help."""
        if self.at(position) is None:
            return None
        return self.changes[position.version - self.base.position.version :]

    def changed_at_s(self, version: int) -> float:
        """When this version came to be, or the oldest one that is kept, if it is older."""
        index = version - self.base.position.version
        if index <= 0 or not self.changes:
            return self.base.at_s
        return self.changes[min(index, len(self.changes)) - 1].at_s

    def trim(self, kept: int = KEPT) -> None:
        """Forget all but the newest."""
        surplus = len(self.changes) - kept
        if surplus > 0:
            last = self.changes[surplus - 1]
            self.base = Base(last.position, self._documents[surplus], last.at_s)
            del self.changes[:surplus], self._documents[:surplus]


def named(position: Position) -> str:
    """For people."""
    if not position.number:
        return f"version {position.version}"
    return f"version {position.version} of epoch {position.number} ({position.writer})"
