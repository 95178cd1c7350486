"""The node program: start, signals, exit codes, and errors of an invalid configuration."""

from __future__ import annotations

import copy
import json
import os
import signal
import socket
from pathlib import Path
from typing import Any

import orjson
import pytest

from rosewheel.config.errors import ConfigError
from rosewheel.config.platform import load_platform_config
from rosewheel.discovery.endpoint_list import parse_endpoints
from rosewheel.discovery.start_times import ServerStartTimes
from rosewheel.node.core import Node
from rosewheel.policy.balancer import Balancer
from rosewheel.policy.events import EndpointListForm, RequestReceived
from rosewheel.policy.settings_codec import settings_from_json
from tests.support.configurations import PLATFORM_SETTINGS, platform_document
from tests.support.processes import connect, free_port, start_node
from tests.support.sockets import entry


@pytest.mark.parametrize(
    ("row", "environ"),
    [
        (platform_document(), {"LB_CONFIG": ""}),
        (platform_document(), {"LB_CONFIG": "/nowhere"}),
        (b"{", {}),
        (b"[]", {}),
        ({"listen": "127.0.0.1:7999"}, {}),
        (platform_document(settings={}), {}),
        (platform_document(settings=PLATFORM_SETTINGS | {"categories": [{"name": "x"}]}), {}),
        (platform_document(settings=PLATFORM_SETTINGS | {"bounds": {"connIdleMs": "soon"}}), {}),
        (platform_document(known=[1]), {}),
        (platform_document(seed="zz"), {}),
        (platform_document(), {"LB_LISTEN": "nowhere"}),
        (platform_document(), {"LB_LISTEN": "127.0.0.1:99999"}),
        (platform_document(), {"LB_LISTEN": "192.0.2.1:80"}),  # not an address of this machine
        (platform_document(listen="127.0.0.1:0"), {}),
        (platform_document(), {"LB_OPS": "nowhere"}),
        (platform_document(ops=7), {}),
        (platform_document(), {"LB_INHERITED_FD": "three"}),
        (platform_document(), {"LB_INHERITED_FD": "2"}),  # not a socket
    ],
)
def test_an_invalid_configuration_is_one_line_and_exit_status_2(
    tmp_path: Path, row: Any, environ: dict[str, str]
) -> None:
    """Guards against a traceback, and against a node that runs with half a configuration."""
    process = start_node(tmp_path, row, **environ)
    _, errors = process.communicate(timeout=60)
    assert process.returncode == 2, errors
    assert errors.startswith("rosewheel: ")
    assert errors.count("\n") == 1


@pytest.mark.parametrize("siblings", [0, -3, 2.5, "many", [], True])
def test_an_invalid_number_of_balancers_is_reported_at_the_start(tmp_path: Path, siblings: Any) -> None:
    """Guards a tier against nodes that divide its load by a wrong number of balancers."""
    process = start_node(tmp_path, platform_document(settings=PLATFORM_SETTINGS | {"siblings": siblings}))
    _, errors = process.communicate(timeout=60)
    assert process.returncode == 2, errors
    assert errors.startswith("rosewheel: ")
    assert "siblings: " in errors
    assert errors.count("\n") == 1


@pytest.mark.parametrize("row", [{}, {"siblings": None}])
def test_without_a_number_of_balancers_a_node_assumes_that_it_is_the_only_one(row: dict[str, Any]):
    config = {key: value for key, value in PLATFORM_SETTINGS.items() if key != "siblings"} | row
    settings = settings_from_json(config)
    assert settings.balancer_count == 1
    assert not Balancer(settings, 1, 0.0).parts.shared.in_large_fleet


# A sitecustomize module that disables these calls.
DISABLED_CALLS = """
import errno, os, socket, subprocess

def fail(*_, **__):
    raise OSError(errno.ENOSYS, "disabled")

class Socket(socket.socket):
    def bind(self, address):
        fail() if self.family == socket.AF_UNIX else super().bind(address)

    def connect(self, address):
        fail() if self.family == socket.AF_UNIX else super().connect(address)

socket.socket = Socket
os.fork = os.posix_spawn = os.sendfile = os.splice = subprocess.Popen = fail
"""


