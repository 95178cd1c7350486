"""Control machines and nodes as separate processes: crashes of the leader, the command line, node startup."""

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
import time
import urllib.request
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from rosewheel.control.codec.log_records import encode_log_record
from rosewheel.control.durable_log import LOG_FILE_NAME, DurableLog
from rosewheel.control.errors import HttpCallError
from rosewheel.control.http_client import JsonHttpClient
from rosewheel.control.revisions import Epoch, EpochObserved
from tests.support.configurations import OPERATOR_TOML, platform_document
from tests.support.control_child import SelfKillingLog
from tests.support.control_machines import ControlCluster, control_cluster
from tests.support.processes import connect, free_port, start_command, start_node
from tests.support.sockets import run, until

WAIT_S = 60.0  # timeout of a wait for a state of another process
POLL_S = 0.01
CHILD = Path(__file__).parent.parent / "support" / "control_child.py"


async def put_until_accepted(client: JsonHttpClient, patch: dict[str, Any], version: int) -> None:
    """Put a change, and retry while the leader can't accept it, until the test times out."""
    code, body = 503, None
    while code == 503:
        request = {"patch": patch, "version": version}
        code, body = await client.call("POST", "/control/put", request, timeout_s=20.0)
    assert code == 200, body


def changes(history: dict[str, Any]) -> list[dict[str, Any]]:
    """Return the patches in a history, oldest first, without those that begin an epoch, which are empty."""
    return [change["patch"] for change in reversed(history["versions"]) if change["patch"]]


@pytest.mark.parametrize("point", ["before", "half", "written", "synced"])
def test_no_acknowledged_change_is_lost_when_the_leader_is_killed_at_any_point_of_a_put(
    tmp_path: Path, point: str
):
    """The leader c1 is a child process that kills itself at this point; c2 runs in the test and follows it."""

    async def start_leader(cluster: ControlCluster, point: str, nth: int) -> asyncio.subprocess.Process:
        address = "{}:{}".format(*cluster.addresses["c1"])
        peer = "c2={}:{}".format(*cluster.addresses["c2"])
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, str(CHILD), "c1", address, str(tmp_path / "c1"), peer, point, str(nth)),
            stdout=asyncio.subprocess.PIPE,
            env={**os.environ, "PYTHONPATH": str(CHILD.parents[2])},
        )
        assert process.stdout is not None
        assert await process.stdout.readline() == b"ready\n"
        return process

    async def main() -> None:
        async with control_cluster(tmp_path, 2) as cluster:
            await cluster.stop("c1")
            (tmp_path / "c1" / LOG_FILE_NAME).unlink()
            process = await start_leader(
                cluster, point, 5
            )  # the first record is the epoch, the others are changes
            acknowledged = []
            client = JsonHttpClient(cluster.addresses["c1"])
            with contextlib.suppress(HttpCallError):
                for number in range(1, 10):
                    patch = {"limits": {"max_open": number}}
                    await put_until_accepted(client, patch, number - 1)
                    acknowledged.append(patch)
            assert await process.wait() == -signal.SIGKILL
            assert len(acknowledged) == 3
            process = await start_leader(cluster, "never", 0)
            _, history = await client.call("GET", "/control/history?most=100")
            kept = changes(history)
            assert kept[:3] == acknowledged
            # A change that was on disk but not acknowledged may be kept, and must then be the same on both machines.
            last = {"cordons": ["entrada-1"]}
            await put_until_accepted(client, last, len(kept))
            follower = cluster.machines["c2"].store.replica
            await until(lambda: follower.history.last_document.get("cordons") == last["cordons"])
            _, history = await cluster.call("c2", "GET", "/control/history?most=100")
            assert changes(history) == [*kept, last]
            process.kill()
            await process.wait()
            client.close()

    run(main())


def test_the_self_killing_log_behaves_like_a_log_if_it_does_not_kill(tmp_path: Path):
    log = SelfKillingLog(tmp_path, "never", 0)
    log.append([b'{"a":1}'])
    log.close()
    assert DurableLog(tmp_path).take_records() == [b'{"a":1}']


def free_low_port() -> int:
    """Return a free port outside the ephemeral range, which stays free until a process starts and listens on it."""
    while True:
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", random.randrange(12000, 32000)))
            return int(sock.getsockname()[1])


