"""The one owner of what the requests of a connection hold: memory of bodies, heads and responses, and Request-Ids."""

from __future__ import annotations

from rosewheel.http.head_memory import HeadMemory
from rosewheel.http.request import DownstreamRequest
from rosewheel.http.request_ids import RequestIds


class HeldRequests:
    """The requests of one connection that were not released yet, wherever they are.

    A request is added once its head was read, and then moves to the queue and to the server. Whichever step fails,
    `release_all` still releases it when the connection ends.

    Args:
        request_ids: The Request-Ids that are in use, for all connections.
        head_memory: The memory of the heads of this connection.
    """

    __slots__ = ("_head_memory", "_request_ids", "_requests")

    def __init__(self, request_ids: RequestIds, head_memory: HeadMemory) -> None:
        self._request_ids = request_ids
        self._head_memory = head_memory
        self._requests: list[DownstreamRequest] = []

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, request: DownstreamRequest) -> None:
        """Hold a request until it is released."""
        self._requests.append(request)

    def release(self, request: DownstreamRequest) -> None:
        """Free what a request holds, after its response or its client's disconnect. A second call does nothing."""
        if request in self._requests:
            self._requests.remove(request)
        request.body.release()
        request.drop_response_buffer()
        self._head_memory.remove(request.head_bytes)
        request.drop_head()
        self._request_ids.release(request)

    def release_all(self) -> None:
        """Release all requests: the connection has ended, or answers none of them any more."""
        for request in list(self._requests):
            self.release(request)
