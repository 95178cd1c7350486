"""Encoding of the file with the last document that a node applied: a header line, then JSON."""

from __future__ import annotations

import zlib

import orjson

from rosewheel.control.codec.values import (
    JsonObject,
    decode_document,
    decode_revision,
    encode_revision,
    malformed_on_error,
)
from rosewheel.control.documents import Document
from rosewheel.control.errors import CachedDocumentError, MalformedMessageError
from rosewheel.control.revisions import Revision

MAGIC = b"rosewheel-control"
FORMAT_VERSION = 1


def encode_cached_document(service: str, revision: Revision, document: Document) -> bytes:
    """Return the content of the file.

    The header has a magic string, the format version, and the crc32 and length of the JSON.
    """
    body = orjson.dumps({"service": service, "at": encode_revision(revision), "document": document})
    return b"%b %d %08x %d\n" % (MAGIC, FORMAT_VERSION, zlib.crc32(body), len(body)) + body


def decode_cached_document(data: bytes, service: str) -> tuple[Revision, Document]:
    """Decode the content of the file.

    Raises:
        CachedDocumentError: The content is incomplete, corrupt, of another format or of another service.
    """
    header, newline, body = data.partition(b"\n")
    fields = header.split(b" ")
    if not newline or len(fields) != 4 or fields[0] != MAGIC or fields[1] != b"%d" % FORMAT_VERSION:
        raise CachedDocumentError(
            f"header is not that of a cached document in format version {FORMAT_VERSION}"
        )
    if fields[3] != b"%d" % len(body):
        raise CachedDocumentError("length does not match the header")
    if fields[2] != b"%08x" % zlib.crc32(body):
        raise CachedDocumentError("checksum does not match the header")
    try:
        with malformed_on_error():
            row: JsonObject = orjson.loads(body)
            if row["service"] != service:
                raise CachedDocumentError(f"document is of another service, {row['service']!r}")
            return decode_revision(row["at"]), decode_document(row["document"])
    except MalformedMessageError as error:
        raise CachedDocumentError(str(error)) from error
