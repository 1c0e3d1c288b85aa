"""Translation of the header fields of requests and answers."""

import re
from math import isfinite
from urllib.parse import urlsplit

from teaselpath.fleet import AnswerInfo, CallerRequest, Forwarding, Prompt, PromptPart
from teaselpath.http1 import HOP_BY_HOP, encode_request

Headers = list[tuple[bytes, bytes]]

REQUEST_ID = b"request-id"
# Remaining time of the caller in ms; despite its name no point in time.
TIME_LEFT = b"deadline-ms"
# Request id of the caller's attempt that brought the first event of the stream to take up.
RESUMES = b"resumes"
# Prompt tokens and maximum output tokens, comma-separated.
TOKENS = b"token-counts"
RESPONSE_STAMP = b"response-stamp"
NOT_RUN = b"not-run"
LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"
KEY_SCHEME = b"token "
# Bytes of an invalid value that are logged.
MAX_EXCERPT_BYTES = 32
# Longest time for which a Retry-After is obeyed, in seconds: about thirty years, in which each
# process ends.
MAX_RETRY_AFTER_S = 1e9
_SECONDS = re.compile(rb"\d+(\.\d*)?|\.\d+")
_DECIMAL = re.compile(rb"\d{1,12}(\.\d{0,12})?")
_COUNT = re.compile(rb"\d{1,9}")
# Counts with which a stated load begins: running and waiting requests, slots.
LOAD_COUNTS = 3
# Stated figure of an engine whose work takes as long as usual.
USUAL_PACE = 100.0

# Fields that are not forwarded from callers; the gateway sets some of them itself.
_NOT_FORWARDED_FIELDS = frozenset(
    {
        b"authorization",
        b"cache-salt",
        b"content-length",
        b"deadline-ms",
        b"accept-encoding",
        b"expect",
        b"expect-instance",
        b"expect-version",
        b"hold",
        b"host",
        b"kv-backup",
        b"kv-fetch",
        b"kv-from",
        b"kv-save",
        b"last-event-id",
        b"pin-ms",
        b"request-priority",
        b"tenant",
    }
)
_REMOVED_FROM_REQUESTS = HOP_BY_HOP | _NOT_FORWARDED_FIELDS
_REMOVED_FROM_ANSWERS = HOP_BY_HOP | {
    b"content-length",
    LEAVING,
    b"server-limit",
    b"server-load",
}


