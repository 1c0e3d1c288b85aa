"""Responses to callers over ASGI: bodies, errors and event streams."""

import orjson

from teaselpath.results import Failure, http_status

REQUEST_ID_HEADER = "x-request-id"
_ERROR_TYPES = {1: "invalid_request_error", 2: "authentication_error", 3: "rate_limit_error"}


def error_body(failure: Failure, request_id: str) -> bytes:
    """Return an error in the format that OpenAI clients expect, with additional fields."""
    error = {
        "message": str(failure),
        "type": _ERROR_TYPES.get(failure.code // 1000, "server_error"),
        "param": failure.path or None,
        "code": failure.code.name.lower(),
        "result_code": int(failure.code),
        "ran": str(failure.ran),
        "request_id": request_id,
    }
    return orjson.dumps({"error": error})


def error_event(failure: Failure, request_id: str) -> bytes:
    """Return a final error as a server-sent event; no ``[DONE]`` marker follows it."""
    return b"data: " + error_body(failure, request_id) + b"\n\n"


def error_headers(failure: Failure, request_id: str) -> list[tuple[str, str]]:
    """Return the headers of an error response."""
    headers = [
        ("content-type", "application/json"),
        (REQUEST_ID_HEADER, request_id),
        ("x-teaselpath-code", str(int(failure.code))),
        ("x-teaselpath-ran", str(failure.ran)),
    ]
    if failure.retry_after_s > 0:
        # Rounded up, so that a caller that waits this long is not refused for the same reason.
        headers.append(("retry-after", str(int(-(-failure.retry_after_s // 1)))))
    return headers


class CallerStream:
    """Response to one caller.

    :param send: ASGI send function.
    :param is_event_stream: whether the caller asked for server-sent events.
    """

    def __init__(self, send, is_event_stream: bool):
        self.asgi_send = send
        self.is_event_stream = is_event_stream
        self.started = False
        self.finished = False

    async def start(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Send status and headers."""
        self.started = True
        raw = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]
        await self.asgi_send({"type": "http.response.start", "status": status, "headers": raw})

    async def send(self, data: bytes) -> None:
        """Send a part of the body; wait while the send buffer of the connection is full."""
        await self.asgi_send({"type": "http.response.body", "body": data, "more_body": True})

    async def finish(self) -> None:
        """End the response as complete."""
        self.finished = True
        await self.asgi_send({"type": "http.response.body", "body": b"", "more_body": False})

    async def fail(self, failure: Failure, request_id: str) -> None:
        """End the response with an error.

        Once the headers were sent, an event stream ends with an error event. Any other body is left
        incomplete, which the caller detects because the server closes the connection.
        """
        if not self.started:
            await self.start(http_status(failure.code), error_headers(failure, request_id))
            await self.send(error_body(failure, request_id))
            await self.finish()
        elif self.is_event_stream:
            await self.send(error_event(failure, request_id))
            await self.finish()
