"""Codec of the admin API: maps paths, queries and JSON keys to messages and back."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from urllib.parse import parse_qs

from rosewheel.admin.json_http import JsonResponse
from rosewheel.admin.messages import (
    AdminError,
    AdminRequest,
    CordonServer,
    CordonState,
    GetHealth,
    GetStatistics,
    Health,
    MethodNotAllowedError,
    ServerParameterError,
    UncordonServer,
    UnknownPathError,
    UnknownServerError,
)
from rosewheel.node.statistics import StatisticsSnapshot


@dataclass(slots=True, frozen=True)
class _Route:
    """The method of a path, and one of two constructors of its request: without or with a server."""

    method: str
    request: Callable[[], AdminRequest] | None = None
    request_for_server: Callable[[str], AdminRequest] | None = None


_ROUTES = {
    "/admin/health": _Route("GET", GetHealth),
    "/admin/stats": _Route("GET", GetStatistics),
    "/admin/cordon": _Route("POST", request_for_server=CordonServer),
    "/admin/uncordon": _Route("POST", request_for_server=UncordonServer),
}


def decode_request(method: str, target: str) -> AdminRequest:
    """Decode the request with this method and target.

    Raises:
        AdminError: The path, method or query is invalid.
    """
    path, _, query = target.partition("?")
    route = _ROUTES.get(path)
    if route is None:
        raise UnknownPathError(_ROUTES)
    if method != route.method:
        raise MethodNotAllowedError(path, route.method)
    if route.request is not None:
        return route.request()
    servers = parse_qs(query).get("member", [])
    if route.request_for_server is None or len(servers) != 1 or not servers[0]:
        raise ServerParameterError(path)
    return route.request_for_server(servers[0])


def encode_response(response: Health | StatisticsSnapshot | CordonState) -> JsonResponse:
    """Encode a response as JSON."""
    match response:
        case Health(serving=serving):
            return JsonResponse(200 if serving else 503, {"serving": serving})
        case StatisticsSnapshot():
            return JsonResponse(200, encode_statistics(response))
        case CordonState(by_fleet=True):
            # Tells the operator that the server still gets no new requests.
            return JsonResponse(200, {"member": response.server, "cordoned": True, "by": "fleet"})
        case CordonState():
            return JsonResponse(200, {"member": response.server, "cordoned": response.cordoned})


def encode_error(error: AdminError) -> JsonResponse:
    """Encode an error as JSON."""
    body = {"error": str(error)}
    match error:
        case UnknownPathError() | UnknownServerError():
            return JsonResponse(404, body)
        case MethodNotAllowedError(allowed=allowed):
            return JsonResponse(405, body, allow=allowed)
        case ServerParameterError():
            return JsonResponse(400, body)
        case _:
            return JsonResponse(500, body)


def encode_statistics(snapshot: StatisticsSnapshot) -> dict[str, object]:
    """Map statistics to the keys of /admin/stats."""
    return {
        "responses": {
            name: {"ok": counters.ok, "shed": counters.shed, "errors": counters.errors}
            for name, counters in snapshot.classes.items()
        },
        "tries": snapshot.attempts,
        "active": snapshot.active_requests,
        "pool_size": snapshot.endpoints,
        "pool_ejected": snapshot.cordoned_endpoints,
        "verdicts": snapshot.rules.verdicts,
        "violations": snapshot.rules.violations,
    }
