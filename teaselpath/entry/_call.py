"""Validation of callers' requests."""

from dataclasses import dataclass, field
from hashlib import sha256
from typing import Any
from urllib.parse import unquote_to_bytes

import orjson
from result import Err, Ok, Result

from teaselpath.bundle import Bundle, ModelSpec, RequestClass, Route
from teaselpath.prefix import chain_hashes, chain_seed, render_prompt
from teaselpath.results import Code, Failure
from teaselpath.wire import FORWARDED_HEADERS

CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"
DEFAULT_OUTPUT_CAP = 256
MAX_OUTPUT_CAP = 131_072
CLASS_HEADER = "x-teaselpath-class"
DEFAULT_CLASS = RequestClass(id="interactive", priority=0, deadline_ms=30_000, max_wait_ms=5_000)


@dataclass(slots=True)
class HttpRequest:
    """HTTP request before validation; header names are in lower case."""

    method: str
    path: str
    query: bytes
    headers: dict[str, str]
    body: bytes


@dataclass(slots=True)
class Call:
    """A validated request.

    :param key_digest: digest of the caller's key, empty on an open route.
    :param charge: tokens reserved for the call: prompt tokens plus output cap.
    :param body: body sent to the endpoint; always a JSON object for a model.
    :param prompt: rendered prompt, empty for a plain service.
    """

    workspace: str
    key_digest: bytes
    request_class: RequestClass
    method: str
    path: str
    body: bytes
    headers: list[tuple[str, str]]
    stream: bool
    repeatable: bool
    charge: int
    service: str = ""
    model: ModelSpec | None = None
    prompt: bytes = b""
    prompt_tokens: int = 0
    output_cap: int = 0
    chain: list[bytes] = field(default_factory=list)
    idempotency_key: str = ""

    @property
    def model_id(self) -> str:
        """Return the model's id, or an empty string for a plain service."""
        return self.model.id if self.model else ""

    @property
    def claim_key(self) -> bytes:
        """Return the digest under which a call is claimed; empty if it may run more than once."""
        if self.repeatable or not self.idempotency_key:
            return b""
        parts = (self.workspace, self.service, self.idempotency_key)
        return sha256("\0".join(parts).encode()).digest()


@dataclass(slots=True)
class Caller:
    """Authenticated sender of a request.

    :param key: the key as sent, used only to check that it is not forwarded to an endpoint.
    """

    workspace: str
    key_digest: bytes
    key: str


def _invalid(path: str, detail: str) -> Err[Failure]:
    return Err(Failure(Code.INVALID_FIELD, detail, path=path))


def find_route(bundle: Bundle, path: str) -> Route | None:
    """Return the route whose prefix is the longest match for a path."""
    matches = [route for route in bundle.routes if _has_prefix(path, route.prefix)]
    return max(matches, key=lambda route: len(route.prefix), default=None)


def _has_prefix(path: str, prefix: str) -> bool:
    base = prefix.rstrip("/")
    return path == base or path.startswith(base + "/")


def check_no_credential(request: HttpRequest, body: bytes, key: str) -> Result[None, Failure]:
    """Reject a request that has the caller's key in a part that is forwarded to an endpoint."""
    if not key:
        return Ok(None)
    secret = key.encode()
    visible = [body, unquote_to_bytes(request.path), unquote_to_bytes(request.query)]
    visible += [request.headers.get(name, "").encode() for name in FORWARDED_HEADERS]
    visible.append(request.headers.get("idempotency-key", "").encode())
    if any(secret in part for part in visible):
        return _invalid("$", "the request repeats its key outside the Authorization header")
    return Ok(None)


def find_class(bundle: Bundle, name: str) -> Result[RequestClass, Failure]:
    """Return the request class called ``name``; the first one of the bundle if it is empty."""
    if not name:
        return Ok(bundle.classes[0] if bundle.classes else DEFAULT_CLASS)
    for request_class in bundle.classes:
        if request_class.id == name:
            return Ok(request_class)
    return _invalid(CLASS_HEADER, f"unknown request class {name!r}")


def check_service_call(
    request: HttpRequest, route: Route, bundle: Bundle, caller: Caller
) -> Result[Call, Failure]:
    """Validate a call to a plain service."""
    if request.method not in route.methods:
        detail = f"{request.method} is not allowed; allowed: {', '.join(route.methods)}"
        return Err(Failure(Code.METHOD_NOT_ALLOWED, detail))
    checked = check_no_credential(request, request.body, caller.key)
    if isinstance(checked, Err):
        return checked
    found = find_class(bundle, request.headers.get(CLASS_HEADER) or route.request_class)
    if isinstance(found, Err):
        return found
    query = f"?{request.query.decode('latin-1')}" if request.query else ""
    return Ok(
        Call(
            workspace=caller.workspace,
            key_digest=caller.key_digest,
            request_class=found.ok_value,
            method=request.method,
            path=request.path + query,
            body=request.body,
            headers=_forwarded_headers(request),
            stream=False,
            repeatable=route.repeatable,
            charge=route.cost_tokens,
            service=route.service,
            idempotency_key=request.headers.get("idempotency-key", ""),
        )
    )