@contextlib.contextmanager
def serving_machines(
    tmp_path: Path, count: int = 2
) -> Iterator[tuple[list[str], list[subprocess.Popen[str]]]]:
    """Run control machines with `rosewheel control serve`; yield their addresses and processes."""
    addresses = [f"127.0.0.1:{free_low_port()}" for _ in range(count)]
    peers = [f"--peer=c{index + 1}={address}" for index, address in enumerate(addresses)]
    processes = [
        start_command(
            *("control", "serve", "--name", f"c{index + 1}", "--listen", address, "--writer", "c1"),
            *("--dir", str(tmp_path / f"c{index + 1}"), *peers),
        )
        for index, address in enumerate(addresses)
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


def run_command(*arguments: str) -> tuple[int, str, str]:
    """Run `rosewheel control`; return its exit code, standard output and standard error."""
    process = start_command("control", *arguments)
    out, errors = process.communicate(timeout=60)
    return process.returncode, out.strip(), errors.strip()


MAX_ATTEMPTS = 40  # attempts at a command whose result depends on another process


def put(path: Path, machine: str) -> tuple[int, str, str]:
    """Put a change, and retry until all machines have been in contact, which the first change requires."""
    for _ in range(MAX_ATTEMPTS):
        result = run_command("put", str(path), "--at", machine, "--by", "ana")
        if "not contacted yet" not in result[2]:
            return result
    raise AssertionError(result)


def status_until_applied(machine: str) -> str:
    """Run `status` until it succeeds and one node has applied the committed revision; return the output."""
    for _ in range(MAX_ATTEMPTS):
        result = run_command("status", "--all", "--at", machine)
        if result[0] == 0 and "up to date 1," in result[1]:
            return result[1]
    raise AssertionError(result)


def test_a_node_applies_what_the_command_puts_and_starts_with_its_cached_document(tmp_path: Path):
    with serving_machines(tmp_path) as (addresses, processes):
        port, admin_port = free_low_port(), free_low_port()
        path, change = tmp_path / "node.toml", tmp_path / "change.toml"
        state = tmp_path / "state"
        state.mkdir()
        machines = json.dumps([f"c{index + 1}={address}" for index, address in enumerate(addresses)])
        control = f'[control]\nmachines = {machines}\nservice = "fotos"\n'
        own = OPERATOR_TOML.replace("7999", str(port)).replace(
            "[node]", f'[node]\nname = "n7"\nops = "127.0.0.1:{admin_port}"\nstate_dir = "{state}"'
        )
        path.write_text(own + control)
        node = start_command("node", "--config", str(path))
        connect(node, port).close()
        assert node.stderr is not None
        lines = iter(node.stderr.readline, "")
        change.write_text(
            '[services.fotos]\ncordons = ["entrada-9"]\n[services.fotos.limits]\nmax_open = 77\n'
        )
        assert put(change, addresses[1]) == (0, "version 1", "")
        applied = "configuration applied: revision=1 epoch=1 leader=c1"
        assert any(applied in line for line in lines)
        assert "n7 (fotos, at c" in status_until_applied(addresses[1])
        change.write_text('[[services.fotos.class]]\nname = "comentario"\naim_ms = 9\ngive_up_ms = 5\n')
        code, out, errors = run_command("put", str(change), "--at", addresses[0])
        assert (code, out) == (2, "")
        assert errors.startswith("rosewheel: services.fotos.class[0].aim_ms: ")
        # SIGHUP reloads the node's own file, on which the configuration is applied again.
        path.write_text(own.replace("cold_from = 0.2", "cold_from = 0.3") + control)
        node.send_signal(signal.SIGHUP)
        assert any("configuration reloaded: " in line for line in lines)
        path.write_text(own)
        node.send_signal(signal.SIGHUP)
        assert any("control: changes only with a restart" in line for line in lines)
        path.write_text(own + control)
        # A node that starts while no control machine runs uses its cached document.
        node.send_signal(signal.SIGTERM)
        node.communicate(timeout=60)
        assert node.returncode == 0
        for process in processes:
            process.send_signal(signal.SIGTERM)
            assert process.wait(timeout=60) == 0
        node = start_command("node", "--config", str(path))
        assert node.stderr is not None
        lines = iter(node.stderr.readline, "")
        assert any(f"{applied} source=cache" in line for line in lines)
        connect(node, port).close()
        with urllib.request.urlopen(f"http://127.0.0.1:{admin_port}/admin/stats", timeout=60) as response:
            assert response.status == 200
        node.send_signal(signal.SIGTERM)
        node.communicate(timeout=60)
        assert node.returncode == 0


def test_commands_print_one_line_and_set_the_exit_code(tmp_path: Path):
    with serving_machines(tmp_path, 3) as (addresses, processes):
        change = tmp_path / "change.json"
        change.write_text('{"limits": {"max_open": 500}}')
        assert put(change, addresses[1]) == (0, "version 1", "")
        assert put(change, addresses[2]) == (0, "no change: version 1 is still current", "")
        code, _, errors = run_command("put", str(change), "--at", addresses[0], "--version", "7")
        assert (code, errors) == (1, "rosewheel: version conflict: the current version is 1, not 7")
        change.write_text('{"limits": null}')
        assert put(change, addresses[0])[1] == "version 2"
        assert run_command("rollback", "1", "--at", addresses[0])[1] == "version 3"
        assert run_command("rollback", "9", "--at", addresses[0])[0] == 2
        code, out, _ = run_command("history", "--at", addresses[1], "--json")
        assert [change["version"] for change in json.loads(out)["versions"]] == [3, 2, 1]
        processes[0].kill()
        processes[0].wait()
        code, out, _ = run_command("status", "--at", addresses[1])
        assert code == 1
        assert "! the leader c1 does not respond" in out
        code, out, _ = run_command("promote", "--at", addresses[1])
        assert (code, out) == (0, "c2 leads from version 4 of epoch 2")
        change.write_text('{"cordons": ["entrada-1"]}')
        assert put(change, addresses[2]) == (0, "version 5", "")
        assert run_command("status", "--at", addresses[2])[0] == 0
        code, _, errors = run_command("status", "--at", "127.0.0.1:1")
        assert code == 1
        assert errors.startswith("rosewheel: 127.0.0.1:1: ")
        code, _, errors = run_command("put", str(tmp_path / "none.toml"), "--at", addresses[1])
        assert code == 2
        assert len(errors.splitlines()) == 1


@pytest.mark.parametrize(
    ("arguments", "text"),
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
        (["--name", "c1", "--listen", "127.0.0.1:1", "--dir", "DAMAGED"], "corrupt record at byte "),
    ],
)
def test_a_machine_that_cannot_start_prints_the_reason_in_one_line(
    tmp_path: Path, arguments: list[str], text: str
):
    log = DurableLog(tmp_path / "DAMAGED")
    for number in range(3):
        log.append([encode_log_record(EpochObserved(Epoch(number, "c1")))])
    log.close()
    damaged = tmp_path / "DAMAGED" / LOG_FILE_NAME
    damaged.write_bytes(damaged.read_bytes().replace(b"seen", b"sean", 1))
    (tmp_path / "BAD").write_text('name = "c1"\nlisten = "x"\ndir = "y"\n')
    resolved = [str(tmp_path / word) if word in ("DIR", "BAD", "DAMAGED") else word for word in arguments]
    code, out, errors = run_command("serve", *resolved)
    assert (code, out) == (2, "")
    assert len(errors.splitlines()) == 1
    assert text in errors
    assert errors.startswith("rosewheel: ")


def socket_count(process: subprocess.Popen[str]) -> int:
    """Return the number of sockets that a process has open."""
    count = 0
    for path in Path(f"/proc/{process.pid}/fd").iterdir():
        with contextlib.suppress(FileNotFoundError):  # closed in the meantime
            count += os.readlink(path).startswith("socket:")
    return count


def until_true(condition: Callable[[], bool]) -> None:
    """Wait until a condition on another process holds."""
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(POLL_S)


def test_a_node_on_the_platform_neither_calls_nor_imports_control(tmp_path: Path):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = "{}:{}".format(*listener.getsockname())
        port = free_port()
        row = platform_document(
            listen=f"127.0.0.1:{port}", control={"machines": [f"c1={address}"], "service": "fotos"}
        )
        process = start_node(tmp_path, row, PYTHONPROFILEIMPORTTIME="1")
        connect(process, port).close()
        # Three sockets are expected: the listener and the event loop's wakeup pair. There is none for a watch, since
        # nothing listens at the discovery address. The connection above may take a moment to close.
        until_true(lambda: socket_count(process) <= 3)
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
