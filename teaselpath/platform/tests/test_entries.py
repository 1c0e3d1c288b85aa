"""Records that another writer left: each that cannot be used costs itself only."""

import asyncio
import json

import msgspec
import pytest

from teaselpath.fleet import EngineCallError, Position, StoredRecord, Topic
from teaselpath.http1 import HttpClient, Response, ResponseHead
from teaselpath.platform import PlatformEngines, PlatformStore
from teaselpath.platform._config import decode_config, decode_endpoint, decode_weights

ENTRY = {"service": "s", "address": "10.0.0.1:80", "zone": "a", "state": "ready", "version": "v1"}
NESTED = b'{"service": "s", "models": ' + b"[" * 3_000 + b"]" * 3_000 + b"}"


def record_of(value: bytes | dict, key: str = "e") -> StoredRecord:
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return StoredRecord(key, data, Position(0, 1))


def test_sound_entry_names_an_engine():
    endpoint = decode_endpoint(record_of(ENTRY)).endpoint
    assert endpoint is not None
    assert (endpoint.address, endpoint.software) == ("10.0.0.1:80", "v1")


@pytest.mark.parametrize(
    "fields",
    [
        {"address": "10.0.0.1:99999"},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:" + "9" * 5_000},
        {"address": "10.0.0.1:\u00b2"},
        {"address": "10.0.0.\u0661:80"},
        {"address": "10.0.0.999:80"},
        {"address": "10.0.0.1:80\n"},
        {"address": "host.example:80"},
        {"slots": -1},
        {"slots": 10**300},
        {"slots": 1.5},
        {"born": -1},
        {"born": 10**300},
        {"models": [{"name": "m", "version": 10**300}]},
        {"state": "unknown"},
        {"service": None},
    ],
)
def test_entry_that_cannot_be_used_names_no_engine(fields):
    assert decode_endpoint(record_of({**ENTRY, **fields})).endpoint is None


@pytest.mark.parametrize("key", ["", "i 1", "i\r\nTenant: other", "i-\u00e9", "i\x00"])
def test_id_that_cannot_be_a_header_field_names_no_engine(key):
    assert decode_endpoint(record_of(ENTRY, key)).endpoint is None


@pytest.mark.parametrize("value", [NESTED, b"\xff", b"[]", b"9" * 5_000, b'{"seq": 1e999}'])
def test_bytes_that_cannot_be_read_name_nothing(value):
    assert decode_endpoint(record_of(value)).endpoint is None
    assert decode_config(record_of(value, "config")) is None
    assert decode_weights(record_of(value, "version/m")) is None


@pytest.mark.parametrize("seq", [10**300, -1, "1", None, 1.0])
def test_number_that_cannot_be_read_leaves_the_engine_without_revision(seq):
    entry = decode_endpoint(record_of({**ENTRY, "born": 5, "seq": seq}))
    assert entry.endpoint is not None
    assert entry.revision is None


class OneAnswer(HttpClient):
    """HTTP client whose calls all return one body."""

    def __init__(self, body: bytes):
        super().__init__()
        self.body = body

    async def call(self, *_args, **_options) -> Response:
        return Response(ResponseHead(200), self.body)


@pytest.mark.parametrize("body", [NESTED, b'{"seq": ' + b"9" * 400 + b"}", b'{"seq": -1}'])
def test_report_that_cannot_be_read_is_a_failed_call(body):
    with pytest.raises(EngineCallError):
        asyncio.run(PlatformEngines(OneAnswer(body)).fetch_report("10.0.0.1:80", 1.0))


def test_listed_record_that_is_not_in_base64_costs_itself_only():
    items = [
        {"key": "a", "value": "!", "offset": 0},
        {"key": "b", "value": "e30=", "offset": 1},
    ]
    body = msgspec.json.encode({"items": items, "end": 2, "hasMore": False})

    async def scenario():
        store = PlatformStore("10.0.0.1:80", OneAnswer(body))
        return await store.poll(Topic.ENDPOINTS, None, 0.0)

    page = asyncio.run(scenario())
    assert [(record.key, bool(record.value)) for record in page.records] == [
        ("a", True),
        ("b", True),
    ]
    assert decode_endpoint(page.records[0]).endpoint is None
