"""A planned restart while long answers are written slowly: is each request that came after SIGTERM answered?"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins import (
    TROUBLE,
    Discovery,
    Equipo,
    Platform,
    Record,
    answer_of,
    encode_request,
    free_port,
    read_answer,
    run_case,
)

EQUIPOS = 9
WORK_S = 0.3
CLIENTS = 24
ANSWER_BYTES = 256_000  # 4 s at the rate of the page
FIRST_S, STEP_S = 0.8, 0.05  # when the clients send their second request, after SIGTERM
JUDGED_AFTER_S = 0.7  # only a request that came later than this after SIGTERM is lost with SIGKILL
KILL_AFTER_S = 3.8  # the longest deadline, counted as 3 s, 0.7 s, and some slack
TIMEOUT_MS = 4000
LIMIT_S = 20.0


async def play(record: Record, discovery: Discovery, platform: Platform) -> bool:
    """Play the case; return True if the rule was broken."""
    known: set[str] = set()
    sizes: dict[str, int] = {}
    for number in range(EQUIPOS):
        await Equipo(f"s-{number}", record, WORK_S, known, answer_bytes=sizes).start(discovery)
    port, loop = free_port(), asyncio.get_running_loop()
    node = platform.start(port)
    await platform.wait_ready(port)
    terminated: asyncio.Future[float] = loop.create_future()
    lost: list[str] = []
    moment = "SIGTERM" if TROUBLE else "the time at which SIGTERM would come"

    async def client(number: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        with contextlib.closing(writer):
            known.add(first := f"a{number:02}")
            writer.write(encode_request(first, "comentario", TIMEOUT_MS))
            record.add(f"client {number}: {first} answered {await read_answer(reader)}")
            terminated_s = await terminated
            await asyncio.sleep(max(0.0, terminated_s + FIRST_S + number * STEP_S - loop.time()))
            if reader.at_eof():
                record.add(f"client {number}: the node has closed the connection, nothing is sent")
                return
            known.add(second := f"b{number:02}")
            sizes[second] = ANSWER_BYTES
            writer.write(encode_request(second, "comentario", TIMEOUT_MS))
            await follow(second, reader, loop.time() - terminated_s)

    async def follow(request_id: str, reader: asyncio.StreamReader, sent_s: float) -> None:
        began_s, answer = loop.time(), None
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(LIMIT_S):
                answer = await read_answer(reader)
        took_s = loop.time() - began_s
        crossed = answer is None and not was_begun(record, request_id)
        is_whole = answer is not None and (
            answer[0] != 200 or answer[1] == answer_of(request_id, ANSWER_BYTES)
        )
        if not is_whole and not crossed and sent_s > JUDGED_AFTER_S:
            lost.append(request_id)
        text = "cut off" if answer is None else f"{answer[0]}, {len(answer[1])} bytes"
        record.add(f"{request_id}: sent {sent_s:.2f} s after {moment}, {text} after {took_s:.2f} s")

    clients = [loop.create_task(client(number)) for number in range(CLIENTS)]
    await asyncio.sleep(1.5)
    if TROUBLE:
        node.send_signal(signal.SIGTERM)
        record.add("SIGTERM")
    terminated.set_result(loop.time())
    if TROUBLE:
        await asyncio.sleep(KILL_AFTER_S)
        record.add(f"SIGKILL; exit code of the node before it: {node.poll()}")
        node.kill()
    await asyncio.gather(*clients)
    record.add(f"lost: {sorted(lost)}")
    return bool(lost)


def was_begun(record: Record, request_id: str) -> bool:
    """Return whether an equipo has begun the request; if not, the node's close may have crossed it, unread."""
    return record.contains(f"began {request_id}")


run_case(__file__, play)