def _forwarded_headers(request: HttpRequest) -> list[tuple[str, str]]:
    return [(name, value) for name, value in request.headers.items() if name in FORWARDED_HEADERS]


def check_model_call(request: HttpRequest, bundle: Bundle, caller: Caller) -> Result[Call, Failure]:
    """Validate a chat or completion request; render its prompt and compute its hash chain."""
    try:
        body = orjson.loads(request.body)
    except orjson.JSONDecodeError as error:
        return Err(Failure(Code.MALFORMED_JSON, f"the body is not JSON: {error}"))
    if not isinstance(body, dict):
        return _invalid("$", "the body must be a JSON object")
    checked = _check_body(request.path, body)
    if isinstance(checked, Err):
        return checked
    output_cap = checked.ok_value
    model = next((model for model in bundle.models if model.id == body["model"]), None)
    if model is None:
        return Err(Failure(Code.UNKNOWN_MODEL, f"unknown model {body['model']!r}", path="$.model"))
    found = find_class(bundle, request.headers.get(CLASS_HEADER, ""))
    if isinstance(found, Err):
        return found
    data = _endpoint_body(body, output_cap)
    credential = check_no_credential(request, data, caller.key)
    if isinstance(credential, Err):
        return credential
    return Ok(_model_call(request, caller, found.ok_value, model, body, data, output_cap))


def _model_call(
    request: HttpRequest,
    caller: Caller,
    request_class: RequestClass,
    model: ModelSpec,
    body: dict[str, Any],
    data: bytes,
    output_cap: int,
) -> Call:
    prompt = render_prompt(body)
    prompt_tokens = max(1, int(len(prompt) / model.bytes_per_token))
    seed = chain_seed(caller.workspace, model.id, model.weights)
    block_bytes = int(model.block_tokens * model.bytes_per_token)
    return Call(
        workspace=caller.workspace,
        key_digest=caller.key_digest,
        request_class=request_class,
        method="POST",
        path=request.path,
        body=data,
        headers=[("content-type", "application/json")],
        stream=body.get("stream") is True,
        repeatable=True,
        charge=prompt_tokens + output_cap,
        model=model,
        prompt=prompt,
        prompt_tokens=prompt_tokens,
        output_cap=output_cap,
        chain=chain_hashes(prompt, seed, block_bytes),
    )


def _endpoint_body(body: dict[str, Any], output_cap: int) -> bytes:
    """Serialize the body for the engine, with the output cap that was charged.

    Fields that the router sets itself are removed, so that a caller cannot choose the cache salt
    of another workspace.
    """
    forwarded = {
        name: value
        for name, value in body.items()
        if name not in ("cache_salt", "priority", "request_id", "max_completion_tokens")
    }
    forwarded["max_tokens"] = output_cap
    if body.get("stream") is True:
        forwarded["stream_options"] = {"include_usage": True}
    return orjson.dumps(forwarded)


def _check_body(path: str, body: dict[str, Any]) -> Result[int, Failure]:
    """Validate the fields that the router relies on; return the output cap in tokens."""
    if not isinstance(body.get("model"), str):
        return _invalid("$.model", "must be a string")
    if not isinstance(body.get("stream"), bool | None):
        return _invalid("$.stream", "must be true or false")
    if body.get("n", 1) not in (1, None):
        return _invalid("$.n", "only one answer per request is supported")
    prompt = _check_messages(body) if path == CHAT_PATH else _check_prompt(body)
    if isinstance(prompt, Err):
        return prompt
    name = "max_completion_tokens" if "max_completion_tokens" in body else "max_tokens"
    cap = body.get(name)
    if cap is None:
        return Ok(DEFAULT_OUTPUT_CAP)
    if not isinstance(cap, int) or isinstance(cap, bool) or not 1 <= cap <= MAX_OUTPUT_CAP:
        return _invalid(f"$.{name}", f"must be a whole number from 1 to {MAX_OUTPUT_CAP}")
    return Ok(cap)


def _check_prompt(body: dict[str, Any]) -> Result[None, Failure]:
    if not isinstance(body.get("prompt"), str):
        return _invalid("$.prompt", "must be a string")
    return Ok(None)


def _check_messages(body: dict[str, Any]) -> Result[None, Failure]:
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        return _invalid("$.messages", "must be a list with at least one message")
    for index, message in enumerate(messages):
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            return _invalid(f"$.messages[{index}].role", "must be a string")
        if not isinstance(message.get("content"), str | list):
            return _invalid(f"$.messages[{index}].content", "must be a string or a list of parts")
    return Ok(None)
