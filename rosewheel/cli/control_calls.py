"""HTTP calls of `rosewheel control` to a control machine. A failed call prints one line and ends the command."""

from __future__ import annotations

import http.client
import json
import sys
from typing import Any, NoReturn

import click

from rosewheel.config.address import Address, parse_address
from rosewheel.control.codec.calls import decode_error
from rosewheel.control.codec.values import JsonObject

RESPONSE_TIMEOUT_S = 10.0  # allows for a promotion, which calls each peer twice
EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
BAD_INPUT_STATUSES = (400, 404)


def call_machine(
    machine: str, method: str, target: str, body: JsonObject | None = None, follow_leader: bool = True
) -> JsonObject:
    """Call a control machine and return the JSON object in its response.

    Args:
        machine: Address of the machine, as ADDRESS:PORT.
        method: HTTP method.
        target: Path and query.
        body: Value to send as JSON; None for no body.
        follow_leader: Whether to repeat the call at the leader if the machine responds that it is not the leader.

    Raises:
        SystemExit: The call failed; the reason was printed.
    """
    status, content = _exchange(parse_machine_address(machine, "--at"), method, target, body)
    if follow_leader and status == 409:
        leader_address = decode_error(content).leader_address
        if leader_address:
            status, content = _exchange(parse_address(leader_address), method, target, body)
    if status != 200:
        click.echo(f"rosewheel: {decode_error(content).text or f'HTTP status {status}'}", err=True)
        sys.exit(EXIT_BAD_INPUT if status in BAD_INPUT_STATUSES else EXIT_FAILED)
    if not isinstance(content, dict):
        click.echo(f"rosewheel: {machine}: the response is not a JSON object", err=True)
        sys.exit(EXIT_FAILED)
    return content


def _exchange(address: Address, method: str, target: str, body: JsonObject | None) -> tuple[int, Any]:
    connection = http.client.HTTPConnection(*address, timeout=RESPONSE_TIMEOUT_S)
    try:
        connection.request(method, target, None if body is None else json.dumps(body).encode())
        response = connection.getresponse()
        return response.status, json.loads(response.read())
    except (OSError, http.client.HTTPException, ValueError) as error:
        click.echo(f"rosewheel: {address[0]}:{address[1]}: {error or type(error).__name__}", err=True)
        sys.exit(EXIT_FAILED)
    finally:
        connection.close()


def parse_machine_address(text: str, option: str) -> Address:
    """Parse the value of an option as ADDRESS:PORT.

    Raises:
        SystemExit: The value is malformed; a line with the option was printed.
    """
    try:
        return parse_address(text)
    except ValueError as error:
        exit_bad_input(f"{option}: {error}")


def exit_bad_input(text: str) -> NoReturn:
    """Exit because of invalid input, with one line."""
    click.echo(f"rosewheel: {' '.join(text.split())}", err=True)
    sys.exit(EXIT_BAD_INPUT)
