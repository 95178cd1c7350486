"""Bad clients send targets that can't be read; the node's memory grows past its limit."""

from __future__ import annotations

import asyncio
from pathlib import Path

from stand2.platform import Answered, Client, Discovery, Equipo, request_bytes
from stand2.programs import Program, Stage, base_settings, free_port, wait_ready
from stand2.runner import NotRunError, run, trouble

MEMORY_MB = 64
BAD_CLIENTS = 4
LONG_BODY_BYTES, SHORT_BODY_BYTES = 30_000, 3_300
LONG_BODIES = 250  # of each bad client, before its short ones
PLAY_S, LOOK_S = 40.0, 0.1


def resident_mb(program: Program) -> float:
    """Return the memory of a process without its pages of files."""
    for line in Path(f"/proc/{program.pid}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) / 1024.0
    raise NotRunError("the system does not tell the memory of a process")


async def play(stage: Stage) -> bool:
    """Play the case; return whether the node holds more memory than it may."""
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
    node = await stage.start_node("n0", config)
    if not await wait_ready(port):
        raise NotRunError("the node is not ready")
    over = asyncio.Event()
    tasks = [asyncio.create_task(_ask_usual(stage, port, number, over)) for number in range(4)]
    await asyncio.sleep(2.0)
    stage.note(f"memory before: {resident_mb(node):.1f} MB of {MEMORY_MB}")
    if trouble():
        tasks += [asyncio.create_task(_ask_bad(stage, port, number, over)) for number in range(BAD_CLIENTS)]
    peak_mb, started_s = 0.0, stage.now()
    while stage.now() - started_s < PLAY_S and peak_mb <= MEMORY_MB:
        await asyncio.sleep(LOOK_S)
        if not node.running:
            raise NotRunError("the node has ended")
        peak_mb = max(peak_mb, resident_mb(node))
    stage.note(f"memory at most: {peak_mb:.1f} MB of {MEMORY_MB}")
    over.set()
    await asyncio.gather(*tasks)
    return peak_mb > MEMORY_MB


async def _ask_usual(stage: Stage, port: int, number: int, over: asyncio.Event) -> None:
    """Send a request each 0.2 s, as a usual client."""
    client, count = Client(port), 0
    while not over.is_set():
        count += 1
        id = f"good-{number}-{count}"
        try:
            found = await client.ask(request_bytes("subir-foto", id, 3000, b"x" * 100), 8.0)
        except OSError as error:
            found = Answered(None, end=repr(error))
            client.close()
        stage.note(f"{id}: {found.status} {found.end}")
        await asyncio.sleep(0.2)


async def _ask_bad(stage: Stage, port: int, number: int, over: asyncio.Event) -> None:
    """Send requests whose target can't be read, each at once after the end of the one before."""
    count = 0
    while not over.is_set():
        count += 1
        size = LONG_BODY_BYTES if count <= LONG_BODIES else SHORT_BODY_BYTES
        request = request_bytes("comentario", f"bad-{number}-{count}", 3000, bytes(size), key=f"k{count}")
        client = Client(port)
        try:
            found = await client.ask(request.replace(b" /api ", b" http://[/api "), 5.0)
            if count % 500 == 1:
                stage.note(f"bad client {number}, request {count}: {found.status} {found.end}")
        except OSError:
            await asyncio.sleep(0.05)
        finally:
            client.close()


run(__file__, play)
