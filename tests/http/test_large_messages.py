"""Large bodies and answers over sockets: passed through in pieces, at the pace of the slower side."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
from collections.abc import Awaitable, Callable

import pytest

from rosewheel.http import body as body_module
from rosewheel.http import downstream_connection as server_module
from rosewheel.http import upstream_connection as connection_module
from rosewheel.http import upstream_pool as upstream_module
from tests.support.sockets import Client, FakeServer, answer, entry, node, read_message, run, status, until

Connected = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class RawServer(FakeServer):
    """Does with each connection what a test says."""

    def __init__(self, connected: Connected) -> None:
        super().__init__()
        self.connected = connected

    async def _take(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.append(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await self.connected(reader, writer)


def request(framing: str, service: str = "post", **more: str) -> bytes:
    lines = ["POST /api/k HTTP/1.1", "Host: a", "Request-Id: big", f"Request-Class: {service}"]
    lines += ["Request-Timeout-Ms: 2000", framing]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in more.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def pattern(size: int) -> bytes:
    return (b"0123456789abcdef" * (size // 16 + 1))[:size]


async def read_chunked(reader: asyncio.StreamReader) -> bytes:
    whole = b""
    while size := int((await reader.readline()).strip() or b"0", 16):
        whole += await reader.readexactly(size)
        assert await reader.readexactly(2) == b"\r\n"
    assert await reader.readline() == b"\r\n"
    return whole


SIZE = 6 << 20


@pytest.mark.parametrize("chunked", [False, True])
def test_a_body_far_larger_than_what_is_held_arrives_unchanged(chunked: bool):
    """Guards memory and the body: never more held than the bound of one connection, every byte passed on."""
    got: list[tuple[str, bytes]] = []
    most = 0

    async def taking(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        whole = await (read_chunked(reader) if chunked else reader.readexactly(SIZE))
        got.append((head, hashlib.sha256(whole).digest()))
        writer.write(answer())

    async def main() -> None:
        nonlocal most
        async with RawServer(taking).up() as server, node([entry("s", server.port)]) as relay:
            # What one connection may hold while that to the equipo comes up.
            relay.budget.limit_bytes = (
                body_module.CONNECTION_SHARE_DIVISOR * body_module.MAX_BUFFERED_BODY_BYTES
            )
            async with Client(relay) as client:
                data = pattern(SIZE)
                framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {SIZE}"
                client.writer.write(request(framing))
                for at in range(0, SIZE, 100_000):
                    piece = data[at : at + 100_000]
                    framed = b"%x;ext=1\r\n%b\r\n" % (len(piece), piece)
                    client.writer.write(framed if chunked else piece)
                    await client.writer.drain()
                    most = max(most, relay.budget.used_bytes)
                if chunked:
                    client.writer.write(b"0\r\nX-Trailer: y\r\n\r\n")
                assert status(await client.answer()) == 200
                assert got[0][1] == hashlib.sha256(data).digest()
                framing_line = "transfer-encoding: chunked" if chunked else f"content-length: {SIZE}"
                assert framing_line in got[0][0]
                assert "x-trailer" not in got[0][0]
                assert most <= body_module.MAX_BUFFERED_BODY_BYTES + (1 << 20)
                assert relay.budget.used_bytes == 0

    run(main())


def test_the_time_of_a_slow_body_counts_from_its_last_byte(monkeypatch: pytest.MonkeyPatch):
    """Guards slow callers: a body that takes longer than the caller's patience for the answer is no late one,
    whether it is held or passes through."""

    async def main() -> None:
        async with FakeServer().up() as server, node([entry("s", server.port)]) as relay:
            for hold in (1 << 20, 10):
                monkeypatch.setattr(body_module, "MAX_BUFFERED_BODY_BYTES", hold)
                async with Client(relay) as client:
                    raw = request("Content-Length: 40").replace(b"2000", b"250").replace(b"big", b"%d" % hold)
                    client.writer.write(raw)
                    for _ in range(40):
                        client.writer.write(b"x")
                        await asyncio.sleep(0.01)
                    assert status(await client.answer()) == 200
            assert [len(message.body) for message in server.got] == [40, 40]

    run(main())


def test_an_unsafe_request_cut_off_on_its_way_never_ran_and_is_refused(monkeypatch: pytest.MonkeyPatch):
    """Guards against a second sending of what is no longer here, and against a failure that is none."""
    monkeypatch.setattr(body_module, "MAX_BUFFERED_BODY_BYTES", 1000)

    async def breaking(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readexactly(50_000)
        writer.transport.abort()

    async def main() -> None:
        async with RawServer(breaking).up() as one, FakeServer().up() as two:
            async with node([entry("s1", one.port)]) as relay, Client(relay) as client:
                client.writer.write(request("Content-Length: 1000000") + pattern(100_000))
                await until(lambda: one.connections == 1)
                got = await client.answer()  # at once: the rest of the request is still to come
                assert status(got) == 503
                client.writer.write(pattern(900_000))
                relay._endpoint_list_updated(
                    EndpointListForm.SNAPSHOT, discovery.parse_endpoints([entry("s2", two.port)])
                )
                assert status(await client.ask("post")) == 200  # the rest was read past
                assert relay.node.statistics.classes["post"].shed == 1
                assert relay.budget.used_bytes == 0

    from rosewheel.discovery import endpoint_list as discovery
    from rosewheel.policy.events import EndpointListForm

    run(main())


def test_a_held_body_goes_elsewhere_when_it_never_ran():
    async def breaking(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer(503, b"", Not_Started="1", Connection="close"))

    async def main() -> None:
        async with RawServer(breaking).up() as one, FakeServer().up() as two:
            servers = [entry("s1", one.port), entry("s2", two.port)]
            async with node(servers) as relay, Client(relay) as client:
                for at in range(6):
                    assert status(await client.ask("post", body=pattern(300_000), id=f"r{at}")) == 200
                assert [len(message.body) for message in two.got] == [300_000] * 6
                assert one.connections > 0

    run(main())


def long_answer(framing: str, data: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\n" + framing.encode() + b"\r\n\r\n" + data


def test_a_long_answer_begins_before_its_end_has_come_and_has_no_deadline():
    """Guards the first bytes, and what comes behind them: neither aim nor patience cuts it off."""
    free = asyncio.Event()
    data = pattern(200_000)

    async def giving(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(long_answer(f"Content-Length: {len(data)}", data[:10_000]))
        await free.wait()
        writer.write(data[10_000:])

    async def main() -> None:
        async with RawServer(giving).up() as server, node([entry("s", server.port)]) as relay:
            async with Client(relay) as client:
                client.send("post", timeout=300)
                head = await client.reader.readuntil(b"\r\n\r\n")
                assert b"Content-Length: 200000" in head
                assert await client.reader.readexactly(10_000) == data[:10_000]
                assert relay.statistics().active_requests == 1
                await asyncio.sleep(0.4)  # past the deadline
                free.set()
                assert await client.reader.readexactly(190_000) == data[10_000:]
                await until(lambda: relay.statistics().active_requests == 0)
                assert relay.node.statistics.classes["post"].ok == 1
                assert not relay.node.requests
                assert not relay.node.balancer.parts.shared.requests

    run(main())


@pytest.mark.parametrize("framing", ["Transfer-Encoding: chunked", "Connection: close"])
def test_a_long_answer_of_no_known_length_goes_in_chunks(framing: str):
    data = pattern(300_000)

    async def giving(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while "chunked" in framing:  # the second request may come on the connection of the first
            await reader.readuntil(b"\r\n\r\n")
            pieces = (data[at : at + 7000] for at in range(0, len(data), 7000))
            body = b"".join(b"%x;a=b\r\n%b\r\n" % (len(piece), piece) for piece in pieces)
            writer.write(long_answer(framing, body + b"0\r\nX-T: 1\r\n\r\n"))
        await reader.readuntil(b"\r\n\r\n")
        writer.write(long_answer(framing, data))
        writer.close()

    async def main() -> None:
        async with RawServer(giving).up() as server, node([entry("s", server.port)]) as relay:
            async with Client(relay) as client:
                client.send("post")
                head = await client.reader.readuntil(b"\r\n\r\n")
                assert b"Transfer-Encoding: chunked" in head
                assert await read_chunked(client.reader) == data
            async with Client(relay) as old:  # to this one only the connection's end can tell
                old.writer.write(request("Content-Length: 0").replace(b"HTTP/1.1", b"HTTP/1.0"))
                head = await old.reader.readuntil(b"\r\n\r\n")
                assert b"hunked" not in head
                assert await old.reader.read() == data

    run(main())


@pytest.mark.parametrize("framing", ["Content-Length: 300000", "Transfer-Encoding: chunked"])
def test_a_long_answer_that_breaks_ends_so_that_its_caller_can_tell(framing: str):
    async def giving(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        part = pattern(100_000)
        if "chunked" in framing:
            part = b"%x\r\n%b\r\n" % (len(part), part)
        writer.write(long_answer(framing, part))
        await writer.drain()
        writer.transport.abort()

    async def main() -> None:
        async with RawServer(giving).up() as server, node([entry("s", server.port)]) as relay:
            async with Client(relay) as client:
                client.send("read")
                await client.reader.readuntil(b"\r\n\r\n")
                with pytest.raises((asyncio.IncompleteReadError, ConnectionError, ValueError)):
                    await (
                        client.reader.readexactly(300_000)
                        if "300" in framing
                        else read_chunked(client.reader)
                    )
                counts = relay.node.statistics.classes["read"]
                assert (counts.ok, counts.errors) == (0, 1)
                assert server.connections == 1, "a safe request too: what was passed on can't be taken back"
                assert not relay.node.requests

    run(main())


def test_a_slow_reader_holds_back_its_own_answer_and_no_other():
    """Guards memory and the others: the equipo is read no faster than the caller reads."""
    written = 0
    data = pattern(24 << 20)

    async def giving(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal written
        head = await reader.readuntil(b"\r\n\r\n")
        if b"slow" not in head:
            writer.write(answer())
            return
        writer.write(long_answer(f"Content-Length: {len(data)}", b""))
        for at in range(0, len(data), 1 << 16):
            writer.write(data[at : at + (1 << 16)])
            await writer.drain()
            written = at

    async def main() -> None:
        async with RawServer(giving).up() as server, node([entry("s", server.port)]) as relay:
            async with Client(relay) as slow, Client(relay) as other:
                slow.send("post", id="slow")
                await slow.reader.readuntil(b"\r\n\r\n")
                await until(lambda: any(c.write_blocked for c in relay.server.connections))
                assert status(await other.ask("post")) == 200
                assert written < len(data) - (1 << 20), "the rest waits at its server"
                (conn,) = [one for one in relay.upstream.exchanges.values()]
                assert conn.connection is not None
                assert conn.connection.reading_paused
                digest = hashlib.sha256()
                left = len(data)
                while left:
                    piece = await slow.reader.read(1 << 20)
                    assert piece
                    digest.update(piece)
                    left -= len(piece)
                assert digest.digest() == hashlib.sha256(data).digest()

    run(main())


def test_a_caller_that_leaves_a_long_answer_ends_it_at_its_server():
    async def giving(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(long_answer("Content-Length: 20000000", b""))
        while True:
            writer.write(pattern(1 << 16))
            await writer.drain()

    async def main() -> None:
        async with RawServer(giving).up() as server, node([entry("s", server.port)]) as relay:
            async with Client(relay) as client:
                client.send("post")
                await client.reader.readuntil(b"\r\n\r\n")
            await until(lambda: not relay.upstream.exchanges and not relay.node.requests)
            await until(lambda: relay.upstream.open_count == 0)
            assert relay.statistics().active_requests == 0
            assert not relay.node.balancer.parts.shared.requests

    run(main())


def test_a_caller_that_reads_nothing_at_all_is_let_go_of(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(server_module, "SEND_STALL_TIMEOUT_S", 0.3)

    async def giving(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(long_answer("Content-Length: 30000000", pattern(30_000_000)))

    async def main() -> None:
        async with RawServer(giving).up() as server, node([entry("s", server.port)]) as relay:
            async with Client(relay) as client:
                client.send("post")
                await until(lambda: bool(relay.server.connections) and server.connections == 1)
                await until(lambda: not relay.server.connections and not relay.upstream.exchanges)

    run(main())


def test_a_server_that_stalls_in_a_long_answer_is_given_up_in_the_end(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(connection_module, "STREAM_PAUSE_TIMEOUT_S", 0.2)
    monkeypatch.setattr(connection_module, "RESPONSE_PAUSE_TIMEOUT_S", 0.1)

    async def giving(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(long_answer("Content-Length: 30000000", pattern(1000)))

    async def main() -> None:
        async with RawServer(giving).up() as server, node([entry("s", server.port)]) as relay:
            async with Client(relay) as client:
                client.send("post")
                await client.reader.readuntil(b"\r\n\r\n")
                with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                    await client.reader.readexactly(30_000_000)

    run(main())


@pytest.mark.parametrize("length", [b"Content-Length: 2\r\n", b"Transfer-Encoding: chunked\r\n"])
def test_who_waits_for_a_word_before_the_body_gets_it(length: bytes):
    """Guards callers that send `Expect: 100-continue`, and would wait for long without it."""

    async def main() -> None:
        async with FakeServer().up() as server, node([entry("s", server.port)]) as relay:
            async with Client(relay) as client:
                client.writer.write(request("Expect: 100-Continue")[:-2] + length + b"\r\n")
                assert await client.reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
                client.writer.write(b"ab" if b"2" in length else b"2\r\nab\r\n0\r\n\r\n")
                assert status(await client.answer()) == 200
                assert "expect" not in server.got[0].headers
                assert server.got[0].body == b"ab"
                client.writer.write(request("Expect: the-best").replace(b"big", b"other"))
                assert status(await client.answer()) == 417

    run(main())


def test_an_offer_of_another_protocol_is_not_taken_up_and_hides_nothing():
    """Guards against a request in the body of one that offers an upgrade: the body goes on as a body."""
    hidden = (
        b"GET /api/hidden HTTP/1.1\r\nRequest-Id: h\r\nRequest-Class: read\r\nRequest-Timeout-Ms: 900\r\n\r\n"
    )

    async def main() -> None:
        async with FakeServer().up() as server, node([entry("s", server.port)]) as relay:
            async with Client(relay) as client:
                offer = {"Connection": "Upgrade, HTTP2-Settings", "Upgrade": "h2c", "HTTP2_Settings": "AAMA"}
                client.writer.write(request(f"Content-Length: {len(hidden)}", **offer) + hidden)
                assert status(await client.answer()) == 200
                assert [message.body for message in server.got] == [hidden]
                assert "upgrade" not in server.got[0].headers
                assert "http2-settings" not in server.got[0].headers
                client.writer.write(request("Content-Length: 0", **offer).replace(b"big", b"two"))
                client.writer.write(request("Content-Length: 1").replace(b"big", b"three") + b"x")
                assert [status(await client.answer()) for _ in range(2)] == [200, 200]
                assert [message.body for message in server.got[1:]] == [b"", b"x"]

    run(main())


def test_a_target_in_absolute_form_goes_on_as_its_server_knows_it():
    async def main() -> None:
        async with FakeServer().up() as server, node([entry("s", server.port)]) as relay:
            async with Client(relay) as client:
                raw = request("Content-Length: 0").replace(b"/api/k", b"http://app.svc:80/api/k?x=1")
                client.writer.write(raw)
                assert status(await client.answer()) == 200
                assert server.got[0].first == "POST /api/k?x=1 HTTP/1.1"
                assert server.got[0].headers["host"] == "app.svc:80"

    run(main())


def test_a_body_that_stops_on_its_way_is_told_so(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(server_module, "RECEIVE_TIMEOUT_S", 0.1)
    monkeypatch.setattr(body_module, "MAX_BUFFERED_BODY_BYTES", 10)

    async def main() -> None:
        async with FakeServer().up() as server, node([entry("s", server.port)]) as relay:
            for size in (5, 500):  # held, and on its way to the server
                async with Client(relay) as client:
                    client.writer.write(request("Content-Length: 1000").replace(b"big", b"%d" % size))
                    client.writer.write(b"x" * size)
                    assert status(await client.answer()) == 408
            await until(lambda: not relay.node.requests and not relay.upstream.exchanges)
            assert server.got == []
            assert relay.budget.used_bytes == 0

    run(main())


def test_long_answers_to_what_was_pipelined_come_in_order():
    data = pattern(100_000)

    async def giving(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(long_answer(f"Content-Length: {len(data)}", data))

    async def main() -> None:
        async with RawServer(giving).up() as server, node([entry("s", server.port)]) as relay:
            async with Client(relay) as client:
                client.send("post")
                client.send("post")
                for _ in range(2):
                    got = await read_message(client.reader)
                    assert got is not None
                    assert got.body == data

    run(main())


def test_a_trailer_is_no_header_of_this_request_nor_of_the_next():
    async def main() -> None:
        async with FakeServer().up() as server, node([entry("s", server.port)]) as relay:
            async with Client(relay) as client:
                raw = request("Transfer-Encoding: chunked") + b"2;a=b\r\nab\r\n0\r\n"
                raw += b"Request-Id: x\r\nX-T: 1\r\n\r\n"
                client.writer.write(raw + request("Content-Length: 0").replace(b"big", b"next"))
                assert [status(await client.answer()) for _ in range(2)] == [200, 200]
                assert [message.headers["request-id"] for message in server.got] == ["big", "next"]
                assert not any("x-t" in message.headers for message in server.got)
                assert [message.body for message in server.got] == [b"ab", b""]

    run(main())


def test_a_server_that_reads_nothing_of_a_body_is_given_up(monkeypatch: pytest.MonkeyPatch):
    """Guards callers: before the last byte no deadline runs, so nothing else would end this."""
    monkeypatch.setattr(connection_module, "WRITE_STALL_TIMEOUT_S", 0.2)
    monkeypatch.setattr(upstream_module, "SWEEP_INTERVAL_S", 0.05)

    async def ignoring(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.transport.pause_reading()  # type: ignore[attr-defined]

    async def main() -> None:
        async with RawServer(ignoring).up() as server, node([entry("s", server.port)]) as relay:
            async with Client(relay) as client:
                client.writer.write(request(f"Content-Length: {30 << 20}"))
                sending = asyncio.ensure_future(_send(client.writer, 30 << 20))
                assert status(await client.answer()) == 503, "it never ran"
                await sending  # and the rest is read past
                assert status(await client.ask("post", id="next")) == 504
                assert relay.budget.used_bytes == 0

    run(main())


async def _send(writer: asyncio.StreamWriter, size: int) -> None:
    for _ in range(0, size, 1 << 16):
        writer.write(pattern(1 << 16))
        await writer.drain()


def test_a_request_that_has_its_answer_gets_no_second_one(monkeypatch: pytest.MonkeyPatch):
    """Guards the order of answers: the rest of a refused body stops on its way, and that is all."""
    monkeypatch.setattr(server_module, "RECEIVE_TIMEOUT_S", 0.1)
    monkeypatch.setattr(body_module, "MAX_BUFFERED_BODY_BYTES", 10)

    async def main() -> None:
        async with node([entry("down", 1)]) as relay, Client(relay) as client:
            client.writer.write(request("Content-Length: 1000") + b"x" * 500)
            assert status(await client.answer()) == 503
            assert await client.reader.read() == b""

    run(main())
