"""Some equipos hang while clients upload long bodies: does each request get its final answer in time?"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins import (
    TROUBLE,
    Discovery,
    Equipo,
    Platform,
    Record,
    encode_request,
    free_port,
    read_answer,
    run_case,
)

EQUIPOS, HANGING = 8, 2
WORK_S = 0.3
UPLOADS, INTERVAL_S = 24, 0.25
SIZES_MB = (8, 10, 12)
TIMEOUT_MS = 4000
LOST_AFTER_S = TIMEOUT_MS / 1000.0 + 0.5 + 0.05  # half a second after its time; each limit grows by 50 ms
GIVE_UP_S = 10.0  # the client waits on, to tell how late the answer is


async def play(record: Record, discovery: Discovery, platform: Platform) -> bool:
    """Play the case; return True if the rule was broken."""
    known: set[str] = set()
    equipos = [Equipo(f"s-{number}", record, WORK_S, known) for number in range(EQUIPOS)]
    for equipo in equipos:
        await equipo.start(discovery)
    port, loop = free_port(), asyncio.get_running_loop()
    platform.start(port)
    await platform.wait_ready(port)
    lost: list[str] = []

    async def upload(request_id: str, size_mb: int) -> None:
        known.add(request_id)
        sock = socket.create_connection(("127.0.0.1", port))
        sock.setblocking(False)
        data = encode_request(request_id, "subir-foto", TIMEOUT_MS, bytes(size_mb << 20))
        try:
            async with asyncio.timeout(GIVE_UP_S):
                await loop.sock_sendall(sock, data)
        except (OSError, TimeoutError):
            record.add(
                f"{request_id}: {size_mb} MB, the last byte could not be written: not taken, not judged"
            )
            sock.close()
            return
        written_s = loop.time()
        reader, writer = await asyncio.open_connection(sock=sock)
        answer = None
        with (
            contextlib.closing(writer),
            contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError),
        ):
            async with asyncio.timeout(GIVE_UP_S):
                answer = await read_answer(reader)
        after_s = loop.time() - written_s
        is_lost = answer is None or after_s > LOST_AFTER_S
        if is_lost:
            lost.append(request_id)
        verdict = "LOST" if is_lost else "in time"
        record.add(
            f"{request_id}: {size_mb} MB, {answer} {after_s:.2f} s after the last byte was written: {verdict}"
        )

    async def uploads(name: str, count: int) -> None:
        async with asyncio.TaskGroup() as group:
            for number in range(count):
                group.create_task(upload(f"{name}{number:02}", SIZES_MB[number % len(SIZES_MB)]))
                await asyncio.sleep(INTERVAL_S)

    await uploads("a", 8)
    if TROUBLE:
        for equipo in equipos[:HANGING]:
            equipo.hangs = True
        record.add(f"{HANGING} of {EQUIPOS} equipos hang from now on")
    await uploads("b", UPLOADS)
    record.add(f"lost: {sorted(lost)}")
    return bool(lost)


run_case(__file__, play)
