"""A crowd stops in the middle of its requests; usual clients that send several requests at once get no answer."""

from __future__ import annotations

import asyncio
import contextlib

from stand2.platform import Client, Discovery, Equipo, request_bytes
from stand2.programs import Stage, base_settings, free_port, wait_ready
from stand2.runner import NotRunError, run, trouble

MEMORY_MB = 32
CROWD = 300
UPLOAD_BYTES, PIECE_BYTES, PIECE_S = 2_000_000, 32 * 1024, 0.1
USUAL_CLIENTS, TURNS, AT_ONCE, BODY_BYTES = 2, 15, 12, 1500
DEADLINE_MS = 3000


async def play(stage: Stage) -> bool:
    """Play the case; return whether a usual client's request was never answered."""
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
    await asyncio.sleep(1.0)
    over = asyncio.Event()
    crowd: list[asyncio.Task[None]] = []
    if trouble():
        stage.note(f"{CROWD} clients come")
        crowd = [asyncio.create_task(_join_crowd(port, number, over)) for number in range(CROWD)]
    await asyncio.sleep(1.0)
    lost = await asyncio.gather(*(_ask_usual(stage, port, number) for number in range(USUAL_CLIENTS)))
    over.set()
    await asyncio.gather(*crowd)
    stage.note(f"lost: {sum(lost)} of {USUAL_CLIENTS * TURNS * AT_ONCE}")
    return sum(lost) > 0


async def _join_crowd(port: int, number: int, over: asyncio.Event) -> None:
    """Stop half way in an upload, upload slowly, send a head without end or say nothing; come again when ended."""
    count = 0
    while not over.is_set():
        count += 1
        with contextlib.suppress(OSError, RuntimeError):
            await _stay(port, number, count, over)
        await asyncio.sleep(0.2)


async def _stay(port: int, number: int, count: int, over: asyncio.Event) -> None:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    upload = request_bytes("comentario", f"crowd-{number}-{count}", 3000, key=f"k{number}-{count}")
    upload = upload.replace(b"Content-Length: 0", b"Content-Length: %d" % UPLOAD_BYTES)
    kind = number % 4
    if kind == 0:
        writer.write(upload + bytes(UPLOAD_BYTES // 2))
    elif kind == 1:
        writer.write(upload)
        for _ in range(0, UPLOAD_BYTES, PIECE_BYTES):
            if writer.is_closing() or reader.at_eof() or over.is_set():
                break
            writer.write(bytes(PIECE_BYTES))
            await asyncio.sleep(PIECE_S)
    elif kind == 2:
        writer.write(b"GET /api HTTP/1.1\r\nHost: a\r\n" + b"a:b\r\n" * 3000)
    while not over.is_set() and not reader.at_eof():
        try:
            await asyncio.wait_for(reader.read(1024), 0.5)
        except TimeoutError:
            continue
    writer.close()


async def _ask_usual(stage: Stage, port: int, number: int) -> int:
    """Send requests at once on a connection, again and again; return how many are never answered.

    A close may cross a request that was not read, so the client sends those without an answer once more.
    """
    lost = 0
    for turn in range(TURNS):
        unanswered = [f"good-{number}-{turn}-{place}" for place in range(AT_ONCE)]
        for attempt in ("first", "again"):
            unanswered = await _send_at_once(stage, port, unanswered, attempt)
        lost += len(unanswered)
        await asyncio.sleep(0.2)
    return lost


async def _send_at_once(stage: Stage, port: int, ids: list[str], attempt: str) -> list[str]:
    """Send requests at once on a new connection; return those that were not answered when it was closed."""
    if not ids:
        return []
    client, statuses = Client(port), []
    try:
        await client.connect()
        assert client.writer is not None
        bodies = (request_bytes("subir-foto", id, DEADLINE_MS, b"x" * BODY_BYTES) for id in ids)
        client.writer.write(b"".join(bodies))
        while len(statuses) < len(ids) and client.writer is not None:
            found = await client.take(DEADLINE_MS / 1000.0 + 1.0)
            if found.status is None:
                break
            statuses.append(found.status)
    except OSError as error:
        stage.note(f"{ids[0]}: {error!r}")
    client.close()
    stage.note(f"{ids[0]} to {ids[-1]} {attempt}: {statuses}, {len(ids) - len(statuses)} not answered")
    return ids[len(statuses) :]


run(__file__, play)
