"""An event loop of which some methods are replaced."""

from __future__ import annotations


class PatchedLoop:
    """Passes everything on to a loop, but for the methods given by keyword."""

    def __init__(self, loop: object, **replaced: object) -> None:
        self._loop = loop
        self.__dict__.update(replaced)

    def __getattr__(self, name: str) -> object:
        return getattr(self._loop, name)
