"""Persistent state that the processes of one node share: the servers that operators have cordoned.

During a hot restart both processes poll the state file, and each applies the changes of the other.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from rosewheel.proxy.errors import StateFileError
from rosewheel.proxy.state_codec import StateRecord
from rosewheel.proxy.state_file import FileVersion, PresenceLock, StateFile

log = logging.getLogger("rosewheel.state")

POLL_INTERVAL_S = 0.05  # interval of polls for changes by the other process; a drain allows some hundred ms
POLLS_PER_PRESENCE_CHECK = 4
LOCK_TIMEOUT_S = 0.3  # maximum wait for the other process to finish a change
LOCK_RETRY_S = 0.01

CordonsHandler = Callable[[frozenset[str]], None]
ProcessCountHandler = Callable[[int], None]


class SharedState:
    """Reads, polls and changes the state file, and detects another process of the node.

    Args:
        folder: The state folder of the node. Without one, the state is not saved between processes.
        on_cordons_changed: Called with all cordoned servers when another process has changed the set.
        on_process_count_changed: Called with 2 when another process of this node appears, with 1 when it ends.
        poll: Whether to poll the file, because another process can exist. If not, it is read only at the start.
    """

    def __init__(
        self,
        folder: str | None,
        on_cordons_changed: CordonsHandler,
        on_process_count_changed: ProcessCountHandler,
        poll: bool = True,
    ) -> None:
        self._file = StateFile(folder) if folder else None
        self._presence = PresenceLock(folder) if folder else None
        self._on_cordons_changed = on_cordons_changed
        self._on_process_count_changed = on_process_count_changed
        self._polling = poll
        self._cordoned: frozenset[str] = frozenset()
        self._has_sibling = False
        self._applied_version: FileVersion | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._poll_count = 0
        self._presence_failed = False  # whether the last attempt to acquire the lock failed

    def start(self) -> None:
        """Applies the state file, and starts to poll it if another process can exist."""
        if self._presence is None:
            return
        self._acquire_presence(self._presence)
        if self._polling:
            self._poll()
        else:
            self._apply_file()

    def _acquire_presence(self, presence: PresenceLock) -> None:
        """Acquires the presence lock. After a failure the next presence check tries again."""
        try:
            presence.acquire()
        except OSError as error:
            if not self._presence_failed:
                log.error("shared state unavailable: error=%s", error)
            self._presence_failed = True
        else:
            self._presence_failed = False

    @property
    def has_sibling(self) -> bool:
        """Whether the node had another process at the last check."""
        return self._has_sibling

    def start_polling(self) -> None:
        """Starts to poll the state file, if this process does not poll it yet."""
        if not self._polling and self._file is not None:
            self._polling = True
            self._poll()

    def close(self) -> None:
        """Stops polling, and releases the presence lock."""
        if self._timer is not None:
            self._timer.cancel()
        if self._presence is not None:
            self._presence.release()

    async def set_cordon(self, server: str, cordoned: bool) -> None:
        """Saves whether a server is cordoned.

        If the node has another process, waits until it has had time to apply the change.

        Raises:
            OSError: The change can't be written, and later processes would not apply it.
        """
        if self._file is None:
            self._cordoned = with_cordon(self._cordoned, server, cordoned)
            return
        await self._change_file(self._file, server, cordoned)
        self._check_presence()
        if self._has_sibling:
            await asyncio.sleep(2 * POLL_INTERVAL_S)

    async def _change_file(self, file: StateFile, server: str, cordoned: bool) -> None:
        deadline = asyncio.get_running_loop().time() + LOCK_TIMEOUT_S
        while True:
            try:
                with file.locked():
                    self._replace_file(file, server, cordoned)
                return
            except BlockingIOError:
                if asyncio.get_running_loop().time() > deadline:
                    raise
            await asyncio.sleep(LOCK_RETRY_S)

    def _replace_file(self, file: StateFile, server: str, cordoned: bool) -> None:
        record = self._read_file(file)
        # If the file is damaged or missing, the change is based on the set that this process has applied.
        current = self._cordoned if record is None else record.cordoned
        changed = with_cordon(current, server, cordoned)
        file.replace(StateRecord(changed))
        self._cordoned, self._applied_version = changed, file.version()

    def _poll(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(POLL_INTERVAL_S, self._poll)
        if self._poll_count % POLLS_PER_PRESENCE_CHECK == 0:
            self._check_presence()
        self._poll_count += 1
        self._apply_file()

    def _apply_file(self) -> None:
        """Applies the state file if it has changed since it was last read."""
        if self._file is None:
            return
        version = self._file.version()
        if version is None or version == self._applied_version:
            return
        self._applied_version = version
        record = self._read_file(self._file)
        if record is not None and record.cordoned != self._cordoned:
            self._cordoned = record.cordoned
            self._on_cordons_changed(record.cordoned)

    def _read_file(self, file: StateFile) -> StateRecord | None:
        try:
            return file.read()
        except (OSError, StateFileError) as error:
            log.error("state file ignored, left in place: error=%s", error)
            return None

    def _check_presence(self) -> None:
        """Checks whether the node has another process, and reports a change."""
        if self._presence is not None and not self._presence.is_open:
            self._acquire_presence(self._presence)
        has_sibling = self._presence.has_others() if self._presence is not None and self._polling else None
        if has_sibling is None or has_sibling is self._has_sibling:
            return
        self._has_sibling = has_sibling
        processes = 2 if has_sibling else 1
        log.info("processes of this node: count=%d", processes)
        self._on_process_count_changed(processes)


def with_cordon(cordoned: frozenset[str], server: str, is_cordoned: bool) -> frozenset[str]:
    """Returns the set with this server added or removed."""
    return cordoned | {server} if is_cordoned else cordoned - {server}
