"""What the endpoint gets to see of a request."""

import orjson

from teaselpath.prefix import chain_seed
from teaselpath.wire import FORWARDED_HEADERS, Start


def endpoint_headers(start: Start) -> list[tuple[str, str]]:
    """Return the headers for the endpoint; no other header passes, credentials least of all."""
    headers = [(name, value) for name, value in start.headers if name in FORWARDED_HEADERS]
    headers.append(("x-request-id", start.request_id))
    if start.claim_key:
        headers.append(("idempotency-key", start.claim_key.hex()))
    return headers


def model_body(start: Start, weights: str, is_certain: bool, priority: int) -> bytes:
    """Add the fields that only the router may set to the JSON body.

    The cache salt binds cached blocks to workspace, model and weights. While a change of weights
    may be under way, each request gets a salt of its own, so that it can reuse nothing.
    """
    version = weights if is_certain else f"{weights}?{start.request_id}#{start.attempt}"
    seed = chain_seed(start.workspace, start.model, version)
    fields = {"cache_salt": seed.hex(), "priority": priority, "request_id": start.request_id}
    if not start.body.startswith(b"{") or len(start.body) <= 2:
        return start.body
    return start.body.rstrip()[:-1] + b"," + orjson.dumps(fields)[1:]
