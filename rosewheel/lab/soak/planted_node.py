"""Runs a node with a planted fault, to show that a soak detects it.

`python -m rosewheel.lab.soak.planted_node NAME` patches classes of the node in its own process, and then runs the node.
"""

from __future__ import annotations

import asyncio
import random
import sys
from collections.abc import Callable
from typing import Any

from rosewheel.__main__ import main as run_node
from rosewheel.http import response_timer
from rosewheel.http.downstream_connection import DownstreamConnection
from rosewheel.http.ended_request_ids import EndedRequestIds
from rosewheel.http.errors import BadRequestError
from rosewheel.http.held_requests import HeldRequests
from rosewheel.http.request_reader import MAX_PIPELINED_REQUESTS, RequestReader
from rosewheel.http.response_timer import ResponseState
from rosewheel.http.turns import Turns
from rosewheel.http.upstream_connection import UpstreamConnection
from rosewheel.node.in_flight import InFlightRequest
from rosewheel.node.memory_account import BufferBudget, MemoryAccount
from rosewheel.node.request_table import RequestTable
from rosewheel.node.rules import RequestRules
from rosewheel.policy.actions import RejectRequest
from rosewheel.policy.attempts import Attempts
from rosewheel.policy.events import EndpointListForm
from rosewheel.policy.ranking import Ranking
from rosewheel.proxy.endpoints import EndpointUpdates
from rosewheel.proxy.requests import RequestHandler

PLANTED_SHARE = 0.03  # share of the requests or responses that a random plant affects
STEP_COST = 500  # additions for each chunk under step-for-each-chunk
DRAIN_DELAY_S = 1.0  # delay of endpoint updates under late-drain


def _stale_deadline() -> None:
    def time_left_ms(rules: RequestRules, _now: float, id: str, attempt: int) -> float:
        request = rules._table.requests.get(id)
        return 0.0 if request is None else request.attempts[attempt].timeout_ms

    _patch(RequestRules, "time_left_ms", time_left_ms)
    _patch(RequestHandler, "_waited_ms", lambda *_: 0.0)


def _rejects_pipelined() -> None:
    parse = RequestReader._parse

    def parse_all(reader: RequestReader, data: bytes) -> None:
        parse(reader, data)
        if reader.unparsed or len(reader.queued_requests) > MAX_PIPELINED_REQUESTS:
            reader.queued_requests.clear()
            reader.active_request = None
            reader._reject(BadRequestError(400, "too many requests ahead of their responses"))

    _patch(RequestReader, "_parse", parse_all)


def _unsafe_retry() -> None:
    _patch(Ranking, "_may_repeat", lambda *_: True)
    _patch(InFlightRequest, "may_have_been_executed", lambda *_, **__: False)


def _closes_over_request() -> None:
    dispatch = DownstreamConnection._dispatch

    def abort_some(connection: DownstreamConnection, request: Any) -> None:
        if random.random() < PLANTED_SHARE:
            connection.abort()
        else:
            dispatch(connection, request)

    _patch(DownstreamConnection, "_dispatch", abort_some)


def _late_drain() -> None:
    update = EndpointUpdates.list_updated

    def update_late(updates: EndpointUpdates, form: EndpointListForm, endpoints: Any) -> None:
        if form is EndpointListForm.DELTA and endpoints:
            asyncio.get_running_loop().call_later(DRAIN_DELAY_S, update, updates, form, endpoints)
        else:
            update(updates, form, endpoints)

    _patch(EndpointUpdates, "list_updated", update_late)


def _ignores_disconnects() -> None:
    _patch(RequestHandler, "client_disconnected", lambda *_: None)
    _patch(DownstreamConnection, "close_if_disconnected", lambda *_: False)
    _patch(DownstreamConnection, "eof_received", lambda *_: True)


def _second_response() -> None:
    respond = DownstreamConnection._send_response

    def respond_twice(connection: DownstreamConnection, *arguments: Any, **more: Any) -> None:
        respond(connection, *arguments, **more)
        if random.random() < PLANTED_SHARE:
            respond(connection, *arguments, **more)

    _patch(DownstreamConnection, "_send_response", respond_twice)


def _rejects_executed() -> None:
    def reject(attempts: Attempts, state: Any) -> list[Any]:
        return [RejectRequest(state.request.id, 0.0), *attempts.end(state)]

    _patch(Attempts, "respond", reject)


def _unbounded_memory() -> None:
    _patch(MemoryAccount, "is_scarce", False)
    _patch(MemoryAccount, "is_exhausted", False)
    _patch(MemoryAccount, "excess_bytes", 0)
    _patch(BufferBudget, "exceeded", False)


def _cuts_pauses() -> None:
    _patch(UpstreamConnection, "response_state", ResponseState.SHORT)
    _patch(UpstreamConnection, "may_repeat", lambda _: True)
    _patch(response_timer, "RESPONSE_PAUSE_TIMEOUT_S", 0.2)


def _step_for_each_chunk() -> None:
    append = RequestReader._append_body_parts

    def append_slowly(reader: RequestReader) -> None:
        for _ in reader._body_parts:
            sum(range(STEP_COST))
        append(reader)

    _patch(RequestReader, "_append_body_parts", append_slowly)
    _patch(Turns, "delay_s", lambda *_: 0.0)


def _forgets_ids() -> None:
    _patch(EndedRequestIds, "__contains__", lambda *_: False)


def _leaks_requests() -> None:
    _patch(HeldRequests, "release", lambda *_: None)
    _patch(HeldRequests, "release_all", lambda *_: None)


def _timers_by_id() -> None:
    def time_left_ms(rules: RequestRules, now: float, id: str, attempt: int) -> float:
        request = rules._table.requests[id]
        return min(request.attempts[attempt].timeout_ms, request.deadline_ms - now)

    _patch(RequestTable, "owner", lambda table, timer: table.requests.get(timer.subject))
    _patch(RequestRules, "time_left_ms", time_left_ms)


PLANTS: dict[str, Callable[[], None]] = {
    "stale-deadline": _stale_deadline,
    "rejects-pipelined": _rejects_pipelined,
    "unsafe-retry": _unsafe_retry,
    "closes-over-request": _closes_over_request,
    "late-drain": _late_drain,
    "ignores-disconnects": _ignores_disconnects,
    "second-response": _second_response,
    "rejects-executed": _rejects_executed,
    "unbounded-memory": _unbounded_memory,
    "cuts-pauses": _cuts_pauses,
    "step-for-each-chunk": _step_for_each_chunk,
    "forgets-ids": _forgets_ids,
    "leaks-requests": _leaks_requests,
    "timers-by-id": _timers_by_id,
}


def _patch(owner: Any, name: str, replacement: Any) -> None:
    setattr(owner, name, replacement)


if __name__ == "__main__":
    PLANTS[sys.argv.pop(1)]()
    sys.exit(run_node())
