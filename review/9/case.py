"""Bad clients fill the node's account of memory; usual clients' requests are closed without an answer."""

from __future__ import annotations

import asyncio

from stand2.platform import Answered, Client, Discovery, Equipo, request_bytes
from stand2.programs import Stage, base_settings, free_port, wait_ready
from stand2.runner import NotRunError, run, trouble

MEMORY_MB = 64
BAD_CLIENTS = 4
LONG_BODY_BYTES, SHORT_BODY_BYTES = 30_000, 3_300
LONG_BODIES = 250  # of each bad client, before its short ones
USUAL_CLIENTS, BODY_BYTES = 4, 6000
PLAY_S = 30.0


async def play(stage: Stage) -> bool:
    """Play the case; return whether a usual client's request was closed without an answer, and again when resent."""
    discovery = Discovery()
    await discovery.start()
    for number in range(4):
        equipo = Equipo(f"e{number}")
        await equipo.start()
        discovery.set(equipo.name, equipo.port)
    port = free_port()
    config = stage.write_config(
        "n0", port, discovery.port, base_settings(), known=discovery.whole(), memory_mb=MEMORY_MB
    )
    await stage.start_node("n0", config)
    if not await wait_ready(port):
        raise NotRunError("the node is not ready")
    over = asyncio.Event()
    usual = [asyncio.create_task(_ask_usual(stage, port, number, over)) for number in range(USUAL_CLIENTS)]
    bad: list[asyncio.Task[None]] = []
    if trouble():
        bad = [asyncio.create_task(_ask_bad(port, number, over)) for number in range(BAD_CLIENTS)]
    started_s = stage.now()
    while stage.now() - started_s < PLAY_S and not over.is_set():
        await asyncio.sleep(0.1)
    over.set()
    await asyncio.gather(*bad)
    lost = sum(await asyncio.gather(*usual))
    stage.note(f"requests without an answer: {lost}")
    return lost > 0


async def _ask_usual(stage: Stage, port: int, number: int, over: asyncio.Event) -> int:
    """Send one request after another on one connection; return how many were closed without an answer twice.

    A close may cross a request on a resting connection, so the client sends it once more on a new one.
    """
    client, lost, count = Client(port), 0, 0
    while not over.is_set():
        count += 1
        id = f"good-{number}-{count}"
        request = request_bytes("subir-foto", id, 3000, b"x" * BODY_BYTES)
        found = Answered(None)
        for attempt in ("first", "again, on a new connection"):
            try:
                found = await client.ask(request, 8.0)
            except OSError as error:
                found = Answered(None, end=f"closed without an answer: {type(error).__name__}")
                client.close()
            stage.note(f"{id} {attempt}: {found.status} {found.end}")
            if found.status is not None:
                break
        else:
            lost += 1
            over.set()
        await asyncio.sleep(0.1)
    client.close()
    return lost


async def _ask_bad(port: int, number: int, over: asyncio.Event) -> None:
    """Send requests whose target can't be read, each at once after the end of the one before."""
    count = 0
    while not over.is_set():
        count += 1
        size = LONG_BODY_BYTES if count <= LONG_BODIES else SHORT_BODY_BYTES
        request = request_bytes("comentario", f"bad-{number}-{count}", 3000, bytes(size), key=f"k{count}")
        client = Client(port)
        try:
            await client.ask(request.replace(b" /api ", b" http://[/api "), 5.0)
        except OSError:
            await asyncio.sleep(0.05)
        finally:
            client.close()


run(__file__, play)
