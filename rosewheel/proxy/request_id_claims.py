"""Claims on Request-Ids during a hot restart, so that the two processes of a node do not forward copies of one request.

Both processes accept clients for a while, and the old one serves its requests to their end. A claim is a lock on one
byte of a file in the state folder: the kernel grants it to one process only, and ends it with that process.
"""

from __future__ import annotations

import asyncio
import errno
import fcntl
import logging
import os
import struct
from collections.abc import Callable

from rosewheel.http.request_ids import RequestIds

log = logging.getLogger("rosewheel.state")

CLAIMS_NAME = "requests.lock"
OPEN_FLAGS = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
FILE_MODE = 0o600
SWEEP_INTERVAL_S = 0.05  # time between two checks for ids that are no longer in use
CLAIMED_ELSEWHERE = (errno.EAGAIN, errno.EACCES)
# struct flock: type, whence, start, length, and a process id that has to be 0 for a lock of the open file description.
FLOCK = struct.Struct("hhqqi4x")
OFFSET_BITS = 62  # byte offsets of files are below 2 ** 63


class FileClaims:
    """Claims of one process, as locks on bytes of a file.

    Locks belong to the open file description (F_OFD_SETLK), since those of a process would not exclude another holder
    in the same process, and would end when any descriptor of the file is closed.

    Args:
        folder: The state folder of the node.

    Raises:
        OSError: The file can't be opened.
    """

    def __init__(self, folder: str) -> None:
        self._descriptor = os.open(os.path.join(folder, CLAIMS_NAME), OPEN_FLAGS, FILE_MODE)
        self.claimed: set[str] = set()

    def claim(self, id: str) -> bool:
        """Claim an id; return False if the other process has claimed it.

        After any other failure the id counts as claimed elsewhere, since a copy of the request might be forwarded.
        """
        if id in self.claimed:
            return True
        try:
            self._lock(id, fcntl.F_WRLCK)
        except OSError as error:
            if error.errno not in CLAIMED_ELSEWHERE:
                log.error("request id not claimed: error=%s", error)
            return False
        self.claimed.add(id)
        return True

    def release(self, id: str) -> None:
        """End the claim on an id, if there is one. If that fails, it ends with the process."""
        if id in self.claimed:
            self.claimed.discard(id)
            try:
                self._lock(id, fcntl.F_UNLCK)
            except OSError as error:
                log.error("request id not released: error=%s", error)

    def _lock(self, id: str, lock_type: int) -> None:
        # Imported here, since only a hot restart needs it; it would take 0.15 MB in every process.
        from hashlib import blake2b

        digest = blake2b(id.encode(), digest_size=8).digest()
        offset = int.from_bytes(digest, "big") >> (64 - OFFSET_BITS)
        fcntl.fcntl(self._descriptor, fcntl.F_OFD_SETLK, FLOCK.pack(lock_type, os.SEEK_SET, offset, 1, 0))

    def close(self) -> None:
        """End all claims."""
        os.close(self._descriptor)


class RequestIdSharing:
    """Shares the Request-Ids of this process with the other process of its node, as long as there is one.

    Args:
        folder: The state folder of the node; without one, nothing is shared.
        request_ids: The ids that are reserved in this process.
        forwarded: Returns the ids of the requests that the node has.
        has_sibling: Returns whether the node has another process.
    """

    def __init__(
        self,
        folder: str | None,
        request_ids: RequestIds,
        forwarded: Callable[[], list[str]],
        has_sibling: Callable[[], bool],
    ) -> None:
        self._folder = folder
        self._request_ids = request_ids
        self._forwarded = forwarded
        self._has_sibling = has_sibling
        self._claims: FileClaims | None = None
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Claims all ids in use, and from now on each one that is reserved. A second call does nothing."""
        if self._folder is None or self._claims is not None:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep)
        try:
            self._claims = FileClaims(self._folder)
        except OSError as error:  # the next sweep tries again
            log.error("request ids not shared: error=%s", error)
            return
        self._request_ids.share(self._claims, self._forwarded())

    def _sweep(self) -> None:
        """Ends the claims on ids that are no longer in use; ends all of them once there is no other process."""
        self._timer = None
        if not self._has_sibling():
            self.close()
            return
        if self._claims is None:
            self.start()
            return
        self._timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep)
        for id in list(self._claims.claimed):
            if not self._request_ids.is_in_use(id):
                self._claims.release(id)
        # Again, since the previous process may have held the id of a response that was migrated to this one.
        self._request_ids.share(self._claims, self._forwarded())

    def close(self) -> None:
        """Ends all claims."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._claims is not None:
            self._request_ids.stop_sharing()
            self._claims.close()
            self._claims = None
