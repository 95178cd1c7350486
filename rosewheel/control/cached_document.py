"""The file in which a node keeps the last document that it applied, to start with while no machine can be reached."""

from __future__ import annotations

import asyncio
import logging
import os
from pathlib import Path

from rosewheel.control.codec.cached_document import decode_cached_document, encode_cached_document
from rosewheel.control.documents import Document
from rosewheel.control.revisions import Revision
from rosewheel.control.subscription import Subscription

log = logging.getLogger("rosewheel.control")

MAX_FILE_BYTES = 16 << 20  # guards memory: a longer file was not written here


class CachedDocumentFile:
    """Saves the applied document of a subscription, in a thread: requests must not wait for a disk."""

    def __init__(self, path: Path, service: str, subscription: Subscription) -> None:
        """Set the file and its source.

        Args:
            path: The file.
            service: The service of the node; a file of another service is not loaded.
            subscription: The state to save.
        """
        self._path, self._service, self._subscription = path, service, subscription
        self._saved: Revision | None = None
        self._task: asyncio.Task[None] | None = None

    def load(self) -> tuple[Revision, Document]:
        """Read the file.

        Raises:
            CachedDocumentError: It can't be used.
            OSError: It can't be read.
        """
        with self._path.open("rb") as file:
            return decode_cached_document(file.read(MAX_FILE_BYTES + 1), self._service)

    def mark_saved(self, revision: Revision) -> None:
        """The file has this revision already."""
        self._saved = revision

    def save(self) -> None:
        """Begin to save the applied document. A save in progress includes it."""
        if self._task is None or self._task.done():
            self._task = asyncio.get_running_loop().create_task(self._save())

    async def _save(self) -> None:
        while self._subscription.applied != self._saved:
            revision, document = self._subscription.applied, self._subscription.applied_document
            data = encode_cached_document(self._service, revision, document)
            try:
                await asyncio.to_thread(write_atomically, self._path, data)
            except OSError as error:
                log.error("cached configuration not saved: %s, path=%s", error, self._path)
                return
            self._saved = revision


def write_atomically(path: Path, data: bytes) -> None:
    """Write a file so that a crash leaves the old content or the new one.

    Raises:
        OSError: The old content stays.
    """
    part = path.with_name(f"{path.name}.{os.getpid()}.part")
    try:
        with part.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        part.replace(path)
    except OSError:
        part.unlink(missing_ok=True)
        raise
