"""HTTP requests as the lab's clients and emulated servers send them, with the headers that only the lab reads."""

from __future__ import annotations

from dataclasses import dataclass

from rosewheel.policy.settings import Idempotency

METHODS = {
    Idempotency.IDEMPOTENT: b"GET",
    Idempotency.IDEMPOTENT_WITH_KEY: b"POST",
    Idempotency.NON_IDEMPOTENT: b"POST",
}
# Names of headers in the form in which `wire` gives them, in lower case.
REQUEST_ID_HEADER = b"request-id"
CLASS_HEADER = b"request-class"
TIMEOUT_HEADER = b"request-timeout-ms"
DEDUP_KEY_HEADER = b"idempotency-key"
# Read by emulated servers only; nodes pass them on.
SENDER_HEADER = b"lab-node"
OPERATION_HEADER = b"lab-op"
WORK_HEADER = b"lab-work"


@dataclass(slots=True, frozen=True)
class ClientRequest:
    """A request of a client or of an emulated server.

    Attributes:
        timeout_ms: how long the sender waits for the response.
        sender: name of the node to which the request is sent, and which sends it on.
        operation_id: identity of the operation, the same in all its attempts.
        total_work_ms: work over all tiers, in ms of a reference core.
        dedup_key: key under which servers drop repeats; sent only where the class is idempotent with a key.
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
        """The request as it is sent."""
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
