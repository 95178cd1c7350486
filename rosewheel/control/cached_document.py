"""File with the last document that a node applied, from which it starts while no control machine is reachable."""

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

MAX_FILE_BYTES = 16 << 20  # limits memory use; no valid file is longer


class CachedDocumentFile:
    """Saves the applied document of a subscription, in a thread so that disk I/O does not block the event loop."""

    def __init__(self, path: Path, service: str, subscription: Subscription) -> None:
        """Set the file and the state to save.

        Args:
            path: The file.
            service: The service of the node; a file of another service is rejected.
            subscription: The state to save.
        """
        self._path, self._service, self._subscription = path, service, subscription
        self._saved: Revision | None = None
        self._task: asyncio.Task[None] | None = None

    def load(self) -> tuple[Revision, Document]:
        """Read the file.

        Raises:
            CachedDocumentError: The content is invalid or of another service.
            OSError: The file can't be read.
        """
        with self._path.open("rb") as file:
            return decode_cached_document(file.read(MAX_FILE_BYTES + 1), self._service)

    def mark_saved(self, revision: Revision) -> None:
        """Record that the file already has this revision."""
        self._saved = revision

    def save(self) -> None:
        """Start to save the applied document, unless a save is in progress, which then saves it too."""
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
    """Replace the content of a file atomically: a crash leaves either the old or the new content.

    Raises:
        OSError: The file could not be written. The old content stays.
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
