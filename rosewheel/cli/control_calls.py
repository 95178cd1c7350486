"""Calls of `rosewheel control` to a control machine. A call that fails ends the command with one plain line."""

from __future__ import annotations

import http.client
import json
import sys
from typing import Any, NoReturn

import click

from rosewheel.config.address import Address, parse_address
from rosewheel.control.codec.calls import decode_error
from rosewheel.control.codec.values import JsonObject

ANSWER_TIMEOUT_S = 10.0  # a promotion calls each peer twice
EXIT_NOT_DONE = 1
EXIT_BAD_INPUT = 2
BAD_INPUT_STATUSES = (400, 404)


def call_machine(
    machine: str, method: str, target: str, body: JsonObject | None = None, follow_leader: bool = True
) -> JsonObject:
    """Return the answer of a control machine, as a JSON object.

    Args:
        machine: ADDRESS:PORT as the operator gave it.
        method: HTTP method.
        target: Path and query.
        body: Value to send as JSON; None for no body.
        follow_leader: Repeat a call that only the leader takes at the address that the answer names.

    Raises:
        SystemExit: The call failed; the reason was printed.
    """
    status, answer = _exchange(parse_machine_address(machine, "--at"), method, target, body)
    if follow_leader and status == 409:
        leader_address = decode_error(answer).leader_address
        if leader_address:
            status, answer = _exchange(parse_address(leader_address), method, target, body)
    if status != 200:
        click.echo(f"rosewheel: {decode_error(answer).text or f'answered {status}'}", err=True)
        sys.exit(EXIT_BAD_INPUT if status in BAD_INPUT_STATUSES else EXIT_NOT_DONE)
    if not isinstance(answer, dict):
        click.echo(f"rosewheel: {machine}: not an answer of a control machine", err=True)
        sys.exit(EXIT_NOT_DONE)
    return answer


def _exchange(address: Address, method: str, target: str, body: JsonObject | None) -> tuple[int, Any]:
    connection = http.client.HTTPConnection(*address, timeout=ANSWER_TIMEOUT_S)
    try:
        connection.request(method, target, None if body is None else json.dumps(body).encode())
        response = connection.getresponse()
        return response.status, json.loads(response.read())
    except (OSError, http.client.HTTPException, ValueError) as error:
        click.echo(f"rosewheel: {address[0]}:{address[1]}: {error or type(error).__name__}", err=True)
        sys.exit(EXIT_NOT_DONE)
    finally:
        connection.close()


def parse_machine_address(text: str, option: str) -> Address:
    """Read ADDRESS:PORT.

    Raises:
        SystemExit: It is none; the option was printed.
    """
    try:
        return parse_address(text)
    except ValueError as error:
        exit_bad_input(f"{option}: {error}")


def exit_bad_input(text: str) -> NoReturn:
    """End the command for bad input, with one line."""
    click.echo(f"rosewheel: {' '.join(text.split())}", err=True)
    sys.exit(EXIT_BAD_INPUT)
