"""The program itself: its start, its exit codes, and what it says of a bad configuration."""

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
        (platform_document(), {"LB_LISTEN": "192.0.2.1:80"}),  # no address of this machine
        (platform_document(listen="127.0.0.1:0"), {}),
        (platform_document(), {"LB_OPS": "nowhere"}),
        (platform_document(ops=7), {}),
        (platform_document(), {"LB_INHERITED_FD": "three"}),
        (platform_document(), {"LB_INHERITED_FD": "2"}),  # no socket
    ],
)
def test_a_bad_configuration_is_one_plain_line_and_exit_2(
    tmp_path: Path, row: Any, environ: dict[str, str]
) -> None:
    """Guards the operator against a traceback, and against a node that runs on half a configuration."""
    process = start_node(tmp_path, row, **environ)
    _, errors = process.communicate(timeout=60)
    assert process.returncode == 2, errors
    assert errors.startswith("rosewheel: ")
    assert errors.count("\n") == 1


@pytest.mark.parametrize("siblings", [0, -3, 2.5, "many", [], True])
def test_a_malformed_count_of_nodes_is_named_at_the_start(tmp_path: Path, siblings: Any) -> None:
    """Guards a whole tier: its nodes share by this count what they may send."""
    process = start_node(tmp_path, platform_document(settings=PLATFORM_SETTINGS | {"siblings": siblings}))
    _, errors = process.communicate(timeout=60)
    assert process.returncode == 2, errors
    assert errors.startswith("rosewheel: ")
    assert "siblings: " in errors
    assert errors.count("\n") == 1


@pytest.mark.parametrize("row", [{}, {"siblings": None}])
def test_without_a_count_of_nodes_a_node_decides_as_one_by_itself(row: dict[str, Any]):
    config = {key: value for key, value in PLATFORM_SETTINGS.items() if key != "siblings"} | row
    settings = settings_from_json(config)
    assert settings.balancer_count == 1
    assert not Balancer(settings, 1, 0.0).parts.shared.in_large_fleet


REFUSING = """
import errno, os, socket, subprocess

def no(*_, **__):
    raise OSError(errno.ENOSYS, "refused here")

class Socket(socket.socket):
    def bind(self, address):
        no() if self.family == socket.AF_UNIX else super().bind(address)

    def connect(self, address):
        no() if self.family == socket.AF_UNIX else super().connect(address)

socket.socket = Socket
os.fork = os.posix_spawn = os.sendfile = os.splice = subprocess.Popen = no
"""


