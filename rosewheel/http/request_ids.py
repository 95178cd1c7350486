"""The Request-Ids that are in use: while a request is received or served, no other one with its id is forwarded."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

from rosewheel.http.ended_request_ids import EndedRequestIds
from rosewheel.http.request import DownstreamRequest

MAX_REQUEST_ID_LENGTH = 256


class RequestIdClaims(Protocol):
    """Claims on Request-Ids that exclude the other process of the node during a hot restart."""

    def claim(self, id: str) -> bool:
        """Claim an id; return False if the other process has claimed it."""

    def release(self, id: str) -> None:
        """End the claim on an id, if there is one."""


class RequestIds:
    """The Request-Ids of the requests that this process is receiving or serving.

    An id is reserved once the head of its request was read, not only when the request is dispatched: until then the
    request may wait behind another one, or for its body. Servers must not receive a copy of it meanwhile.

    An id whose request may have had an effect stays in use after its end.

    Args:
        is_forwarded: Returns whether the node has a request with this id, or attempts of one.
        ended: Keeps the ids of ended requests that may have had an effect.

    Attributes:
        claims: Excludes the other process of the node; None while there is none.
        ended: The ids of ended requests that may have had an effect.
    """

    def __init__(self, is_forwarded: Callable[[str], bool], ended: EndedRequestIds) -> None:
        self.claims: RequestIdClaims | None = None
        self.ended = ended
        self._is_forwarded = is_forwarded
        self._requests: dict[str, DownstreamRequest] = {}
        self._migrated: set[str] = set()

    def reserve(self, request: DownstreamRequest) -> bool:
        """Reserve the id of a request; return False if another request has it, in whichever process of the node.

        Does nothing for a request without a valid id.
        """
        if not request.id:
            id = request.header(b"request-id")
            if not id or len(id) > MAX_REQUEST_ID_LENGTH:
                return True
            request.id = id
        if request.id in self._migrated or request.id in self.ended:
            return False
        if self._requests.setdefault(request.id, request) is not request:
            return False
        if self.claims is None or self.claims.claim(request.id):
            return True
        del self._requests[request.id]
        return False

    def release(self, request: DownstreamRequest) -> None:
        """Free the id of a request that has ended, if it was reserved; one that may have had an effect is kept."""
        if self._requests.get(request.id) is not request:
            return
        del self._requests[request.id]
        if request.may_have_effect:
            self.ended.add(request.id)
        if self.claims is not None and not self.is_in_use(request.id):
            self.claims.release(request.id)

    def is_in_use(self, id: str) -> bool:
        """Return whether a request of this process has the id, or had it and may have had an effect."""
        return id in self._requests or id in self._migrated or id in self.ended or self._is_forwarded(id)

    def share(self, claims: RequestIdClaims, forwarded: Iterable[str]) -> None:
        """Claim all ids that are in use, and from now on each one that is reserved.

        Args:
            claims: Excludes the other process.
            forwarded: The ids of the requests that the node has.
        """
        self.claims = claims
        self.ended.start_sharing()
        for id in {*self._requests, *self.ended, *forwarded}:
            claims.claim(id)

    def stop_sharing(self) -> None:
        """Claim no further ids: this process is the only one of its node."""
        self.claims = None
        self.ended.stop_sharing()

    def response_migrated(self, id: str) -> None:
        """Keep the id of a request whose response the other process continues: its claim excludes both processes."""
        self._migrated.add(id)

    def response_returned(self, id: str) -> None:
        """Handle that the other process did not take over the response."""
        self._migrated.discard(id)