class PlatformRequests:
    """Translation of requests and answers."""

    id_header = REQUEST_ID

    def decode_request(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> CallerRequest | None:
        """Return a caller's request, or None if it is malformed."""
        fields: dict[bytes, bytes] = {}
        forwarded: Headers = []
        options = _connection_options(headers)
        for name, value in headers:
            lower = name.lower()
            if lower == b"host" and b"host" in fields:
                return None
            fields.setdefault(lower, value)
            if lower not in _REMOVED_FROM_REQUESTS and lower not in options:
                forwarded.append((name, value))
        try:
            # A target in absolute form contains scheme and host.
            path = urlsplit(target.decode("ascii")).path if target[:1] != b"/" else ""
            path = path or target.decode("ascii").partition("?")[0]
            host = fields.get(b"host", b"").decode("ascii").lower().partition(":")[0]
        except (UnicodeDecodeError, ValueError):
            return None
        tokens = _parse_token_counts(fields.get(TOKENS))
        return CallerRequest(
            method=method,
            target=target,
            host=host,
            path=path,
            request_id=fields.get(REQUEST_ID, b"").decode("latin-1"),
            key=_api_key(fields.get(b"authorization")),
            time_left_s=_parse_milliseconds(fields.get(TIME_LEFT)),
            last_event_id=fields.get(b"last-event-id"),
            prompt=_parse_prompt(fields, tokens),
            tokens=sum(tokens) if tokens else None,
            forwarded_headers=forwarded,
            body=body,
            resumes=fields.get(RESUMES, b"").decode("latin-1") or None,
        )

    def encode_request(self, request: CallerRequest, forwarding: Forwarding) -> bytes:
        """Return the encoded request to send to an endpoint."""
        headers: Headers = [
            (b"Host", request.host.encode("latin-1")),
            *request.forwarded_headers,
            (b"Deadline-Ms", b"%d" % max(1, int(forwarding.time_left_s * 1000))),
            (b"Expect-Instance", forwarding.endpoint_id.encode()),
        ]
        optional = (
            (b"Tenant", forwarding.workspace),
            (b"Cache-Salt", forwarding.scope),
            (b"Expect-Version", forwarding.weights),
            (b"Request-Priority", forwarding.priority),
            (b"Kv-Fetch", forwarding.fetch_from),
            (b"Kv-Save", forwarding.save_to),
        )
        # Names come from JSON records, in UTF-8; what callers send is passed on byte by byte.
        headers += [(k, str(v).encode()) for k, v in optional if v is not None]
        if forwarding.last_event_id is not None:
            headers.append((b"Last-Event-Id", forwarding.last_event_id))
        return encode_request(request.method, request.target, headers, request.body)

    def decode_answer(self, status: int, headers: Headers) -> AnswerInfo:
        """Return the information in the head of an answer."""
        fields = {name.lower(): value for name, value in headers}
        options = _connection_options(headers)
        limit_text = fields.get(b"server-limit")
        limit_per_s = _parse_rate(limit_text)
        is_invalid = limit_text is not None and limit_per_s is None
        leaving_text = fields.get(LEAVING)
        is_leaving = states_leaving(headers)
        hold_off_s, invalid_hold_off = parse_hold_off(status, headers)
        load_text = fields.get(b"server-load")
        requests, pace = _parse_load(load_text)
        is_invalid_load = load_text is not None and (
            requests is None or (pace is None and load_text.count(b",") > LOAD_COUNTS - 1)
        )
        return AnswerInfo(
            status=status,
            has_stamp=RESPONSE_STAMP in fields,
            # An engine that answers with success has run the request, whatever else it states.
            did_not_run=(NOT_RUN in fields and status >= 400) or status == 421,
            is_misdirected=status == 421,
            is_encoded=fields.get(b"content-encoding", b"identity").lower() != b"identity",
            weights=_parse_integer(fields.get(b"weight-versions")),
            requests=requests,
            pace=pace,
            invalid_load=_excerpt(load_text) if is_invalid_load else None,
            limit_per_s=limit_per_s,
            invalid_limit=_excerpt(limit_text) if is_invalid else None,
            media_type=fields.get(b"content-type", b"").partition(b";")[0].strip().lower(),
            is_leaving=is_leaving,
            invalid_leaving=None if is_leaving else _excerpt(leaving_text),
            hold_off_s=hold_off_s,
            invalid_hold_off=invalid_hold_off,
            forwarded_headers=[
                (name, value)
                for name, value in headers
                if name.lower() not in _REMOVED_FROM_ANSWERS and name.lower() not in options
            ],
        )

    def own_response_headers(self, request_id: str, retry_after_s: float | None) -> Headers:
        """Return header fields of a response that the gateway itself generates."""
        headers: Headers = []
        if request_id:
            headers.append((b"Request-Id", request_id.encode("latin-1")))
        if retry_after_s is not None:
            headers.append((b"Retry-After", b"%.2f" % retry_after_s))
        return headers


def states_leaving(headers: Headers) -> bool:
    """Return whether the header fields of an answer state that its engine leaves."""
    return any(name.lower() == LEAVING and value.strip() == b"1" for name, value in headers)


def parse_hold_off(status: int, headers: Headers) -> tuple[float | None, str | None]:
    """Return the seconds for which a refusal wants no requests, and an excerpt of invalid text.

    Dates, negative numbers and other text than a decimal number are invalid.
    """
    if status != 503:
        return None, None
    texts = [value.strip() for name, value in headers if name.lower() == RETRY_AFTER]
    valid = [float(text) for text in texts if _SECONDS.fullmatch(text)]
    if valid:
        return min(MAX_RETRY_AFTER_S, max(valid)), None
    return None, _excerpt(texts[0] if texts else None)


def _excerpt(value: bytes | None) -> str | None:
    """Return the beginning of a field's value, for the log."""
    return None if value is None else repr(value[:MAX_EXCERPT_BYTES])


def _connection_options(headers: Headers) -> set[bytes]:
    options: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b"connection":
            options.update(token.strip().lower() for token in value.split(b","))
    return options


def _api_key(value: bytes | None) -> str | None:
    if value is None or not value.lower().startswith(KEY_SCHEME):
        return None
    return value[len(KEY_SCHEME) :].strip().decode("latin-1")


def _parse_milliseconds(value: bytes | None) -> float | None:
    """Return a time in seconds; None unless it is a finite number."""
    try:
        time_s = float(value) / 1000 if value is not None else None
    except ValueError:
        return None
    return time_s if time_s is not None and isfinite(time_s) else None


def _parse_integer(value: bytes | None) -> int | None:
    try:
        return int(value) if value is not None else None
    except ValueError:
        return None


def _parse_rate(value: bytes | None) -> float | None:
    """Return a rate; None unless it is a finite decimal number of at least 0."""
    if value is None or not _DECIMAL.fullmatch(value.strip()):
        return None
    rate = float(value)
    return rate if isfinite(rate) else None


def _parse_load(value: bytes | None) -> tuple[int | None, float | None]:
    """Return the number of running and waiting requests, and the pace, each None if not stated.

    The figures are running, waiting, slots and, from some engines, how long work takes in percent
    of the usual. Figures that may follow have no meaning here.
    """
    figures = [figure.strip() for figure in (value or b"").split(b",")]
    counts = figures[:LOAD_COUNTS]
    if len(counts) < LOAD_COUNTS or not all(_COUNT.fullmatch(count) for count in counts):
        return None, None
    pace = None
    if len(figures) > LOAD_COUNTS and _DECIMAL.fullmatch(figures[LOAD_COUNTS]):
        pace = float(figures[LOAD_COUNTS]) / USUAL_PACE or None
    return int(figures[0]) + int(figures[1]), pace


def _parse_token_counts(value: bytes | None) -> tuple[int, int] | None:
    if value is None:
        return None
    try:
        prompt, _, output = value.partition(b",")
        return max(0, int(prompt)), max(0, int(output))
    except ValueError:
        return None


def _parse_prompt(fields: dict[bytes, bytes], tokens: tuple[int, int] | None) -> Prompt | None:
    model, listed = fields.get(b"model"), fields.get(b"prompt-prefix")
    if model is None or tokens is None:
        return None
    parts = []
    try:
        for entry in (listed or b"").decode("latin-1").split(","):
            part_id, _, size = entry.strip().partition(":")
            if part_id:
                parts.append(PromptPart(part_id, int(size)))
    except ValueError:
        parts = []
    return Prompt(model.decode("latin-1"), tuple(parts), tokens[0], tokens[1])
