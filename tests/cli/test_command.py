"""The command as an operator runs it: a node with a TOML file, the demo, and the limit of log lines."""

from __future__ import annotations

import json
import logging
import signal
import socket
from pathlib import Path

import pytest

from rosewheel import logs
from tests.support.configurations import OPERATOR_TOML
from tests.support.processes import connect, free_port, start_command


def test_a_node_with_an_operators_file_logs_json_and_rejects_an_invalid_reload(tmp_path: Path) -> None:
    port = free_port()
    path = tmp_path / "node.toml"
    good = OPERATOR_TOML.replace("7999", str(port)) + '[log]\nform = "json"\n'
    path.write_text(good)
    process = start_command("node", "--config", str(path))
    with connect(process, port) as client:
        client.sendall(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
        assert client.recv(4096).startswith(b"HTTP/1.1 503 ")  # the node has no endpoints
    assert process.stderr is not None
    lines = iter(process.stderr.readline, "")
    assert any(json.loads(line)["event"].startswith("node started: name=") for line in lines)
    path.write_text(good.replace("[routing]", "[rooting]"))
    process.send_signal(signal.SIGHUP)
    row = next(row for row in map(json.loads, lines) if "configuration not reloaded" in row["event"])
    assert "rooting: unknown key" in row["event"]
    assert row["level"] == "error"
    process.send_signal(signal.SIGTERM)
    _, rest = process.communicate(timeout=60)
    assert process.returncode == 0, rest
    assert all(json.loads(line) for line in rest.splitlines())


def test_the_demo_serves_a_request_and_ends_cleanly_on_ctrl_c() -> None:
    process = start_command("demo")
    assert process.stdout is not None
    lines = iter(process.stdout.readline, "")
    node = next(line for line in lines if line.startswith("node"))
    assert any("requests" in line for line in lines)  # the load has started
    address = node.split("http://")[1].split()[0].split(":")
    with socket.create_connection((address[0], int(address[1])), timeout=60) as client:
        head = (
            "POST /api/subir-foto HTTP/1.1\r\nHost: a\r\nRequest-Id: by-hand\r\nRequest-Class: subir-foto\r\n"
        )
        client.sendall((head + "Request-Timeout-Ms: 3000\r\nContent-Length: 5\r\n\r\nphoto").encode())
        response = client.recv(4096)
    assert response.startswith(b"HTTP/1.1 200 ")
    assert b"by-hand" in response
    children = Path(f"/proc/{process.pid}/task/{process.pid}/children").read_text().split()
    assert len(children) == 1
    process.send_signal(signal.SIGINT)
    rest, errors = process.communicate(timeout=60)
    assert process.returncode == 0, errors
    assert rest.strip().endswith("ended")
    assert not errors
    assert not Path(f"/proc/{children[0]}").exists()


@pytest.mark.parametrize("json_lines", [False, True])
def test_log_lines_per_second_are_limited(json_lines: bool, capsys: pytest.CaptureFixture[str]) -> None:
    """Guards against a repeated error that floods the log, in either format."""
    root = logging.getLogger()
    before = root.handlers[:], root.level
    try:
        logs.start(json=json_lines)
        handler = root.handlers[0]
        record = logging.LogRecord("x", logging.INFO, "", 0, "a line", None, None)
        for _ in range(logs.LINES_PER_S * 3):
            handler.handle(record)  # all within the same second
        record.created += 1.0
        handler.handle(record)
    finally:
        root.handlers[:], root.level = before
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == logs.LINES_PER_S + 1
    if json_lines:
        assert {json.loads(line)["event"] for line in lines} == {"a line"}
