"""An event loop with some methods replaced."""

from __future__ import annotations


class PatchedLoop:
    """Delegates to an event loop, except for the attributes given as keyword arguments."""

    def __init__(self, loop: object, **replaced: object) -> None:
        self._loop = loop
        self.__dict__.update(replaced)

    def __getattr__(self, name: str) -> object:
        return getattr(self._loop, name)
