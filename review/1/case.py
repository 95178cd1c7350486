"""An upgrade while bad clients send ids of open requests: does an unsafe request run twice?"""

from __future__ import annotations

import asyncio
import signal
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from standins import TROUBLE, Discovery, Equipo, Platform, Record, ask, encode_request, free_port, run_case

EQUIPOS = 9
WORK_S = 1.0
INTERVAL_S = 0.1  # between two requests of the usual clients
OPEN_WITHIN_S = 0.7  # a request sent within this time is still open: it takes WORK_S
KILL_AFTER_S = 3.7  # the longest deadline, counted as 3 s, and 0.7 s


async def play(record: Record, discovery: Discovery, platform: Platform) -> bool:
    """Play the case; return True if the rule was broken."""
    known: set[str] = set()
    equipos = [Equipo(f"s-{number}", record, WORK_S, known) for number in range(EQUIPOS)]
    for equipo in equipos:
        await equipo.start(discovery)
    listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
    port, loop = listener.getsockname()[1], asyncio.get_running_loop()
    sent_s: dict[str, float] = {}
    tasks: list[asyncio.Task[None]] = []

    async def send(request_id: str, who: str) -> None:
        record.add(f"{who}: sent {request_id} (subir-foto, single_shot)")
        answer = await ask(port, encode_request(request_id), 6.0)
        record.add(f"{who}: {request_id} answered {answer}")

    async def usual_clients() -> None:
        for number in range(80):
            request_id = f"u{number:03}"
            known.add(request_id)
            sent_s[request_id] = loop.time()
            tasks.append(loop.create_task(send(request_id, "client")))
            await asyncio.sleep(INTERVAL_S)

    old = platform.start(port, listener, ops=free_port())
    await platform.wait_ready(port)
    record.add("the old process is ready")
    usual = loop.create_task(usual_clients())
    await asyncio.sleep(3.0)
    if TROUBLE:
        new_ops = free_port()
        platform.start(port, listener, ops=new_ops)
        await platform.wait_ready(new_ops, "/admin/health")
        record.add("the new process has said yes; SIGTERM to the old one")
        old.send_signal(signal.SIGTERM)
    terminated_s = loop.time()
    await asyncio.sleep(0.2)
    copied = [each for each, at_s in sent_s.items() if terminated_s - OPEN_WITHIN_S <= at_s <= terminated_s]
    tasks.extend([loop.create_task(send(request_id, "bad client")) for request_id in copied])
    await asyncio.sleep(max(0.0, terminated_s + KILL_AFTER_S - loop.time()))
    if TROUBLE:
        record.add(f"exit code of the old process before SIGKILL: {old.poll()}")
        old.kill()
    await usual
    await asyncio.gather(*tasks)
    runs: dict[str, int] = {}
    for equipo in equipos:
        for request_id, count in equipo.begun.items():
            runs[request_id] = runs.get(request_id, 0) + count
    twice = sorted(request_id for request_id, count in runs.items() if count > 1)
    record.add(f"requests: {len(sent_s)}, ids copied by bad clients: {copied}, run twice: {twice}")
    return bool(twice)


run_case(__file__, play)