def test_what_the_platform_refuses_costs_nothing(tmp_path: Path) -> None:
    """Guards the days on which Unix sockets, other processes, splice and sendfile are refused: a node starts, says
    nothing of it, answers and ends as ever."""
    (tmp_path / "sitecustomize.py").write_text(REFUSING)
    port = free_port()
    more = {"PYTHONPATH": str(tmp_path), "TMPDIR": str(tmp_path)}
    process = start_node(tmp_path, platform_document(listen=f"127.0.0.1:{port}"), **more)
    with connect(process, port) as client:
        client.sendall(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
        assert client.recv(4096).startswith(b"HTTP/1.1 503 ")
        process.send_signal(signal.SIGTERM)
        assert client.recv(4096) == b""
    _, errors = process.communicate(timeout=60)
    assert process.returncode == 0
    assert "Traceback" not in errors


def asked(listener: socket.socket) -> str:
    """What the next one that connects asks for."""
    connection, _ = listener.accept()
    with connection:
        return connection.recv(4096).decode().split("\r\n")[0]


def test_sighup_reads_the_file_again(tmp_path: Path) -> None:
    """Guards the reload through the real program: the new file's discovery comes before LB_DISCOVERY, a bad
    file changes nothing, and neither ends the node."""
    port = free_port()
    with socket.create_server(("127.0.0.1", 0)) as old, socket.create_server(("127.0.0.1", 0)) as new:
        for listener in (old, new):
            listener.settimeout(60)
        first, second = (f"127.0.0.1:{listener.getsockname()[1]}" for listener in (old, new))
        row = platform_document(
            listen=f"127.0.0.1:{port}", settings=PLATFORM_SETTINGS | {"registryMode": "ask"}
        )
        process = start_node(tmp_path, row, LB_DISCOVERY=first)
        with connect(process, port):
            assert asked(old).startswith("GET /catalog/members?follow=1&since=1 ")
            path = tmp_path / "config.json"
            path.write_bytes(b"{")
            process.send_signal(signal.SIGHUP)
            assert process.stderr is not None
            lines = iter(process.stderr.readline, "")
            assert any("configuration not reloaded: error=LB_CONFIG" in line for line in lines)
            path.write_bytes(orjson.dumps({**row, "settings": PLATFORM_SETTINGS | {"siblings": "many"}}))
            process.send_signal(signal.SIGHUP)
            assert any("configuration not reloaded: error=" in line and "siblings" in line for line in lines)
            path.write_bytes(orjson.dumps({**row, "discovery": second}))
            process.send_signal(signal.SIGHUP)
            assert asked(new).startswith("GET /catalog/members?follow=1&since=1 ")
            process.send_signal(signal.SIGTERM)
            process.send_signal(signal.SIGHUP)
        _, errors = process.communicate(timeout=60)
    assert process.returncode == 0, errors
    assert "Traceback" not in errors


def test_sigterm_ends_a_node_with_0(tmp_path: Path) -> None:
    """Guards the planned restart, in a process of its own: the signal's way through the real program."""
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


def test_no_unix_socket_where_the_platform_holds_no_listener(tmp_path: Path) -> None:
    """On the large days nobody comes to one; it is there for upgrades, where two processes share a listener."""
    port = free_port()
    process = start_node(tmp_path, platform_document(listen=f"127.0.0.1:{port}"), TMPDIR=str(tmp_path))
    with connect(process, port):
        inodes = {
            os.readlink(item) for item in Path(f"/proc/{process.pid}/fd").iterdir() if item.is_symlink()
        }
        assert not [row for row in Path("/proc/net/unix").read_text().splitlines() if str(tmp_path) in row]
        assert inodes  # it is this process that was looked at
        process.send_signal(signal.SIGTERM)
    process.communicate(timeout=60)
    assert process.returncode == 0


SPOILS: list[Any] = [None, "x", "", -1, 0, 1e400, 1e300, True, [], {}, [1], {"a": 1}, float(2**70)]


def paths(value: Any, before: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    inner: list[tuple[Any, ...]] = []
    if isinstance(value, dict):
        inner = [path for key, item in value.items() for path in paths(item, (*before, key))]
    elif isinstance(value, list):
        inner = [path for at, item in enumerate(value) for path in paths(item, (*before, at))]
    return [before, *inner] if before else inner


WHOLE = platform_document(
    limits={"cores": 1.0, "memory_mb": 64, "sockets": 256},
    ops="127.0.0.1:7998",
    known={"seq": 1, "whole": True, "hosts": [entry("s", 9)]},
)


def names(said: str, path: tuple[Any, ...]) -> bool:
    """Whether what is said names the key, in its own words or in the module's; of what is no JSON, the place."""
    key = [part for part in path if isinstance(part, str)][-1]
    plain = said.lower().replace("_", "")
    inner = path == ("settings",) and "categories" in plain
    return key.lower().replace("_", "") in plain or inner or "when parsed" in said


@pytest.mark.parametrize("path", paths(WHOLE), ids=lambda path: ".".join(map(str, path)))
def test_a_spoilt_value_is_one_plain_line_or_does_no_harm(tmp_path: Path, path: tuple[Any, ...]) -> None:
    """Guards the start and the reload: whatever stands at a key, or is missing there, either the configuration is
    refused in one line, or a node can be made of it and takes a request."""
    file = tmp_path / "config.json"
    for spoil in (*SPOILS, "gone"):
        row = copy.deepcopy(WHOLE)
        place = row
        for key in path[:-1]:
            place = place[key]
        if spoil == "gone":
            del place[path[-1]]
        else:
            place[path[-1]] = spoil
        file.write_bytes(json.dumps(row).replace("Infinity", "1e400").encode())
        try:
            config = load_platform_config({"LB_CONFIG": str(file)})
        except ConfigError as error:
            said = str(error).removeprefix(f"LB_CONFIG: {file}: ")
            if "\n" in said or not names(said, path):
                pytest.fail(f"{path}: {said}")
            continue
        node = Node(config.settings, config.limits, config.seed, 0.0)
        entries = parse_endpoints(config.initial_endpoints.entries, ServerStartTimes())
        node.update_endpoints(0.0, EndpointListForm.CACHED, tuple(server for server, _ in entries))
        node.receive_request(1.0, RequestReceived("r", config.settings.classes[0].name, 900.0))
        for at in range(1, 40):
            node.tick(at * 100.0)
        assert node.active_requests == 0
