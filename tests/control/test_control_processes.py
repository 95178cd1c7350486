"""Control machines and nodes as the processes that they are: killed, started by hand, joined to a node."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import urllib.request
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from rosewheel.control.durable_log import LOG_FILE_NAME, DurableLog
from rosewheel.control.http_client import HttpCallError, JsonHttpClient
from tests.cli.test_command import started
from tests.cli.test_run import connect, free_port, good, start
from tests.lab.test_scenario import OPERATOR
from tests.support.control_child import FaultyLog
from tests.support.control_machines import machines
from tests.support.sockets import run, until

CHILD = Path(__file__).parent.parent / "support" / "control_child.py"


@pytest.mark.parametrize("point", ["before", "half", "written", "synced"])
def test_no_acknowledged_change_is_lost_when_the_writer_is_killed_at_any_point_of_a_put(
    tmp_path: Path, point: str
):
    """A real process, killed by itself at that point; c2 lives here and follows it."""

    async def child(bed: Any, point: str, nth: int) -> asyncio.subprocess.Process:
        address = "{}:{}".format(*bed.addresses["c1"])
        peer = "c2={}:{}".format(*bed.addresses["c2"])
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, str(CHILD), "c1", address, str(tmp_path / "c1"), peer, point, str(nth)),
            stdout=asyncio.subprocess.PIPE,
            env={**os.environ, "PYTHONPATH": str(CHILD.parents[2])},
        )
        assert process.stdout is not None
        assert await process.stdout.readline() == b"ready\n"
        return process

    async def main() -> None:
        async with machines(tmp_path, 2) as bed:
            await bed.stop("c1")
            (tmp_path / "c1" / LOG_FILE_NAME).unlink()
            process = await child(bed, point, 5)  # the first record is the epoch, the others are changes
            acknowledged = []
            client = JsonHttpClient(bed.addresses["c1"])
            with contextlib.suppress(HttpCallError):
                for at in range(1, 10):
                    patch = {"limits": {"max_open": at}}
                    code, row = 503, {}
                    while code == 503:  # before the first version all have to be heard of; the run is bounded
                        row = {"patch": patch, "version": at - 1}
                        code, row = await client.call("POST", "/control/put", row, timeout_s=20.0)
                    assert code == 200, row
                    acknowledged.append(patch)
            assert await process.wait() == -signal.SIGKILL
            assert len(acknowledged) == 3
            process = await child(bed, "never", 0)
            code, row = await client.call("GET", "/control/history?most=100")
            kept = [change["patch"] for change in reversed(row["versions"])]
            assert kept[:3] == acknowledged
            # What was on disk and not acknowledged may stay, and is then the same on both.
            patch = {"cordons": ["entrada-1"]}
            code, version = 503, len(kept)
            while code == 503:
                row = {"patch": patch, "version": version}
                code, row = await client.call("POST", "/control/put", row, timeout_s=20.0)
            assert code == 200, row
            await until(lambda: bed.services["c2"].store.replica.last.number == version + 1)
            _, row = await bed.call("c2", "GET", "/control/history?most=100")
            assert [change["patch"] for change in reversed(row["versions"])] == [*kept, patch]
            process.kill()
            await process.wait()
            client.close()

    run(main())


def test_the_faulty_log_of_these_tests_is_a_log_where_it_has_no_fault(tmp_path: Path):
    disk = FaultyLog(tmp_path, "never", 0)
    disk.append([{"a": 1}])
    disk.close()
    assert DurableLog(tmp_path).records == [{"a": 1}]


def quiet_port() -> int:
    """One that is free and that the system gives to no connection of its own accord: between the look and the use of it
    a machine starts, which takes a while."""
    while True:
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", random.randrange(12000, 32000)))
            return int(sock.getsockname()[1])


@contextlib.contextmanager
def fleet(tmp_path: Path, count: int = 2) -> Iterator[tuple[list[str], list[subprocess.Popen[str]]]]:
    """Control machines by the command, and where they listen."""
    ports = [quiet_port() for _ in range(count)]
    addresses = [f"127.0.0.1:{port}" for port in ports]
    peers = [f"--peer=c{at + 1}={address}" for at, address in enumerate(addresses)]
    processes = [
        started(
            *("control", "serve", "--name", f"c{at + 1}", "--listen", address, "--writer", "c1"),
            *("--dir", str(tmp_path / f"c{at + 1}"), *peers),
        )
        for at, address in enumerate(addresses)
    ]
    try:
        for process in processes:
            assert process.stdout is not None
            line = process.stdout.readline()
            assert "listens at" in line, process.communicate()
        yield addresses, processes
    finally:
        for process in processes:
            process.kill()
            process.communicate()


def asked(*arguments: str) -> tuple[int, str, str]:
    process = started("control", *arguments)
    out, errors = process.communicate(timeout=60)
    return process.returncode, out.strip(), errors.strip()


TRIES = 40  # of a command, each of which takes a good part of a second: what comes late comes by then


def put(path: Path, at: str) -> tuple[int, str, str]:
    """Before the first version all machines have to be heard of; that takes a moment."""
    for _ in range(TRIES):
        told = asked("put", str(path), "--at", at, "--by", "ana")
        if "heard of" not in told[2]:
            return told
    raise AssertionError(told)


def test_a_node_by_the_operators_file_has_in_force_what_the_command_puts(tmp_path: Path):
    with fleet(tmp_path) as (addresses, processes):
        port, ops = quiet_port(), quiet_port()
        path, change = tmp_path / "node.toml", tmp_path / "change.toml"
        state = tmp_path / "state"
        state.mkdir()
        machines = json.dumps([f"c{at + 1}={address}" for at, address in enumerate(addresses)])
        control = f'[control]\nmachines = {machines}\nservice = "fotos"\n'
        own = OPERATOR.replace("7999", str(port)).replace(
            "[node]", f'[node]\nname = "n7"\nops = "127.0.0.1:{ops}"\nstate_dir = "{state}"'
        )
        path.write_text(own + control)
        node = started("node", "--config", str(path))
        connect(node, port).close()
        assert node.stderr is not None
        lines = iter(node.stderr.readline, "")
        change.write_text(
            '[services.fotos]\ncordons = ["entrada-9"]\n[services.fotos.limits]\nmax_open = 77\n'
        )
        assert put(change, addresses[1]) == (0, "version 1", "")
        assert any("version 1 of epoch 1 (c1) is in force" in line for line in lines)
        for _ in range(TRIES):
            told = asked("status", "--all", "--at", addresses[1])
            if told[0] == 0 and "in force at 1," in told[1]:
                break
        else:
            raise AssertionError(told)
        assert "n7 (fotos, at c" in told[1]
        change.write_text('[[services.fotos.class]]\nname = "comentario"\naim_ms = 9\ngive_up_ms = 5\n')
        code, out, errors = asked("put", str(change), "--at", addresses[0])
        assert (code, out) == (2, "")
        assert errors.startswith("rosewheel: services.fotos.class[0].aim_ms: ")
        # SIGHUP: the node's own file under what control says.
        path.write_text(own.replace("cold_from = 0.2", "cold_from = 0.3") + control)
        node.send_signal(signal.SIGHUP)
        assert any("was read again" in line for line in lines)
        path.write_text(own)
        node.send_signal(signal.SIGHUP)
        assert any("control: changes only with a restart" in line for line in lines)
        path.write_text(own + control)
        # A node that starts while no machine is there begins with its copy.
        node.send_signal(signal.SIGTERM)
        node.communicate(timeout=60)
        assert node.returncode == 0
        for process in processes:
            process.send_signal(signal.SIGTERM)
            assert process.wait(timeout=60) == 0
        node = started("node", "--config", str(path))
        assert node.stderr is not None
        lines = iter(node.stderr.readline, "")
        assert any("version 1 of epoch 1 (c1) is in force, by the copy" in line for line in lines)
        connect(node, port).close()
        with urllib.request.urlopen(f"http://127.0.0.1:{ops}/admin/stats", timeout=60) as answer:
            assert answer.status == 200
        node.send_signal(signal.SIGTERM)
        node.communicate(timeout=60)
        assert node.returncode == 0


def test_the_verbs_answer_with_one_line_and_their_code(tmp_path: Path):
    with fleet(tmp_path, 3) as (addresses, processes):
        change = tmp_path / "change.json"
        change.write_text('{"limits": {"max_open": 500}}')
        assert put(change, addresses[1]) == (0, "version 1", "")
        assert put(change, addresses[2]) == (0, "nothing changes: version 1 stays", "")
        code, _, errors = asked("put", str(change), "--at", addresses[0], "--version", "7")
        assert (code, errors) == (1, "rosewheel: version is 1, not 7")
        change.write_text('{"limits": null}')
        assert put(change, addresses[0])[1] == "version 2"
        assert asked("rollback", "1", "--at", addresses[0])[1] == "version 3"
        assert asked("rollback", "9", "--at", addresses[0])[0] == 2
        code, out, _ = asked("history", "--at", addresses[1], "--json")
        assert [row["version"] for row in json.loads(out)["versions"]] == [3, 2, 1]
        processes[0].kill()
        processes[0].wait()
        code, out, _ = asked("status", "--at", addresses[1])
        assert code == 1
        assert "! the writer c1 does not answer" in out
        code, out, _ = asked("promote", "--at", addresses[1])
        assert (code, out) == (0, "c2 writes from version 4 of epoch 2")
        change.write_text('{"cordons": ["entrada-1"]}')
        assert put(change, addresses[2]) == (0, "version 5", "")
        assert asked("status", "--at", addresses[2])[0] == 0
        code, _, errors = asked("status", "--at", "127.0.0.1:1")
        assert code == 1
        assert errors.startswith("rosewheel: 127.0.0.1:1: ")
        code, _, errors = asked("put", str(tmp_path / "none.toml"), "--at", addresses[1])
        assert code == 2
        assert len(errors.splitlines()) == 1


@pytest.mark.parametrize(
    ("arguments", "says"),
    [
        (["--listen", "127.0.0.1:1", "--dir", "DIR"], "--name is missing"),
        (["--name", "c1", "--listen", "here", "--dir", "DIR"], "--listen: 'here' is not address:port"),
        (
            ["--name", "c1", "--listen", "127.0.0.1:1", "--dir", "DIR", "--peer", "c2"],
            "--peer: 'c2' is not NAME=",
        ),
        (
            ["--name", "c1", "--listen", "127.0.0.1:1", "--dir", "DIR", "--writer", "c9"],
            "--writer: no machine 'c9'",
        ),
        (["--config", "BAD"], "listen: "),
        (["--name", "c1", "--listen", "127.0.0.1:1", "--dir", "DAMAGED"], "damaged at byte "),
    ],
)
def test_a_machine_that_cannot_start_says_why_in_one_line(tmp_path: Path, arguments: list[str], says: str):
    disk = DurableLog(tmp_path / "DAMAGED")
    for at in range(3):
        disk.append([{"kind": "seen", "epoch": [at, "c1"]}])
    disk.close()
    damaged = tmp_path / "DAMAGED" / LOG_FILE_NAME
    damaged.write_bytes(damaged.read_bytes().replace(b"seen", b"sean", 1))
    (tmp_path / "BAD").write_text('name = "c1"\nlisten = "x"\ndir = "y"\n')
    given = [str(tmp_path / word) if word in ("DIR", "BAD", "DAMAGED") else word for word in arguments]
    code, out, errors = asked("serve", *given)
    assert (code, out) == (2, "")
    assert len(errors.splitlines()) == 1
    assert says in errors
    assert errors.startswith("rosewheel: ")


def test_run_on_the_platform_asks_nothing_of_control_and_imports_none_of_it(tmp_path: Path):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = "{}:{}".format(*listener.getsockname())
        port = free_port()
        row = good(listen=f"127.0.0.1:{port}", control={"machines": [f"c1={address}"], "service": "fotos"})
        process = start(tmp_path, row, PYTHONPROFILEIMPORTTIME="1")
        connect(process, port).close()
        descriptors = {
            os.readlink(path) for path in Path(f"/proc/{process.pid}/fd").iterdir() if path.is_symlink()
        }
        process.send_signal(signal.SIGTERM)
        _, errors = process.communicate(timeout=60)
        assert process.returncode == 0
        imported = {
            line.split("|")[-1].strip() for line in errors.splitlines() if line.startswith("import time")
        }
        assert "rosewheel.proxy.proxy" in imported
        assert not [
            name for name in imported if name.startswith(("rosewheel.control", "rosewheel.cli", "msgspec"))
        ]
        listener.setblocking(False)
        with pytest.raises(BlockingIOError):
            listener.accept()
        # The callers' socket, and none for a watch: nothing listens where its discovery is said to be.
        assert len([name for name in descriptors if name.startswith("socket:")]) <= 3
