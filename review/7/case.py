"""A bad client sends the same request again; usual clients wait at equipos that hang."""

from __future__ import annotations

import asyncio
import time

from stand2.platform import Client, Discovery, Equipo, Received, answer, request_bytes, serve_at_once
from stand2.programs import Stage, base_settings, free_port, wait_ready
from stand2.runner import NotRunError, run, trouble

DEADLINE_MS = 3000
LOST_AFTER_S = 0.55  # up to half a second after its time an answer only earns nothing; 50 ms more on sockets
BAD_ID = "bad-1"
CLIENTS = 6


async def play(stage: Stage) -> bool:
    """Play the case; return whether a usual client's request was never answered."""
    hung: set[str] = set()

    async def behave(equipo: Equipo, request: Received, writer: asyncio.StreamWriter) -> bool:
        if equipo.name in hung:
            stage.note(f"{equipo.name} hangs on {request.id}")
            await asyncio.sleep(100.0)
            return False
        if request.id == BAD_ID:  # equipos turn away what they can't use
            stage.note(f"{equipo.name} answers 500 to {request.id}")
            writer.write(answer(500))
            return True
        stage.note(f"{equipo.name} runs {request.id}")
        return await serve_at_once(equipo, request, writer)

    discovery = Discovery()
    await discovery.start()
    for number in range(4):
        equipo = Equipo(f"e{number}", behave)
        await equipo.start()
        discovery.set(equipo.name, equipo.port)
    port = free_port()
    config = stage.write_config("n0", port, discovery.port, base_settings(), known=discovery.whole())
    await stage.start_node("n0", config)
    if not await wait_ready(port):
        raise NotRunError("the node is not ready")
    await asyncio.sleep(1.0)

    bad = Client(port)
    bad_request = request_bytes("ver-album", BAD_ID, DEADLINE_MS)
    if trouble():
        turned_away = await bad.ask(bad_request, 5.0)
        stage.note(f"bad client: {turned_away.status} {turned_away.end}; sends the same again")
    hung.update(("e0", "e1"))  # from now on a half of the equipos hang
    if trouble():
        if bad.writer is None:
            await bad.connect()
        assert bad.writer is not None
        bad.writer.write(bad_request)
    return await _ask_at_once(stage, port)


async def _ask_at_once(stage: Stage, port: int) -> bool:
    """Have usual clients send a request each; return whether one that waits at a hung equipo is never answered."""
    await asyncio.sleep(0.3)
    waits = await asyncio.gather(*(_ask(stage, port, f"good-{number}") for number in range(CLIENTS)))
    if max(waits) < 1.0:
        raise NotRunError("no request of the usual clients met a hung equipo")
    return max(waits) > DEADLINE_MS / 1000.0 + LOST_AFTER_S


async def _ask(stage: Stage, port: int, id: str) -> float:
    stage.note(f"sent {id}: subir-foto, {DEADLINE_MS} ms")
    sent_s = time.monotonic()
    found = await Client(port).ask(request_bytes("subir-foto", id, DEADLINE_MS, b"x"), 8.0)
    took_s = time.monotonic() - sent_s
    stage.note(f"{id}: {found.status} {found.end} after {took_s:.3f} s")
    return took_s


run(__file__, play)
