"""Encoding of the responses that the node writes to clients."""

from __future__ import annotations

import pytest

from rosewheel.http.response_encoding import encode_response, encode_streamed_head


def test_complete_response():
    expected = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    assert encode_response(200, b"ok", close=False) == expected


def test_rejection_with_retry_after_and_close():
    head = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
    fields = b"Retry-After: 0.600\r\nConnection: close\r\n"
    assert encode_response(503, b"", close=True, retry_after_ms=600.0) == head + fields + b"\r\n"


def test_unknown_status_has_no_reason_phrase():
    assert encode_response(599, b"", close=False) == b"HTTP/1.1 599 \r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize(
    ("content_length", "chunked", "close", "fields"),
    [
        (7, False, False, b"Content-Length: 7\r\n"),
        (0, False, True, b"Content-Length: 0\r\nConnection: close\r\n"),
        (None, True, False, b"Transfer-Encoding: chunked\r\n"),
        (None, False, True, b"Connection: close\r\n"),
    ],
)
def test_streamed_head(content_length: int | None, chunked: bool, close: bool, fields: bytes):
    head = encode_streamed_head(content_length, chunked=chunked, close=close)
    assert head == b"HTTP/1.1 200 OK\r\n" + fields + b"\r\n"
