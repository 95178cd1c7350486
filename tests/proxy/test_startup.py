"""The start of a process: what it imports, and many starts at once while discovery is silent."""

from __future__ import annotations

import contextlib
import os
import signal
import socket
import subprocess
import sys
import sysconfig
from pathlib import Path

import orjson

from tests.support.configurations import PLATFORM_SETTINGS, platform_document
from tests.support.processes import ROOT
from tests.support.sockets import entry

WAIT_S = 120.0  # far above the duration of a successful run, even on a busy machine
NODE_COUNT = 30
PUSH_SETTINGS = PLATFORM_SETTINGS | {"registryMode": "push"}
THIRD_PARTY_MODULES = {"uvloop", "httptools", "orjson"}
# Modules of the standard library that a node must not import. asyncio and uvloop import ssl and others themselves.
UNNEEDED_STANDARD_MODULES = {
    *(
        "argparse",
        "csv",
        "decimal",
        "email",
        "fnmatch",
        "fractions",
        "getpass",
        "glob",
        "html",
        "http",
        "importlib.metadata",
    ),
    *(
        "ipaddress",
        "logging.config",
        "logging.handlers",
        "multiprocessing",
        "pathlib",
        "pickle",
        "pprint",
        "shutil",
    ),
    *("statistics", "tempfile", "tomllib", "unittest", "urllib", "urllib.parse", "xml", "zipfile"),
}
UNNEEDED_OWN_MODULES = {
    *(
        "rosewheel.adapter",
        "rosewheel.cli",
        "rosewheel.config.fleet_document",
        "rosewheel.config.operator_config",
        "rosewheel.config.operator_file",
        "rosewheel.config.operator_tables",
        "rosewheel.config.toml_file",
        "rosewheel.config.typed_tables",
        "rosewheel.lab",
        "rosewheel.simulator_codec",
    ),
    *("rosewheel.admin", "rosewheel.admin.codec", "rosewheel.admin.json_http"),
    *("rosewheel.admin.messages", "rosewheel.admin.server"),
}


RUN_NODE = ("-m", "rosewheel")
# Reports at the exit whether the garbage collector is enabled.
REPORT_GARBAGE_COLLECTION = """
import atexit, gc, runpy, sys
atexit.register(lambda: print("enabled" if gc.isenabled() else "disabled", file=sys.stderr))
runpy.run_module("rosewheel", run_name="__main__")
"""


def start_process(
    folder: Path, host: str, port: int, discovery: socket.socket, *flags: str, run: tuple[str, str] = RUN_NODE
) -> subprocess.Popen[str]:
    path = folder / f"{host}.json"
    listen, discovery_address = f"{host}:{port}", f"127.0.0.1:{discovery.getsockname()[1]}"
    document = platform_document(
        name=host, listen=listen, discovery=discovery_address, settings=PUSH_SETTINGS
    )
    path.write_bytes(orjson.dumps(document | {"known": {"seq": 1, "whole": True, "hosts": [entry("s", 9)]}}))
    return subprocess.Popen(
        [sys.executable, *flags, *run],
        cwd=ROOT,
        # Replaces the paths of `site`, which `-S` skips: with it an editable install would import further modules.
        env={**os.environ, "LB_CONFIG": str(path), "PYTHONPATH": sysconfig.get_path("purelib")},
        stderr=subprocess.PIPE,
        text=True,
    )


def own_host(number: int) -> str:
    """A loopback address that no other process uses, so that a free port on it stays free."""
    return f"127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250}.{number + 1}"


def free_port(host: str) -> int:
    with socket.create_server((host, 0)) as sock:
        return int(sock.getsockname()[1])


def health(host: str, port: int) -> bytes:
    with socket.create_connection((host, port), timeout=WAIT_S) as sock:
        sock.sendall(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
        return sock.recv(4096).split(b"\r\n")[0]


def wait_until_serving(process: subprocess.Popen[str]) -> list[str]:
    """Waits for the log line that the node has started; returns all lines up to it."""
    assert process.stderr is not None
    lines = []
    for line in process.stderr:
        lines.append(line)
        if " node started: name=" in line:
            return lines
    raise AssertionError(f"the process exited with {process.wait()}: {lines[-20:]}")


def imported_modules(lines: list[str]) -> set[str]:
    rows = [line for line in lines if line.startswith("import time:") and "[us]" not in line]
    return {line.rsplit("|", 1)[1].strip() for line in rows}


def test_a_node_imports_no_unneeded_modules(tmp_path: Path):
    """Imports slow down a simultaneous restart of many nodes on few cores."""
    host = own_host(250)
    port = free_port(host)
    with socket.create_server(("127.0.0.1", 0), backlog=8) as discovery:
        process = start_process(tmp_path, host, port, discovery, "-S", "-X", "importtime")
        names = imported_modules(wait_until_serving(process))
        assert health(host, port) == b"HTTP/1.1 200 OK"
        process.send_signal(signal.SIGTERM)
        _, rest = process.communicate(timeout=WAIT_S)
    # Includes imports for a response and for the shutdown.
    names |= imported_modules(rest.splitlines(keepends=True))
    assert process.returncode == 0
    assert "rosewheel.proxy.proxy" in names
    tops = {name.partition(".")[0] for name in names}
    # `copy` tries to import `org`, a package of Jython.
    foreign = {top for top in tops - sys.stdlib_module_names - {"org"} if not top.startswith("_cython")}
    assert foreign == {"rosewheel", *THIRD_PARTY_MODULES}
    assert not names & (UNNEEDED_STANDARD_MODULES | UNNEEDED_OWN_MODULES)
    assert not [name for name in names if name.startswith(("rosewheel.lab.", "rosewheel.cli."))]


def test_a_running_node_has_garbage_collection_enabled(tmp_path: Path):
    """It is disabled during the start; left disabled, reference cycles would leak."""
    host = own_host(251)
    port = free_port(host)
    with socket.create_server(("127.0.0.1", 0), backlog=8) as discovery:
        process = start_process(tmp_path, host, port, discovery, run=("-c", REPORT_GARBAGE_COLLECTION))
        wait_until_serving(process)
        process.send_signal(signal.SIGTERM)
        _, rest = process.communicate(timeout=WAIT_S)
    assert process.returncode == 0
    assert rest.splitlines()[-1] == "enabled"


def test_many_nodes_that_start_at_once_serve_while_discovery_is_silent(tmp_path: Path):
    """Each node listens and is healthy with the list from its configuration.

    benchmarks/startup.py measures how long that takes.
    """
    hosts = [own_host(number) for number in range(NODE_COUNT)]
    ports = [free_port(host) for host in hosts]
    with (
        contextlib.ExitStack() as stack,
        socket.create_server(("127.0.0.1", 0), backlog=NODE_COUNT) as discovery,
    ):
        discovery.settimeout(WAIT_S)
        processes = [
            start_process(tmp_path, host, port, discovery) for host, port in zip(hosts, ports, strict=True)
        ]
        for process in processes:
            stack.callback(process.kill)
        for _ in processes:  # each opens a watch, and gets no response
            watch = stack.enter_context(discovery.accept()[0])
            watch.settimeout(WAIT_S)
            assert watch.recv(4096).startswith(b"GET /catalog/members?")
        for process, host, port in zip(processes, hosts, ports, strict=True):
            wait_until_serving(process)
            assert health(host, port) == b"HTTP/1.1 200 OK"
        for process in processes:
            process.send_signal(signal.SIGTERM)
        for process in processes:
            _, errors = process.communicate(timeout=WAIT_S)
            assert process.returncode == 0, errors
            assert "Traceback" not in errors
