"""Result codes, grouped by the part of the system that reports them."""

from enum import IntEnum, StrEnum


class Ran(StrEnum):
    """Whether a request reached an endpoint.

    ``NOT_RUN`` is proven: the request was never sent, or its id was fenced.
    """

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class Code(IntEnum):
    """Numbered outcome of an operation; ``docs/errors.md`` explains each code."""

    OK = 0
    # 1xxx: caller input
    MALFORMED_JSON = 1001
    INVALID_FIELD = 1002
    BODY_TOO_LARGE = 1003
    UNKNOWN_MODEL = 1004
    UNKNOWN_ROUTE = 1005
    METHOD_NOT_ALLOWED = 1006
    REQUEST_TIMEOUT = 1007
    CALLER_GONE = 1008
    UNKNOWN_REQUEST = 1009
    CALLER_TOO_SLOW = 1010
    # 2xxx: keys and workspaces
    MISSING_KEY = 2001
    UNKNOWN_KEY = 2002
    KEY_WITHDRAWN = 2003
    WRONG_WORKSPACE = 2004
    # 3xxx: quota and admission
    RATE_EXCEEDED = 3001
    LARGER_THAN_BURST = 3002
    QUEUE_FULL = 3003
    DEADLINE_EXCEEDED = 3004
    RETRY_BUDGET_EMPTY = 3005
    QUOTA_UNCONFIRMED = 3006
    OVERLOADED = 3007
    # 4xxx: delivery
    FENCED = 4001
    DUPLICATE_REQUEST = 4002
    DUPLICATE_CLAIM = 4003
    CLAIM_UNAVAILABLE = 4004
    STREAM_INCOMPLETE = 4005
    OUTCOME_UNKNOWN = 4006
    BUFFER_EXPIRED = 4007
    CANCELLED = 4008
    # 5xxx: endpoints
    NO_ENDPOINT = 5001
    ENDPOINT_LEAVING = 5002
    ENDPOINT_FAILED = 5003
    ENDPOINT_PROTOCOL = 5004
    CIRCUIT_OPEN = 5005
    WEIGHTS_MISMATCH = 5006
    STALE_FENCE = 5007
    ORDER_FAILED = 5008
    PART_QUARANTINED = 5009
    PART_SUSPECT = 5010
    STREAM_ORIGIN_UNKNOWN = 5011
    LARGER_THAN_ENGINE = 5012
    # 6xxx: configuration
    INVALID_SETTINGS = 6001
    INVALID_BUNDLE = 6002
    BAD_SIGNATURE = 6003
    STALE_PARENT = 6004
    OLD_VERSION = 6005
    NO_BUNDLE = 6006
    UNTRUSTED_OPERATOR = 6007
    MALFORMED_RECORD = 6008
    # 7xxx: platform
    LOG_UNAVAILABLE = 7001
    LOG_TRIMMED = 7002
    LOG_RATE_LIMITED = 7003
    STORE_UNAVAILABLE = 7004
    HOST_LIST_UNAVAILABLE = 7005
    APPEND_UNKNOWN = 7006
    # 8xxx: membership and transport
    MALFORMED_MESSAGE = 8001
    PEER_UNREACHABLE = 8002
    PEER_TIMEOUT = 8003
    UNTRUSTED_PEER = 8004
    STOPPING = 8005
    INTERNAL_ERROR = 8006


_HTTP_STATUS = {
    Code.MISSING_KEY: 401,
    Code.UNKNOWN_KEY: 401,
    Code.KEY_WITHDRAWN: 401,
    Code.WRONG_WORKSPACE: 403,
    Code.BODY_TOO_LARGE: 413,
    Code.UNKNOWN_MODEL: 404,
    Code.UNKNOWN_ROUTE: 404,
    Code.UNKNOWN_REQUEST: 404,
    Code.METHOD_NOT_ALLOWED: 405,
    Code.REQUEST_TIMEOUT: 408,
    Code.CALLER_GONE: 499,
    Code.CALLER_TOO_SLOW: 499,
    Code.LARGER_THAN_BURST: 413,
    Code.RATE_EXCEEDED: 429,
    Code.QUEUE_FULL: 429,
    Code.DUPLICATE_CLAIM: 409,
    Code.DUPLICATE_REQUEST: 409,
    Code.DEADLINE_EXCEEDED: 504,
    Code.ENDPOINT_FAILED: 502,
    Code.ENDPOINT_PROTOCOL: 502,
    Code.STREAM_INCOMPLETE: 502,
    Code.OUTCOME_UNKNOWN: 502,
}


def http_status(code: Code) -> int:
    """Return the HTTP status of a result code.

    :param code: result code; codes without an entry of their own map to 400 (1xxx) or 503.
    """
    if code is Code.OK:
        return 200
    default = 400 if code < Code.MISSING_KEY else 503
    return _HTTP_STATUS.get(code, default)
