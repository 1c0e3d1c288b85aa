"""Settings of a process: one JSON file, validated with all faults reported at once."""

import stat
from collections.abc import Iterable
from ipaddress import ip_address
from pathlib import Path
from typing import Annotated, Literal
from urllib.parse import urlsplit

import msgspec
from msgspec import Meta
from result import Err, Ok, Result

from teaselpath.bundle import FaultCollector, decode_document
from teaselpath.results import Code, Failure

Name = Annotated[str, Meta(min_length=1, max_length=200, pattern=r"^[^\s\x00]+\Z")]
Port = Annotated[int, Meta(ge=1, le=65535)]
Seconds = Annotated[float, Meta(gt=0, le=86_400)]
Milliseconds = Annotated[int, Meta(ge=1, le=3_600_000)]
Count = Annotated[int, Meta(ge=1, le=10_000_000)]
Bytes = Annotated[int, Meta(ge=1, le=2**34)]
# A CURVE key has 32 bytes, which Z85 encodes as 40 characters.
CURVE_KEY_LENGTH = 40
OPERATOR_KEY_BYTES = 32


class _Strict(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Base class of all settings; rejects unknown fields."""


class ControlSettings(_Strict):
    """Socket for other nodes and the operators' tool.

    :param address: IP address to bind.
    :param curve_public: CURVE public key of this process, 40 characters of Z85.
    :param curve_secret_file: file with the CURVE secret key, readable by its owner only.
    :param accepted_curve_keys: public keys that may connect besides those of the members, such as
        those of the operators' tools.
    """

    address: str = "127.0.0.1"
    port: Port = 7400
    curve_public: str = ""
    curve_secret_file: str = ""
    accepted_curve_keys: list[str] = []


class HttpSettings(_Strict):
    """HTTP socket of an entry.

    :param address: IP address to bind.
    :param tls_cert: file with the certificate chain; empty for plain HTTP.
    :param tls_key_file: file with the private key of the certificate.
    """

    address: str = "127.0.0.1"
    port: Port = 8080
    tls_cert: str = ""
    tls_key_file: str = ""


class PeerSettings(_Strict):
    """Statically configured node, used when the host list is unavailable."""

    host: Name
    address: str
    control_port: Port = 7400
    curve_public: str = ""
    role: Literal["entry", "agent"] = "entry"
    region: str = ""
    failure_domain: str = ""
    endpoint: str = ""


class EndpointSettings(_Strict):
    """Endpoint that an agent serves.

    :param id: id of the endpoint in the bundle; empty at an entry.
    :param url: base URL of the endpoint.
    """

    id: str = ""
    kind: Literal["engine", "service"] = "engine"
    url: str = ""


class Limits(_Strict):
    """Limits on memory and timeouts.

    :param body_bytes: maximum size of a request body.
    :param connections: maximum number of callers' connections to an entry.
    :param queued_requests: maximum number of requests queued at an agent.
    :param stream_window_chunks: maximum number of unacknowledged chunks of a stream in flight.
    :param stream_buffer_bytes: unacknowledged bytes of a stream that an agent buffers.
    :param buffer_s: how long an agent retains an ended stream for its entry.
    :param decision_records: decision records that a node stores.
    :param trace_queue: decision records queued for replication to a second node.
    :param connect_timeout_ms: timeout for opening a connection.
    :param probe_timeout_ms: timeout for one probe of an agent.
    :param append_timeout_ms: timeout for one append to the log.
    :param log_wait_ms: duration of one long poll of the log.
    :param host_list_interval_s: interval between two reads of the host list.
    :param log_retention_s: how long the log retains a record.
    :param body_timeout_s: timeout for receiving the body of a caller's request.
    :param stream_idle_timeout_s: longest time without data from an endpoint during an answer.
    """

    body_bytes: Bytes = 16 * 1024 * 1024
    connections: Count = 4096
    queued_requests: Count = 2048
    stream_window_chunks: Count = 64
    stream_buffer_bytes: Bytes = 1024 * 1024
    buffer_s: Seconds = 30.0
    decision_records: Count = 20_000
    trace_queue: Count = 4096
    connect_timeout_ms: Milliseconds = 1000
    probe_timeout_ms: Milliseconds = 150
    append_timeout_ms: Milliseconds = 3000
    log_wait_ms: Milliseconds = 10_000
    host_list_interval_s: Seconds = 2.0
    log_retention_s: Seconds = 86_400.0
    body_timeout_s: Seconds = 10.0
    stream_idle_timeout_s: Seconds = 30.0


class Settings(_Strict):
    """Settings of one process.

    :param operator_keys: trusted Ed25519 public keys, 64 hexadecimal digits each.
    :param cache_store_region: region of the KV cache store; empty for the region of this process.
    :param stop_timeout_s: timeout of a graceful shutdown.
    :param log_file: file for log lines; empty for standard error.
    """

    role: Literal["entry", "agent"]
    host: Name
    region: Name
    failure_domain: Name
    operator_keys: Annotated[list[str], Meta(min_length=1)]
    control: ControlSettings = msgspec.field(default_factory=ControlSettings)
    http: HttpSettings = msgspec.field(default_factory=HttpSettings)
    log_url: str = ""
    host_list_url: str = ""
    cache_store_url: str = ""
    cache_store_region: str = ""
    weight_store_url: str = ""
    peers: list[PeerSettings] = []
    endpoint: EndpointSettings = msgspec.field(default_factory=EndpointSettings)
    stop_timeout_s: Seconds = 30.0
    log_file: str = ""
    limits: Limits = msgspec.field(default_factory=Limits)

    def operator_key_bytes(self) -> list[bytes]:
        """Return the trusted operator keys, 32 bytes each."""
        return [bytes.fromhex(key) for key in self.operator_keys]


def check_settings(data: bytes) -> Result[Settings, list[Failure]]:
    """Decode and validate settings.

    :param data: JSON document.
    :returns: the settings, or every fault with JSON path, reason and code.
    """
    faults = FaultCollector(Code.INVALID_SETTINGS)
    settings = decode_document(data, Settings, faults)
    if settings is not None:
        _check_sockets(settings, faults)
        _check_keys(settings, faults)
        _check_urls(settings, faults)
        _check_role(settings, faults)
        _check_peers(settings, faults)
    if settings is None or faults.faults:
        return Err(faults.faults)
    return Ok(settings)


def load_settings(path: str | Path) -> Result[Settings, list[Failure]]:
    """Read and validate a settings file."""
    try:
        data = Path(path).read_bytes()
    except OSError as error:
        detail = f"cannot read {path}: {error.strerror}"
        return Err([Failure(Code.INVALID_SETTINGS, detail, path="$")])
    return check_settings(data)


def read_secret(path: str | Path) -> Result[bytes, Failure]:
    """Read a secret from a file that only its owner can read.

    :returns: the contents without surrounding white space.
    """
    try:
        mode = Path(path).stat().st_mode
        data = Path(path).read_bytes()
    except OSError as error:
        return Err(Failure(Code.INVALID_SETTINGS, f"cannot read {path}: {error.strerror}"))
    if mode & (stat.S_IRWXG | stat.S_IRWXO):
        detail = f"{path} is open to other users; set its mode to 600"
        return Err(Failure(Code.INVALID_SETTINGS, detail))
    return Ok(data.strip())


def _check_sockets(settings: Settings, faults: FaultCollector) -> None:
    _check_address(settings.control.address, "$.control.address", faults)
    _check_address(settings.http.address, "$.http.address", faults)
    control, http = settings.control, settings.http
    is_same_socket = (control.address, control.port) == (http.address, http.port)
    if settings.role == "entry" and is_same_socket:
        faults.add("$.http.port", "the same address and port as $.control")
    if bool(http.tls_cert) != bool(http.tls_key_file):
        missing = "tls_key_file" if http.tls_cert else "tls_cert"
        faults.add(f"$.http.{missing}", "tls_cert and tls_key_file are set together")


def _check_address(address: str, path: str, faults: FaultCollector) -> None:
    try:
        ip_address(address)
    except ValueError:
        faults.add(path, f"expected an IP number, got {address!r}")


def _check_keys(settings: Settings, faults: FaultCollector) -> None:
    control = settings.control
    if bool(control.curve_public) != bool(control.curve_secret_file):
        missing = "curve_secret_file" if control.curve_public else "curve_public"
        faults.add(f"$.control.{missing}", "curve_public and curve_secret_file are set together")
    curve_keys = [("$.control.curve_public", control.curve_public)]
    curve_keys += [
        (f"$.control.accepted_curve_keys[{i}]", key)
        for i, key in enumerate(control.accepted_curve_keys)
    ]
    curve_keys += [(f"$.peers[{i}].curve_public", p.curve_public) for i, p in _peers(settings)]
    for path, key in curve_keys:
        if key and len(key) != CURVE_KEY_LENGTH:
            faults.add(path, f"expected {CURVE_KEY_LENGTH} characters of Z85, got {len(key)}")
    for i, key in enumerate(settings.operator_keys):
        if not _is_operator_key(key):
            faults.add(f"$.operator_keys[{i}]", "expected 64 hexadecimal digits")


def _is_operator_key(key: str) -> bool:
    try:
        return len(bytes.fromhex(key)) == OPERATOR_KEY_BYTES and len(key) == 2 * OPERATOR_KEY_BYTES
    except ValueError:
        return False


def _check_urls(settings: Settings, faults: FaultCollector) -> None:
    urls = [
        (f"$.{name}", getattr(settings, name))
        for name in ("log_url", "host_list_url", "cache_store_url", "weight_store_url")
    ]
    for path, url in [*urls, ("$.endpoint.url", settings.endpoint.url)]:
        if url and not _is_http_url(url):
            faults.add(path, f"expected an http or https URL, got {url!r}")


def _is_http_url(url: str) -> bool:
    try:
        parts = urlsplit(url)
        return parts.scheme in ("http", "https") and bool(parts.hostname) and parts.port != 0
    except ValueError:
        return False


def _check_role(settings: Settings, faults: FaultCollector) -> None:
    for name in ("id", "url"):
        value = getattr(settings.endpoint, name)
        if settings.role == "agent" and not value:
            faults.add(f"$.endpoint.{name}", "an agent needs this field")
        if settings.role == "entry" and value:
            faults.add(f"$.endpoint.{name}", "an entry has no endpoint")
    if not settings.log_url and not settings.peers:
        faults.add("$.log_url", "a process without peers needs the log")


def _check_peers(settings: Settings, faults: FaultCollector) -> None:
    seen: set[str] = set()
    for i, peer in _peers(settings):
        _check_address(peer.address, f"$.peers[{i}].address", faults)
        if peer.host in seen:
            faults.add(f"$.peers[{i}].host", f"duplicate host {peer.host!r}")
        seen.add(peer.host)


def _peers(settings: Settings) -> Iterable[tuple[int, PeerSettings]]:
    return enumerate(settings.peers)
