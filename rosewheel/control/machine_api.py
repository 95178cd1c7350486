"""HTTP API of a control machine: watches of nodes and machines, heartbeats, and operator requests."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from typing import NamedTuple
from urllib.parse import parse_qs

import orjson

from rosewheel.admin.json_http import ConnectionLimits, JsonConnection, JsonRequest, JsonResponse
from rosewheel.control.codec import calls as codec
from rosewheel.control.codec import paths
from rosewheel.control.codec.status import decode_all_nodes, decode_local_only
from rosewheel.control.codec.values import JsonObject
from rosewheel.control.codec.watch import decode_acknowledgements, decode_watch_request, is_watch_query
from rosewheel.control.documents import document_for_service
from rosewheel.control.errors import (
    MalformedMessageError,
    NotLeaderError,
    NotPromotableError,
    NotReplicatedError,
    RevisionConflictError,
    UnknownRevisionError,
    WriteUnavailableError,
)
from rosewheel.control.machine_parts import MachineParts
from rosewheel.control.machine_status import StatusReporter
from rosewheel.control.messages import (
    ChangeResponse,
    ErrorResponse,
    HistoryResponse,
    MachineState,
    NodeStatus,
    WatchRequest,
)
from rosewheel.control.promotion import COMMIT_TIMEOUT_S, Promotion
from rosewheel.control.resumption import Resumption
from rosewheel.control.revisions import Change
from rosewheel.control.validation import MAX_DOCUMENT_BYTES, validate_patch
from rosewheel.control.watches import Watch

log = logging.getLogger("rosewheel.control")

# The largest bodies are a document and a batch of node statuses (120 kB for 540 nodes).
CALL_LIMITS = ConnectionLimits(
    max_request_bytes=4 * MAX_DOCUMENT_BYTES, receive_timeout_s=5.0, send_timeout_s=5.0, idle_timeout_s=30.0
)


class _Route(NamedTuple):
    method: str
    handler: Callable[[JsonObject], Awaitable[JsonResponse]]


class MachineApi:
    """Handles the requests of all connections to one control machine."""

    def __init__(
        self, parts: MachineParts, process_id: str, promotion: Promotion, resumption: Resumption
    ) -> None:
        """Set up the routes.

        Args:
            parts: Parts of the machine.
            process_id: Random identifier of this process.
            promotion: Promotes the machine.
            resumption: Has the machine lead again after a restart.
        """
        self._process_id = process_id
        self._settings, self._store, self._nodes = parts.settings, parts.store, parts.nodes
        self._watches, self._peers, self._clock = parts.watches, parts.peers, parts.clock
        self._connections: dict[JsonConnection, None] = {}
        self._status_reporter = StatusReporter(parts)
        self._promotion, self._resumption = promotion, resumption
        self._routes = {
            paths.CONFIG_PATH: _Route("GET", self._config),
            paths.ACKNOWLEDGE_PATH: _Route("POST", self._acknowledge),
            paths.HEARTBEAT_PATH: _Route("POST", self._heartbeat),
            paths.FENCE_PATH: _Route("POST", self._fence),
            paths.PUT_PATH: _Route("POST", self._put),
            paths.HISTORY_PATH: _Route("GET", self._history),
            paths.ROLLBACK_PATH: _Route("POST", self._rollback),
            paths.STATUS_PATH: _Route("GET", self._status),
            paths.PROMOTE_PATH: _Route("POST", self._promote),
        }

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self._connections):
            connection.abort()

    def connection_opened(self, connection: JsonConnection) -> None:
        """Register a new connection."""
        self._connections[connection] = None

    def connection_closed(self, connection: JsonConnection) -> None:
        """Remove an ended connection; if it was a node's watch, record that the node is disconnected."""
        self._connections.pop(connection, None)
        node = self._watches.closed(connection)
        if node:
            self._nodes.disconnected(node, self._settings.name, self._clock.time())

    async def handle(self, request: JsonRequest, connection: JsonConnection) -> JsonResponse | None:
        """Return the response to a request; None if the connection has become a watch."""
        path, _, query_text = request.target.partition("?")
        route = self._routes.get(path)
        if route is None:
            return _error_response(404, "unknown path; available paths: " + ", ".join(self._routes))
        if request.method != route.method:
            error = ErrorResponse(f"{path} requires method {route.method}")
            return JsonResponse(405, codec.encode_error(error), allow=route.method)
        query = {key: values[-1] for key, values in parse_qs(query_text, keep_blank_values=True).items()}
        try:
            if path == paths.CONFIG_PATH and is_watch_query(query):
                return await self._open_watch(decode_watch_request(query), connection)
            return await route.handler(query if request.method == "GET" else _json_object(request.body))
        except UnknownRevisionError as error:
            return _error_response(404, str(error))
        except NotLeaderError as error:
            return self._not_leader_response(error)
        except (RevisionConflictError, NotPromotableError) as error:
            return _error_response(409, str(error), self._store.replica.last.number)
        except (WriteUnavailableError, NotReplicatedError) as error:
            return _error_response(503, str(error), self._store.replica.last.number)
        except ValueError as error:  # malformed request or invalid document
            return _error_response(400, str(error))
        except OSError as error:
            log.error("call failed: %s, path=%s", error, path)
            return _error_response(500, f"{self._settings.name} could not write to its log: {error}")

    def _not_leader_response(self, error: NotLeaderError) -> JsonResponse:
        leader = self._store.replica.highest_epoch_seen.leader
        address = ""
        if leader in self._settings.peers:
            address = "{}:{}".format(*self._settings.peers[leader])
        return JsonResponse(409, codec.encode_error(ErrorResponse(str(error), leader, address)))

    # Requests of nodes and machines.

    async def _open_watch(self, request: WatchRequest, connection: JsonConnection) -> JsonResponse | None:
        if request.peer not in self._settings.peers and not request.node:
            return _error_response(
                400, "a watch requires the parameter node, or peer with the name of a control machine"
            )
        # The watcher may have seen a higher epoch than this machine.
        await self._store.observe_epoch(request.received.epoch)
        if connection.transport is None:
            return None  # disconnected in the meantime
        if not request.peer:
            self._record_connected(request)
        node = "" if request.peer else request.node
        self._watches.open(Watch(connection, request.received, request.service, node, request.peer))
        return None

    def _record_connected(self, request: WatchRequest) -> None:
        machine, now_s = self._settings.name, self._clock.time()
        if request.received_is_applied:
            status = NodeStatus(request.node, request.service, machine, request.stamp, request.received)
            self._nodes.record(status, now_s)
        else:
            self._nodes.connected(request.node, request.service, machine, request.stamp, now_s)

    async def _acknowledge(self, row: JsonObject) -> JsonResponse:
        now_s = self._clock.time()
        for acknowledgement in decode_acknowledgements(row):
            status = NodeStatus(
                acknowledgement.node,
                acknowledgement.service,
                self._settings.name,
                acknowledgement.stamp,
                acknowledgement.applied,
                acknowledgement.rejected,
                acknowledgement.reason,
                connected=acknowledgement.node in self._watches.connection_by_node,
            )
            self._nodes.record(status, now_s)
        return JsonResponse(200, {})

    async def _heartbeat(self, row: JsonObject) -> JsonResponse:
        heartbeat = codec.decode_heartbeat(row)
        peer = self._peers.get(heartbeat.machine)
        if peer is None:
            name = self._settings.name
            raise MalformedMessageError(f"machine: {heartbeat.machine!r} is not a peer of {name}")
        await peer.peer_reported(heartbeat.highest_epoch_seen, heartbeat.last, heartbeat.digest)
        now_s = self._clock.time()
        for status in heartbeat.node_statuses or ():
            self._nodes.record(status, now_s)
        return JsonResponse(200, codec.encode_machine_state(self._state()))

    async def _fence(self, row: JsonObject) -> JsonResponse:
        epoch = codec.decode_fence(row)
        await self._store.observe_epoch(epoch)
        is_fenced = self._store.replica.highest_epoch_seen == epoch
        return JsonResponse(200, codec.encode_fence_response(self._state(is_fenced)))

    def _state(self, is_fenced: bool = False) -> MachineState:
        replica = self._store.replica
        return MachineState(
            self._settings.name,
            self._process_id,
            replica.highest_epoch_seen,
            replica.last,
            is_fenced,
            replica.last_digest,
        )

    # Requests of operators.

    async def _config(self, query: JsonObject) -> JsonResponse:
        replica = self._store.replica
        document = replica.committed_document
        if service := codec.decode_config_service(query):
            document = document_for_service(document, service)
        return JsonResponse(200, codec.encode_configuration(replica.committed, document))

    async def _put(self, row: JsonObject) -> JsonResponse:
        request = codec.decode_put(row)
        validate_patch(request.patch)
        await self._resumption.wait()
        return await self._change_response(await self._store.put(request))

    async def _rollback(self, row: JsonObject) -> JsonResponse:
        await self._resumption.wait()
        return await self._change_response(await self._store.rollback(codec.decode_rollback(row)))

    async def _change_response(self, change: Change | None) -> JsonResponse:
        if change is None:
            response = ChangeResponse(self._store.replica.last, changed=False)
        else:
            await self._store.wait_committed(change.revision, COMMIT_TIMEOUT_S)
            response = ChangeResponse(change.revision, changed=True)
        return JsonResponse(200, codec.encode_change_response(response))

    async def _history(self, query: JsonObject) -> JsonResponse:
        limit = codec.decode_history_limit(query)
        history = self._store.replica.history
        response = HistoryResponse(
            self._settings.name,
            oldest=history.snapshot.revision.number,
            changes=tuple(reversed(history.changes[-limit:])),
        )
        return JsonResponse(200, codec.encode_history(response))

    async def _status(self, query: JsonObject) -> JsonResponse:
        return JsonResponse(
            200, await self._status_reporter.encoded_report(decode_local_only(query), decode_all_nodes(query))
        )

    async def _promote(self, row: JsonObject) -> JsonResponse:
        response = await self._promotion.run(codec.decode_promote(row))
        return JsonResponse(200, codec.encode_change_response(response))


def _json_object(body: bytes) -> JsonObject:
    row = orjson.loads(body or b"{}")
    if not isinstance(row, dict):
        raise MalformedMessageError("body is not a JSON object")
    return row


def _error_response(status: int, text: str, current: int | None = None) -> JsonResponse:
    return JsonResponse(status, codec.encode_error(ErrorResponse(text, current=current)))