def test_a_node_runs_without_unix_sockets_child_processes_splice_and_sendfile(tmp_path: Path) -> None:
    """Guards against a node that needs calls which the platform may refuse."""
    (tmp_path / "sitecustomize.py").write_text(DISABLED_CALLS)
    port = free_port()
    environ = {"PYTHONPATH": str(tmp_path), "TMPDIR": str(tmp_path)}
    process = start_node(tmp_path, platform_document(listen=f"127.0.0.1:{port}"), **environ)
    with connect(process, port) as client:
        client.sendall(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
        assert client.recv(4096).startswith(b"HTTP/1.1 503 ")
        process.send_signal(signal.SIGTERM)
        assert client.recv(4096) == b""
    _, errors = process.communicate(timeout=60)
    assert process.returncode == 0
    assert "Traceback" not in errors


def accept_request_line(listener: socket.socket) -> str:
    """Accept the next connection and return the request line that it sends."""
    connection, _ = listener.accept()
    with connection:
        return connection.recv(4096).decode().split("\r\n")[0]


def test_sighup_reloads_the_file(tmp_path: Path) -> None:
    """Guards the reload of a running node: the file's discovery address overrides LB_DISCOVERY, and an invalid file
    changes nothing."""
    port = free_port()
    with socket.create_server(("127.0.0.1", 0)) as old, socket.create_server(("127.0.0.1", 0)) as new:
        for listener in (old, new):
            listener.settimeout(60)
        old_address, new_address = (f"127.0.0.1:{listener.getsockname()[1]}" for listener in (old, new))
        row = platform_document(
            listen=f"127.0.0.1:{port}", settings=PLATFORM_SETTINGS | {"registryMode": "ask"}
        )
        process = start_node(tmp_path, row, LB_DISCOVERY=old_address)
        with connect(process, port):
            assert accept_request_line(old).startswith("GET /catalog/members?follow=1&since=1 ")
            path = tmp_path / "config.json"
            path.write_bytes(b"{")
            process.send_signal(signal.SIGHUP)
            assert process.stderr is not None
            lines = iter(process.stderr.readline, "")
            assert any("configuration not reloaded: error=LB_CONFIG" in line for line in lines)
            path.write_bytes(orjson.dumps({**row, "settings": PLATFORM_SETTINGS | {"siblings": "many"}}))
            process.send_signal(signal.SIGHUP)
            assert any("configuration not reloaded: error=" in line and "siblings" in line for line in lines)
            path.write_bytes(orjson.dumps({**row, "discovery": new_address}))
            process.send_signal(signal.SIGHUP)
            assert accept_request_line(new).startswith("GET /catalog/members?follow=1&since=1 ")
            process.send_signal(signal.SIGTERM)
            process.send_signal(signal.SIGHUP)
        _, errors = process.communicate(timeout=60)
    assert process.returncode == 0, errors
    assert "Traceback" not in errors


def test_sigterm_ends_a_node_with_0(tmp_path: Path) -> None:
    """Guards planned restarts: SIGTERM closes idle connections, and the process ends without an error."""
    port = free_port()
    process = start_node(tmp_path, platform_document(listen=f"127.0.0.1:{port}"))
    with connect(process, port) as client:
        client.sendall(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
        assert client.recv(4096).startswith(b"HTTP/1.1 503 ")
        process.send_signal(signal.SIGTERM)
        assert client.recv(4096) == b""  # an idle connection is closed, not reset
    _, errors = process.communicate(timeout=60)
    assert process.returncode == 0
    assert "Traceback" not in errors


def test_no_unix_socket_without_an_inherited_listener(tmp_path: Path) -> None:
    """The socket serves hot restarts, which need a listening socket that two processes share."""
    port = free_port()
    process = start_node(tmp_path, platform_document(listen=f"127.0.0.1:{port}"), TMPDIR=str(tmp_path))
    with connect(process, port):
        descriptors = {
            os.readlink(item) for item in Path(f"/proc/{process.pid}/fd").iterdir() if item.is_symlink()
        }
        assert not [row for row in Path("/proc/net/unix").read_text().splitlines() if str(tmp_path) in row]
        assert descriptors  # the process was still running
        process.send_signal(signal.SIGTERM)
    process.communicate(timeout=60)
    assert process.returncode == 0


REPLACEMENTS: list[Any] = [None, "x", "", -1, 0, 1e400, 1e300, True, [], {}, [1], {"a": 1}, float(2**70)]
REMOVED = "removed"  # stands for removing the key


def paths(value: Any, prefix: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """Return the paths of all keys and items of a JSON value."""
    inner: list[tuple[Any, ...]] = []
    if isinstance(value, dict):
        inner = [path for key, item in value.items() for path in paths(item, (*prefix, key))]
    elif isinstance(value, list):
        inner = [path for index, item in enumerate(value) for path in paths(item, (*prefix, index))]
    return [prefix, *inner] if prefix else inner


COMPLETE_DOCUMENT = platform_document(
    limits={"cores": 1.0, "memory_mb": 64, "sockets": 256},
    ops="127.0.0.1:7998",
    known={"seq": 1, "whole": True, "hosts": [entry("s", 9)]},
)


def names_key(message: str, path: tuple[Any, ...]) -> bool:
    """Return whether a message names the key, as spelled in the file or in the code, or comes from the JSON parser. For
    the settings as a whole it may name the missing key `categories`."""
    key = [part for part in path if isinstance(part, str)][-1]
    words = message.lower().replace("_", "")
    names_categories = path == ("settings",) and "categories" in words
    return key.lower().replace("_", "") in words or names_categories or "when parsed" in message


@pytest.mark.parametrize("path", paths(COMPLETE_DOCUMENT), ids=lambda path: ".".join(map(str, path)))
def test_any_value_at_any_key_is_rejected_in_one_line_or_usable(
    tmp_path: Path, path: tuple[Any, ...]
) -> None:
    """Guards the start and the reload: with any value at a key, or without the key, the configuration is rejected in
    one line, or a node starts with it and accepts a request."""
    file = tmp_path / "config.json"
    for replacement in (*REPLACEMENTS, REMOVED):
        document = copy.deepcopy(COMPLETE_DOCUMENT)
        parent = document
        for key in path[:-1]:
            parent = parent[key]
        if replacement == REMOVED:
            del parent[path[-1]]
        else:
            parent[path[-1]] = replacement
        file.write_bytes(json.dumps(document).replace("Infinity", "1e400").encode())
        try:
            config = load_platform_config({"LB_CONFIG": str(file)})
        except ConfigError as error:
            message = str(error).removeprefix(f"LB_CONFIG: {file}: ")
            if "\n" in message or not names_key(message, path):
                pytest.fail(f"{path}: {message}")
            continue
        node = Node(config.settings, config.limits, config.seed, 0.0)
        entries = parse_endpoints(config.initial_endpoints.entries, ServerStartTimes())
        node.update_endpoints(0.0, EndpointListForm.CACHED, tuple(server for server, _ in entries))
        node.receive_request(1.0, RequestReceived("r", config.settings.classes[0].name, 900.0))
        for step in range(1, 40):
            node.tick(step * 100.0)
        assert node.active_requests == 0
