"""Headers and body of the HTTP request to the endpoint."""

import orjson

from teaselpath.prefix import chain_seed
from teaselpath.wire import FORWARDED_HEADERS, Start


def endpoint_headers(start: Start) -> list[tuple[str, str]]:
    """Return the headers for the endpoint; others, such as credentials, are not forwarded."""
    headers = [(name, value) for name, value in start.headers if name in FORWARDED_HEADERS]
    headers.append(("x-request-id", start.request_id))
    if start.claim_key:
        headers.append(("idempotency-key", start.claim_key.hex()))
    return headers


def model_body(start: Start, weights: str, is_confirmed: bool, priority: int) -> bytes:
    """Add the fields reserved to the router to a JSON body.

    The cache salt binds KV cache blocks to the workspace, model and weights version. While the
    engine may be loading other weights, each attempt gets a unique salt and reuses no block.
    """
    version = weights if is_confirmed else f"{weights}?{start.request_id}#{start.attempt}"
    seed = chain_seed(start.workspace, start.model, version)
    fields = {"cache_salt": seed.hex(), "priority": priority, "request_id": start.request_id}
    if not start.body.startswith(b"{") or len(start.body) <= 2:
        return start.body
    return start.body.rstrip()[:-1] + b"," + orjson.dumps(fields)[1:]
