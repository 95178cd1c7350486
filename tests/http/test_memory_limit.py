"""The resident memory of a node under crowds of clients: it stays within the limit, and others are served."""

from __future__ import annotations

import asyncio
import contextlib
import subprocess
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path

import pytest

from tests.support.configurations import platform_document
from tests.support.processes import connect, free_port, start_node
from tests.support.raw_messages import RawServer, encode_request_head
from tests.support.sockets import Client, encode_response, entry, read_message, run, status

MEMORY_MB = 32  # the least that the operators' pages name
DESCRIPTORS = 1024
CROWD_S = 4.0
UPLOAD_BYTES = 2 << 20
RESPONSE_BYTES = 8 << 20
PIECE_BYTES = 1 << 16
USUAL_INTERVAL_S = 0.05
MIN_SERVED_SHARE = 0.8  # of the usual clients' requests
ARRIVAL_INTERVAL_S = 0.01
UPLOADS_AFTER = 10
UPLOAD_AFTER_BYTES = 100_000
BURST_REQUESTS = 12
BURST_BODY_BYTES = 3000
BURST_INTERVAL_S = 0.1
BURST_CROWD = 200  # fewer than may connect at this limit of memory

Member = Callable[[Client, int], Awaitable[None]]


def resident_mb(process: subprocess.Popen[str]) -> float:
    """Return the resident memory of the process, pages of files included."""
    with contextlib.suppress(OSError):
        lines = Path(f"/proc/{process.pid}/status").read_text().splitlines()
        return sum(int(line.split()[1]) for line in lines if line.startswith("VmRSS:")) / 1024.0
    return 0.0


def head(id: str, framing: str = "Content-Length: 0") -> bytes:
    return encode_request_head(framing, "points", Idempotency_Key=id).replace(b"big", id.encode())


