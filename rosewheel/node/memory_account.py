"""One account of the memory of a process: what its holders have, and what they may still take.

No I/O: the process reports its resident memory. Sizes are bytes.
"""

from __future__ import annotations

# Memory of a client's connection without requests: its transport, parser and state.
CONNECTION_BYTES = 6 * 1024
UPSTREAM_CONNECTION_BYTES = 8 * 1024  # the same of a connection to a server, with the state of its attempt
# Share of the available memory above which holders take small pieces only.
SCARCE_SHARE = 0.5
# Left free of the limit for what no holder counts: fragmentation, tasks, and the collector's delay.
MIN_RESERVE_BYTES = 3 << 19
RESERVE_SHARE = 0.04
FULL_RESERVE_SHARE = 0.5  # of what is left free: once more of it is taken, no attempt begins
MIN_AVAILABLE_BYTES = 1 << 20
CONNECTION_SHARE_DIVISOR = 4  # the bodies of one connection take at most the budget divided by this
# Shares of the available memory.
CONNECTION_SHARE = 0.5  # for connections of clients without their requests
BODY_SHARE = 0.15
HEAD_SHARE = 0.1
RESPONSE_SHARE = 0.125
REQUEST_ID_SHARE = 0.03


class BufferBudget:
    """Memory of one kind of holder: bodies, heads, or responses of all connections.

    The limit is soft. Above it, bodies are streamed, and each buffers at most the stream window of its connection;
    heads are refused beyond a reserved share of each connection (`head_memory`).

    Attributes:
        limit_bytes: Limit for all connections together.
        used_bytes: Bytes that are held now.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes, self.used_bytes = limit_bytes, 0

    @property
    def exceeded(self) -> bool:
        """True if more than the limit is held."""
        return self.used_bytes > self.limit_bytes

    @property
    def connection_share_bytes(self) -> int:
        """Limit for the bodies of one connection in bytes."""
        return self.limit_bytes // CONNECTION_SHARE_DIVISOR


class MemoryAccount:
    """The memory of one process, split between its holders.

    Attributes:
        limit_bytes: Limit of the process, at which the platform kills it.
        baseline_bytes: Resident memory before the first client; 0 if it was not measured.
        shared_bytes: Part of the baseline that processes share: pages of files.
        resident_bytes: Resident memory in use when it was last read; 0 if it was not.
        bodies: Request bodies and unparsed bytes.
        heads: Request heads.
        responses: Buffered responses, and the unsent bytes of clients' connections.
        connection_count: Number of connections of clients.
        upstream_count: Number of connections to servers.
    """

    def __init__(self) -> None:
        self.limit_bytes = self.baseline_bytes = self.shared_bytes = self.resident_bytes = 0
        self.bodies, self.heads, self.responses = BufferBudget(0), BufferBudget(0), BufferBudget(0)
        self.connection_count = self.upstream_count = 0
        # Resident memory above which something has to be freed; never less than the process needs to serve at all.
        self._resident_limit_bytes = 0
        self._scarce_used_bytes = self._scarce_resident_bytes = 0  # above them memory is scarce
        self._peak_resident_bytes = self._peak_used_bytes = 0
        self._exhausted_used_bytes = MIN_AVAILABLE_BYTES  # `available_bytes`
        self._full_used_bytes = self._full_resident_bytes = (
            0  # above one of them an exhausted process is full
        )

    def divide(self, node_limit_bytes: int, process_count: int) -> None:
        """Set the limit of the process, and divide what is available between the holders.

        Args:
            node_limit_bytes: Limit of all processes of the node together. Pages of files count once for all of them.
            process_count: Number of processes of the node.
        """
        private_bytes = max(0, node_limit_bytes - self.shared_bytes)
        self.limit_bytes = min(node_limit_bytes, private_bytes // process_count + self.shared_bytes)
        # Computed once: they are compared for each read and write.
        available = self.available_bytes
        self._resident_limit_bytes = max(
            self.limit_bytes - self.reserve_bytes, self.baseline_bytes + MIN_AVAILABLE_BYTES
        )
        self._exhausted_used_bytes = available
        full_reserve_bytes = int(self.reserve_bytes * FULL_RESERVE_SHARE)
        self._full_used_bytes = available + full_reserve_bytes
        self._full_resident_bytes = self._resident_limit_bytes + full_reserve_bytes
        self._scarce_used_bytes = int(available * SCARCE_SHARE)
        self._scarce_resident_bytes = self._resident_limit_bytes - self._scarce_used_bytes
        self.bodies.limit_bytes = int(available * BODY_SHARE)
        self.heads.limit_bytes = int(available * HEAD_SHARE)
        self.responses.limit_bytes = int(available * RESPONSE_SHARE)

    def record_resident(self, resident_bytes: int) -> None:
        """Record the resident memory of the process, less what holders have freed and not given back to the system.

        Resident memory seldom falls when holders free theirs: the allocator keeps it for what they take next.
        """
        used_bytes = self.used_bytes
        self._peak_used_bytes = max(self._peak_used_bytes, used_bytes)
        self._peak_resident_bytes = max(self._peak_resident_bytes, resident_bytes)
        given_back_bytes = self._peak_resident_bytes - resident_bytes
        reusable_bytes = max(0, self._peak_used_bytes - used_bytes - given_back_bytes)
        self.resident_bytes = resident_bytes - reusable_bytes

    @property
    def reserve_bytes(self) -> int:
        """Part of the limit that holders never take."""
        return max(MIN_RESERVE_BYTES, int(self.limit_bytes * RESERVE_SHARE))

    @property
    def available_bytes(self) -> int:
        """What the holders may have together."""
        available = self.limit_bytes - self.baseline_bytes - self.reserve_bytes
        return max(MIN_AVAILABLE_BYTES, available)

    @property
    def used_bytes(self) -> int:
        """What the holders have, by their own count."""
        held = self.bodies.used_bytes + self.heads.used_bytes + self.responses.used_bytes
        held += self.connection_count * CONNECTION_BYTES
        return held + self.upstream_count * UPSTREAM_CONNECTION_BYTES

    @property
    def max_connections(self) -> int:
        """Number of clients' connections that may be open."""
        return int(self.available_bytes * CONNECTION_SHARE) // CONNECTION_BYTES

    @property
    def is_scarce(self) -> bool:
        """True if holders should take small pieces only."""
        if self.resident_bytes > self._scarce_resident_bytes or self.responses.exceeded:
            return True
        return self.used_bytes > self._scarce_used_bytes

    @property
    def excess_bytes(self) -> int:
        """What has to be freed; 0 or less if nothing has."""
        return max(self.used_bytes - self.available_bytes, self.resident_bytes - self._resident_limit_bytes)

    @property
    def is_exhausted(self) -> bool:
        """True if nothing more may be taken, except for short requests and for responses."""
        return self.excess_bytes > 0

    @property
    def is_full(self) -> bool:
        """True if no more requests are sent to servers: a response could take the process over its limit."""
        used_bytes = self.used_bytes
        if used_bytes <= self._exhausted_used_bytes:
            return False
        return used_bytes > self._full_used_bytes or self.resident_bytes > self._full_resident_bytes
