"""Encoding of the HTTP requests that the clients and emulated servers of the lab send."""

from __future__ import annotations

from dataclasses import dataclass

from rosewheel.policy.settings import Idempotency

METHODS = {
    Idempotency.IDEMPOTENT: b"GET",
    Idempotency.IDEMPOTENT_WITH_KEY: b"POST",
    Idempotency.NON_IDEMPOTENT: b"POST",
}
# Header names in lower case, as `wire.HttpRequest` stores them.
REQUEST_ID_HEADER = b"request-id"
CLASS_HEADER = b"request-class"
TIMEOUT_HEADER = b"request-timeout-ms"
DEDUP_KEY_HEADER = b"idempotency-key"
# Headers that only emulated servers read; nodes forward them unchanged.
SENDER_HEADER = b"lab-node"
OPERATION_HEADER = b"lab-op"
WORK_HEADER = b"lab-work"


@dataclass(slots=True, frozen=True)
class ClientRequest:
    """A request of a client or of an emulated server.

    Attributes:
        class_name: request class.
        idempotency: idempotency of the class, which determines the method.
        request_id: identifier of this attempt.
        timeout_ms: time that the sender waits for the response.
        sender: name of the node that receives the request and forwards it to a server.
        operation_id: identifier of the operation, the same for all its attempts.
        total_work_ms: work over all tiers, in ms of a reference core.
        dedup_key: key by which servers detect duplicates; sent only if the class is idempotent with a key.
        body_bytes: size of the body; a GET has none.
    """

    class_name: str
    idempotency: Idempotency
    request_id: str
    timeout_ms: float
    sender: str
    operation_id: str
    total_work_ms: float
    dedup_key: str
    body_bytes: int

    def encode(self) -> bytes:
        """Return the request as HTTP/1.1 bytes."""
        keyed = self.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
        length = 0 if self.idempotency is Idempotency.IDEMPOTENT else self.body_bytes
        name = self.class_name.encode()
        return b"".join(
            (
                b"%b /api/%b HTTP/1.1\r\n" % (METHODS[self.idempotency], name),
                b"Host: app.svc\r\n",
                b"Request-Id: %b\r\n" % self.request_id.encode(),
                b"Request-Class: %b\r\n" % name,
                b"Request-Timeout-Ms: %d\r\n" % max(1, int(self.timeout_ms)),
                b"Lab-Node: %b\r\n" % self.sender.encode(),
                b"Lab-Op: %b\r\n" % self.operation_id.encode(),
                b"Lab-Work: %.3f\r\n" % self.total_work_ms,
                b"Idempotency-Key: %b\r\n" % self.dedup_key.encode() if keyed else b"",
                b"Content-Length: %d\r\n\r\n" % length,
                b"x" * length,
            )
        )