async def stop_half_way(client: Client, number: int) -> None:
    client.writer.write(head(f"half-{number}", f"Content-Length: {UPLOAD_BYTES}") + bytes(UPLOAD_BYTES // 2))
    await client.reader.read()


async def upload_slowly(client: Client, number: int) -> None:
    client.writer.write(head(f"slow-{number}", f"Content-Length: {UPLOAD_BYTES}"))
    for _ in range(0, UPLOAD_BYTES, PIECE_BYTES):
        client.writer.write(bytes(PIECE_BYTES))
        await asyncio.sleep(PIECE_BYTES / UPLOAD_BYTES * CROWD_S)


async def send_many_fields(client: Client, number: int) -> None:
    client.writer.write(b"GET /api HTTP/1.1\r\nHost: a\r\n" + b"a:b\r\n" * 3000)
    await client.reader.read()


async def read_slowly(client: Client, number: int) -> None:
    client.writer.write(head(f"read-{number}"))
    while await client.reader.read(PIECE_BYTES):
        await asyncio.sleep(0.5)


async def stay_silent(client: Client, number: int) -> None:
    await client.reader.read()


KINDS: dict[str, list[Member]] = {
    "half": [stop_half_way],
    "slow": [upload_slowly],
    "heads": [send_many_fields],
    "readers": [read_slowly],
    "idle": [stay_silent],
    "all": [stop_half_way, upload_slowly, send_many_fields, read_slowly],
}


async def join_crowd(member: Member, number: int, port: int, delay_s: float) -> None:
    await asyncio.sleep(delay_s)
    with contextlib.suppress(OSError, asyncio.IncompleteReadError):
        async with Client(port=port) as client:
            await member(client, number)


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Read requests to their end; respond at length to those of slow readers."""
    while (message := await read_message(reader)) is not None:
        is_long = message.headers["request-id"].startswith("read-")
        writer.write(encode_response(body=bytes(RESPONSE_BYTES) if is_long else b"ok"))
        await writer.drain()


async def send_usual_requests(port: int, codes: list[int]) -> None:
    for number in range(int(CROWD_S / USUAL_INTERVAL_S)):
        message = None
        with contextlib.suppress(OSError):
            async with asyncio.timeout(3.0), Client(port=port) as client:
                client.send("read", id=f"usual-{number}", timeout=2000)
                message = await client.read_response()
        codes.append(0 if message is None else status(message))  # 0: closed without a response
        await asyncio.sleep(USUAL_INTERVAL_S)


async def send_requests_at_once(port: int, unanswered: list[str]) -> None:
    """Send several requests in one write, on a new connection each time; add the ids of those without a response."""
    for number in range(int(CROWD_S / BURST_INTERVAL_S)):
        ids = [f"burst-{number}-{index}" for index in range(BURST_REQUESTS)]
        data = b"".join(
            head(id, f"Content-Length: {BURST_BODY_BYTES}") + bytes(BURST_BODY_BYTES) for id in ids
        )
        async with asyncio.timeout(5.0), Client(port=port) as client:
            client.writer.write(data)
            with contextlib.suppress(OSError):
                while ids and await client.read_response() is not None:
                    ids.pop(0)
        unanswered += ids
        await asyncio.sleep(BURST_INTERVAL_S)


async def upload(port: int, codes: list[int]) -> None:
    """Send requests with bodies, one after another; add the status of each."""
    for number in range(UPLOADS_AFTER):
        async with asyncio.timeout(5.0), Client(port=port) as client:
            request = head(f"after-{number}", f"Content-Length: {UPLOAD_AFTER_BYTES}")
            client.writer.write(request + bytes(UPLOAD_AFTER_BYTES))
            message = await client.read_response()
        codes.append(0 if message is None else status(message))


async def play_crowd(
    tmp_path: Path,
    kind: str,
    clients: int,
    usual: Callable[[int], Coroutine[None, None, None]],
    after: Callable[[int], Coroutine[None, None, None]] | None = None,
    interval_s: float = 0.0,
) -> float:
    """Play a crowd against a node beside usual clients; return the largest resident memory of the node in MB.

    Args:
        tmp_path: Folder for the node's configuration.
        kind: What the members of the crowd do, one of `KINDS`.
        clients: Size of the crowd.
        usual: What the usual clients do, given the node's port; the crowd leaves at its end.
        after: What clients do after the crowd has left.
        interval_s: Time between the arrivals of two members.
    """
    peak_mb = 0.0
    async with RawServer(serve).up() as server:
        port = free_port()
        document = platform_document(
            listen=f"127.0.0.1:{port}",
            limits={"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS},
            known={"seq": 1, "hosts": [entry("s", server.port)]},
        )
        process = start_node(tmp_path, document)
        try:
            await asyncio.to_thread(lambda: connect(process, port).close())
            members = KINDS[kind]
            crowd = [
                asyncio.ensure_future(
                    join_crowd(members[number % len(members)], number, port, number * interval_s)
                )
                for number in range(clients)
            ]
            playing = asyncio.ensure_future(usual(port))
            while not playing.done():
                peak_mb = max(peak_mb, resident_mb(process))
                await asyncio.sleep(0.01)
            for member in crowd:
                member.cancel()
            await asyncio.gather(*crowd, return_exceptions=True)
            await playing
            if after is not None:
                await after(port)
            assert process.poll() is None
        finally:
            process.kill()
            process.communicate()
    return peak_mb


@pytest.mark.parametrize("clients", [150, 300, 600])
@pytest.mark.parametrize("kind", KINDS)
def test_crowd_does_not_take_a_node_over_its_memory_limit(kind: str, clients: int, tmp_path: Path):
    """Guards against a node that is killed for memory: each kind of buffer was limited, but not their sum."""

    async def main() -> None:
        codes = list[int]()
        peak_mb = await play_crowd(tmp_path, kind, clients, lambda port: send_usual_requests(port, codes))
        assert peak_mb < MEMORY_MB
        assert codes.count(200) >= MIN_SERVED_SHARE * len(codes) > 0

    run(main())


@pytest.mark.parametrize("clients", [150, 300])
def test_long_responses_that_begin_one_after_another_stay_within_the_memory_limit(
    clients: int, tmp_path: Path
):
    """Guards against a node that sends ever more requests to servers while slow readers hold all of its memory."""

    async def main() -> None:
        usual, after = list[int](), list[int]()
        peak_mb = await play_crowd(
            tmp_path,
            "readers",
            clients,
            lambda port: send_usual_requests(port, usual),
            lambda port: upload(port, after),
            ARRIVAL_INTERVAL_S,
        )
        assert peak_mb < MEMORY_MB
        assert after == [200] * UPLOADS_AFTER

    run(main())


@pytest.mark.parametrize("kind", ["half", "slow", "readers"])
def test_uploads_are_served_once_a_crowd_has_left(kind: str, tmp_path: Path):
    """Guards against a node that stays exhausted: its resident memory does not fall when its clients leave."""

    async def main() -> None:
        usual, after = list[int](), list[int]()
        await play_crowd(
            tmp_path,
            kind,
            300,
            lambda port: send_usual_requests(port, usual),
            lambda port: upload(port, after),
        )
        assert after == [200] * UPLOADS_AFTER

    run(main())


@pytest.mark.parametrize("kind", ["half", "slow", "all"])
def test_requests_sent_at_once_beside_a_crowd_are_all_answered(kind: str, tmp_path: Path):
    """Guards against closes without a response to requests that an exhausted node has not read to their end."""

    async def main() -> None:
        unanswered = list[str]()
        await play_crowd(tmp_path, kind, BURST_CROWD, lambda port: send_requests_at_once(port, unanswered))
        assert not unanswered

    run(main())
