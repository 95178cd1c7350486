"""Hundreds of clients stop in the middle of a head and stay: does the node stay within its memory?"""

from __future__ import annotations

import asyncio
import contextlib
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins import TROUBLE, Discovery, Equipo, Platform, Record, ask, encode_request, free_port, run_case

EQUIPOS = 9
WORK_S = 0.3
REQUESTS, INTERVAL_S = 100, 0.1
CROWD = 600
STAY_S = 6.0
# Half a head: it has no end. It is under 16 KiB, in lines of seven bytes.
HALF_HEAD = b"POST /api HTTP/1.1\r\nHost: app.svc\r\n" + b"ab:cd\r\n" * 2260


async def play(record: Record, discovery: Discovery, platform: Platform) -> bool:
    """Play the case; return True if the rule was broken."""
    known: set[str] = set()
    for number in range(EQUIPOS):
        await Equipo(f"s-{number}", record, WORK_S, known).start(discovery)
    port = free_port()
    node = platform.start(port)
    await platform.wait_ready(port)
    peak_mb, crashed = 0.0, False
    answers: dict[str, tuple[int, bytes] | None] = {}
    owed: list[bytes] = []

    async def usual_client(request_id: str) -> None:
        known.add(request_id)
        answers[request_id] = await ask(port, encode_request(request_id), 6.0)
        record.add(f"client: {request_id} answered {answers[request_id]}")

    async def usual_clients() -> None:
        async with asyncio.TaskGroup() as group:
            for number in range(REQUESTS):
                group.create_task(usual_client(f"u{number:03}"))
                await asyncio.sleep(INTERVAL_S)

    async def bad_client() -> None:
        with contextlib.suppress(OSError, TimeoutError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            with contextlib.closing(writer):
                writer.write(HALF_HEAD)
                async with asyncio.timeout(STAY_S):
                    owed.append(await reader.read(64))

    async def watch_memory() -> None:
        nonlocal peak_mb, crashed
        while not crashed:
            if node.poll() is not None:
                record.add(f"the node ended with {node.returncode}")
                crashed = True
                return
            peak_mb = max(peak_mb, platform.memory_in_mb(node))
            if peak_mb > platform.memory_mb:
                record.add(
                    f"the node holds {peak_mb:.0f} MB, over {platform.memory_mb} MB: killed for memory"
                )
                node.kill()
                crashed = True
            await asyncio.sleep(0.02)

    watch = asyncio.create_task(watch_memory())
    usual = asyncio.create_task(usual_clients())
    await asyncio.sleep(3.0)
    record.add(f"memory before the crowd: {platform.memory_in_mb(node):.0f} MB")
    if TROUBLE:
        record.add(f"{CROWD} clients connect, and each sends {len(HALF_HEAD)} bytes of a head without end")
        await asyncio.gather(*(bad_client() for _ in range(CROWD)))
        record.add(f"crowd: {len(owed)} got an answer or a close, the first {owed[:1]}")
    await usual
    watch.cancel()
    missing = sorted(request_id for request_id, answer in answers.items() if answer is None)
    record.add(f"peak of the node's memory: {peak_mb:.0f} MB of {platform.memory_mb} MB; crashed: {crashed}")
    record.add(f"usual requests: {len(answers)}, without an answer: {missing}")
    return crashed


run_case(__file__, play)
