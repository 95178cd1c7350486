"""State that the processes of one node share and that outlives them: the servers that operators have cordoned.

During a hot restart two processes poll the state file, and each applies what the other one has written. Another store
could take the place of the file: a node needs `start`, `set_cordon`, `close` and the two callbacks.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from rosewheel.proxy.errors import StateFileError
from rosewheel.proxy.state_codec import StateRecord
from rosewheel.proxy.state_file import FileVersion, PresenceLock, StateFile

log = logging.getLogger("rosewheel.state")

POLL_INTERVAL_S = 0.05  # how soon a process applies a change of the other one; a drain allows some hundred ms
POLLS_PER_PRESENCE_CHECK = 4
LOCK_TIMEOUT_S = 0.3  # how long a change waits for one that the other process is making
LOCK_RETRY_S = 0.01

CordonsHandler = Callable[[frozenset[str]], None]
ProcessCountHandler = Callable[[int], None]


class SharedState:
    """Follows the state file of a folder, and announces this process to others of its node.

    Args:
        folder: The folder that the processes of the node share. Without one nothing outlives this process.
        on_cordons_changed: Called with all cordoned servers when another process has changed the set.
        on_process_count_changed: Called with 2 when another process of this node appears, with 1 when it ends.
        follow: Whether another process can exist. Without it the file is read once, at the start.
    """

    def __init__(
        self,
        folder: str | None,
        on_cordons_changed: CordonsHandler,
        on_process_count_changed: ProcessCountHandler,
        follow: bool = True,
    ) -> None:
        self._file = StateFile(folder) if folder else None
        self._presence = PresenceLock(folder) if folder else None
        self._on_cordons_changed = on_cordons_changed
        self._on_process_count_changed = on_process_count_changed
        self._follow = follow
        self._cordoned: frozenset[str] = frozenset()
        self._has_sibling = False
        self._applied_version: FileVersion | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._poll_count = 0
        self._presence_failed = False  # at the last try

    def start(self) -> None:
        """Applies the state file, and polls it from now on where another process can exist."""
        if self._presence is None:
            return
        self._acquire_presence(self._presence)
        if self._follow:
            self._poll()
        else:
            self._apply_file()

    def _acquire_presence(self, presence: PresenceLock) -> None:
        """Announces this process; where that fails, for a moment or longer, the next check tries again."""
        try:
            presence.acquire()
        except OSError as error:
            if not self._presence_failed:
                log.error("shared state unavailable: error=%s", error)
            self._presence_failed = True
        else:
            self._presence_failed = False

    def follow(self) -> None:
        """Starts to poll where another process exists after all."""
        if not self._follow and self._file is not None:
            self._follow = True
            self._poll()

    def close(self) -> None:
        """Stops polling, and announces the end of this process."""
        if self._timer is not None:
            self._timer.cancel()
        if self._presence is not None:
            self._presence.release()

    async def set_cordon(self, server: str, cordoned: bool) -> None:
        """Records whether a server is cordoned.

        Returns once another process that serves this node has had the time to apply it.

        Raises:
            OSError: The change can't be written, so it would not outlive this process.
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
        # Where the file is damaged or missing, the set that this process holds is the best one available.
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
        """Applies the state file if it has changed since it was read last."""
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
        """Looks for another process of this node."""
        if self._presence is not None and not self._presence.is_open:
            self._acquire_presence(self._presence)
        has_sibling = self._presence.has_others() if self._presence is not None and self._follow else None
        if has_sibling is None or has_sibling is self._has_sibling:
            return
        self._has_sibling = has_sibling
        processes = 2 if has_sibling else 1
        log.info("processes of this node: count=%d", processes)
        self._on_process_count_changed(processes)


def with_cordon(cordoned: frozenset[str], server: str, is_cordoned: bool) -> frozenset[str]:
    """Returns the set with this server added or removed."""
    return cordoned | {server} if is_cordoned else cordoned - {server}
