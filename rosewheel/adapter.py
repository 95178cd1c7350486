"""The simulator's adapter: reads batches on standard input, and writes replies on standard output.

It hosts the balancers of many nodes in one process, which share nothing; all decisions are those of `rosewheel.policy`.
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
    """One node: its balancer, and the names of the values in the load reports that it gets.

    Attributes:
        balancer: The policy of this node.
        report_fields: The names, in the order of the values.
    """

    def __init__(self, start: NodeStart, now_ms: float) -> None:
        self.balancer = Balancer(start.settings, start.seed, now_ms)
        self.report_fields = start.settings.report_fields


class NodeHost:
    """All nodes of one process.

    Attributes:
        nodes: The running nodes, by number.
        catalogs: Lists of servers that events refer to, by number.
        now_ms: The time of the current batch.
    """

    def __init__(self) -> None:
        self.nodes: dict[int, HostedNode] = {}
        self.catalogs: dict[int, tuple[Server, ...]] = {}
        self.now_ms = 0.0

    def handle(self, row: JsonObject) -> list[JsonObject]:
        """Handle one event, and return the lines of the actions that follow from it.

        A node that fails on an event is stopped, and reported by a PANIC; the others go on.

        Raises:
            SimulatorWireError: the event names no node.
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
    """Follows the lines of batches, and collects the reply of each.

    Attributes:
        host: The nodes that handle the events.
    """

    def __init__(self, host: NodeHost) -> None:
        self.host = host
        self._sequence: object = None
        self._in_batch = False
        self._reply: list[bytes] = []

    def read(self, line: bytes) -> bytes:
        """Handle one line; returns the complete reply at the end of a batch, and nothing before that.

        Raises:
            SimulatorWireError: the line is not a part of the wire, or not in its place.
        """
        row = decode_line(line)
        kind = row.get("kind")
        if kind == FRAME:
            self._begin_batch(row)
        elif not self._in_batch:
            raise SimulatorWireError(f"{kind!r} stands outside a batch")
        elif kind == GO:
            return self._end_batch()
        else:
            self._handle(kind, row)
        return b""

    def close(self) -> None:
        """The input has ended.

        Raises:
            SimulatorWireError: it ended within a batch.
        """
        if self._in_batch:
            raise SimulatorWireError("the input ended within a batch")

    def _begin_batch(self, row: JsonObject) -> None:
        if self._in_batch:
            raise SimulatorWireError("a batch begins within a batch")
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
        SimulatorWireError: the input is not the simulator's wire.
    """
    reader = BatchReader(NodeHost())
    for line in source:
        reply = reader.read(line)
        if reply:
            sink.write(reply)
            sink.flush()
    reader.close()


def main() -> int:
    """Run the adapter on standard input and output; returns the status to exit with."""
    try:
        run(sys.stdin.buffer, sys.stdout.buffer)
    except SimulatorWireError as error:
        print(f"rosewheel.adapter: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
