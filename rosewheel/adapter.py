"""Adapter for the simulator: reads batches of events from standard input, and writes replies to standard output.

It runs the independent balancers of many nodes in one process.
"""

from __future__ import annotations

import sys
import traceback
from typing import BinaryIO

from rosewheel.policy.balancer import Balancer
from rosewheel.policy.events import Server
from rosewheel.simulator_codec import (
    CATALOG,
    FRAME,
    GO,
    IGNORED_EVENTS,
    POWER_ON,
    STOP,
    JsonObject,
    NodeStart,
    SimulatorWireError,
    decode_batch_start,
    decode_catalog,
    decode_event,
    decode_line,
    decode_node_number,
    decode_node_start,
    encode_action,
    encode_line,
    encode_panic,
    encode_ready,
)

EXIT_BAD_INPUT = 2


class HostedNode:
    """One node: its balancer, and the field names of its load reports.

    Attributes:
        balancer: The balancer of the node.
        report_fields: The names of the values in a load report, in order.
    """

    def __init__(self, start: NodeStart, now_ms: float) -> None:
        self.balancer = Balancer(start.settings, start.seed, now_ms)
        self.report_fields = start.settings.report_fields


class NodeHost:
    """All nodes of one process.

    Attributes:
        nodes: The running nodes, by number.
        catalogs: The lists of servers that events refer to, by number.
        now_ms: The time of the current batch.
    """

    def __init__(self) -> None:
        self.nodes: dict[int, HostedNode] = {}
        self.catalogs: dict[int, tuple[Server, ...]] = {}
        self.now_ms = 0.0

    def handle(self, row: JsonObject) -> list[JsonObject]:
        """Handle an event, and return the resulting actions.

        If a node fails on an event, the node is stopped and reported with a PANIC. Other nodes are not affected.

        Raises:
            SimulatorWireError: The event has no node number.
        """
        kind = row.get("kind")
        if kind == CATALOG:
            number, servers = decode_catalog(row)
            self.catalogs[number] = servers
            return []
        number = decode_node_number(row)
        try:
            return self._handle_node_event(kind, number, row)
        except Exception as error:
            traceback.print_exc(file=sys.stderr)
            self.nodes.pop(number, None)
            return [encode_panic(number, kind, error)]

    def _handle_node_event(self, kind: object, number: int, row: JsonObject) -> list[JsonObject]:
        if kind == POWER_ON:
            self.nodes[number] = HostedNode(decode_node_start(row), self.now_ms)
            return []
        node = self.nodes.get(number)
        if node is None:
            raise ValueError(f"node {number} was never started")
        if kind == STOP:
            del self.nodes[number]
            return []
        if kind in IGNORED_EVENTS:
            return []
        event = decode_event(row, node.report_fields, self.catalogs)
        return [encode_action(number, action) for action in node.balancer.handle(self.now_ms, event)]


class BatchReader:
    """Reads batches line by line, and collects their replies.

    Attributes:
        host: The nodes that handle the events.
    """

    def __init__(self, host: NodeHost) -> None:
        self.host = host
        self._sequence: object = None
        self._in_batch = False
        self._reply: list[bytes] = []

    def read(self, line: bytes) -> bytes:
        """Handle a line; return the reply at the end of a batch, and empty bytes before it.

        Raises:
            SimulatorWireError: The line is invalid or out of order.
        """
        row = decode_line(line)
        kind = row.get("kind")
        if kind == FRAME:
            self._begin_batch(row)
        elif not self._in_batch:
            raise SimulatorWireError(f"{kind!r} outside a batch")
        elif kind == GO:
            return self._end_batch()
        else:
            self._handle(kind, row)
        return b""

    def close(self) -> None:
        """Handle the end of the input.

        Raises:
            SimulatorWireError: The input ended within a batch.
        """
        if self._in_batch:
            raise SimulatorWireError("the input ended within a batch")

    def _begin_batch(self, row: JsonObject) -> None:
        if self._in_batch:
            raise SimulatorWireError("FRAME within a batch")
        start = decode_batch_start(row)
        self.host.now_ms, self._sequence = start.now_ms, start.sequence
        self._in_batch, self._reply = True, []

    def _end_batch(self) -> bytes:
        self._in_batch = False
        self._reply.append(encode_line(encode_ready(self._sequence)))
        return b"\n".join(self._reply) + b"\n"

    def _handle(self, kind: object, row: JsonObject) -> None:
        try:
            self._reply.extend(encode_line(action) for action in self.host.handle(row))
        except (KeyError, TypeError, ValueError) as error:
            raise SimulatorWireError(f"{kind!r}: {type(error).__name__}: {error}") from error


def run(source: BinaryIO, sink: BinaryIO) -> None:
    """Reply to batches until the input ends.

    Raises:
        SimulatorWireError: The input is invalid.
    """
    reader = BatchReader(NodeHost())
    for line in source:
        reply = reader.read(line)
        if reply:
            sink.write(reply)
            sink.flush()
    reader.close()


def main() -> int:
    """Run the adapter on standard input and output; return the exit code."""
    try:
        run(sys.stdin.buffer, sys.stdout.buffer)
    except SimulatorWireError as error:
        print(f"rosewheel.adapter: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
