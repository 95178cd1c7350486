"""What a start needs: what `run` imports, and many at once before an agent that says nothing."""

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

WAIT_S = 120.0  # a good run never gets near it, also on a machine that is busy
MANY = 30
PUSHED = PLATFORM_SETTINGS | {"registryMode": "push"}
OTHERS = {"uvloop", "httptools", "orjson"}
# Of the standard library, what no node needs at its start; asyncio and uvloop import ssl and others by themselves.
SPARED = {
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
SPARED_OWN = {
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


RUN = ("-m", "rosewheel")
WATCHED = """
import atexit, gc, runpy, sys
atexit.register(lambda: print("collects" if gc.isenabled() else "does not collect", file=sys.stderr))
runpy.run_module("rosewheel", run_name="__main__")
"""


def begin(
    folder: Path, host: str, port: int, agent: socket.socket, *flags: str, run: tuple[str, str] = RUN
) -> subprocess.Popen[str]:
    path = folder / f"{host}.json"
    listen, discovery = f"{host}:{port}", f"127.0.0.1:{agent.getsockname()[1]}"
    row = platform_document(name=host, listen=listen, discovery=discovery, settings=PUSHED)
    path.write_bytes(orjson.dumps(row | {"known": {"seq": 1, "whole": True, "hosts": [entry("s", 9)]}}))
    return subprocess.Popen(
        [sys.executable, *flags, *run],
        cwd=ROOT,
        # Without `site` in the way: an editable install imports much by itself.
        env={**os.environ, "LB_CONFIG": str(path), "PYTHONPATH": sysconfig.get_path("purelib")},
        stderr=subprocess.PIPE,
        text=True,
    )


def own_host(number: int) -> str:
    """An address of this machine that nothing else uses: a port that is free there stays so."""
    return f"127.{100 + os.getpid() % 100}.{os.getpid() // 100 % 250}.{number + 1}"


def free_port(host: str) -> int:
    with socket.create_server((host, 0)) as held:
        return int(held.getsockname()[1])


def health(host: str, port: int) -> bytes:
    with socket.create_connection((host, port), timeout=WAIT_S) as sock:
        sock.sendall(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
        return sock.recv(4096).split(b"\r\n")[0]


def serves(process: subprocess.Popen[str]) -> list[str]:
    """What it said up to the line with which it serves."""
    assert process.stderr is not None
    lines = []
    for line in process.stderr:
        lines.append(line)
        if " serves, " in line:
            return lines
    raise AssertionError(f"it ended with {process.wait()}: {lines[-20:]}")


def imported(lines: list[str]) -> set[str]:
    rows = [line for line in lines if line.startswith("import time:") and "[us]" not in line]
    return {line.rsplit("|", 1)[1].strip() for line in rows}


def test_a_start_imports_no_more_than_a_node_needs(tmp_path: Path):
    """Guards the restart of many on few cores, each of which pays for what it imports."""
    host = own_host(250)
    port = free_port(host)
    with socket.create_server(("127.0.0.1", 0), backlog=8) as agent:
        process = begin(tmp_path, host, port, agent, "-S", "-X", "importtime")
        names = imported(serves(process))
        assert health(host, port) == b"HTTP/1.1 200 OK"
        process.send_signal(signal.SIGTERM)
        _, rest = process.communicate(timeout=WAIT_S)
    names |= imported(rest.splitlines(keepends=True))  # also what an answer and the end of it need
    assert process.returncode == 0
    assert "rosewheel.proxy.proxy" in names
    tops = {name.partition(".")[0] for name in names}
    # `org` is a package of another interpreter, which `copy` looks for in vain.
    foreign = {top for top in tops - sys.stdlib_module_names - {"org"} if not top.startswith("_cython")}
    assert foreign == {"rosewheel", *OTHERS}
    assert not names & (SPARED | SPARED_OWN)
    assert not [name for name in names if name.startswith(("rosewheel.lab.", "rosewheel.cli."))]


def test_a_node_that_serves_collects_what_its_start_left_alone(tmp_path: Path):
    """Guards memory: while all is imported nothing is collected."""
    host = own_host(251)
    port = free_port(host)
    with socket.create_server(("127.0.0.1", 0), backlog=8) as agent:
        process = begin(tmp_path, host, port, agent, run=("-c", WATCHED))
        serves(process)
        process.send_signal(signal.SIGTERM)
        _, rest = process.communicate(timeout=WAIT_S)
    assert process.returncode == 0
    assert rest.splitlines()[-1] == "collects"


def test_many_that_start_at_once_serve_though_the_agent_is_silent(tmp_path: Path):
    """Guards a mass restart: each listens, and is healthy by the list as last known, whatever the agent does not
    say. How long that takes is measured by benchmarks/startup.py."""
    hosts = [own_host(number) for number in range(MANY)]
    ports = [free_port(host) for host in hosts]
    with contextlib.ExitStack() as stack, socket.create_server(("127.0.0.1", 0), backlog=MANY) as agent:
        agent.settimeout(WAIT_S)
        processes = [begin(tmp_path, host, port, agent) for host, port in zip(hosts, ports, strict=True)]
        for process in processes:
            stack.callback(process.kill)
        for _ in processes:  # each asks, and hears nothing
            watch = stack.enter_context(agent.accept()[0])
            watch.settimeout(WAIT_S)
            assert watch.recv(4096).startswith(b"GET /catalog/members?")
        for process, host, port in zip(processes, hosts, ports, strict=True):
            serves(process)
            assert health(host, port) == b"HTTP/1.1 200 OK"
        for process in processes:
            process.send_signal(signal.SIGTERM)
        for process in processes:
            _, errors = process.communicate(timeout=WAIT_S)
            assert process.returncode == 0, errors
            assert "Traceback" not in errors
