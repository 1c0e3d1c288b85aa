"""Last responses to callers: an endpoint's answer, a refusal, a failure, or a stream broken off.

Once the caller has received a part of a stream, none but the last is possible.
"""

import asyncio

from eliot import log_message

from teaselpath.dispatch import NoEndpoint
from teaselpath.fleet import RequestCodec
from teaselpath.gateway._call import Call
from teaselpath.gateway._quarantine import Quarantined
from teaselpath.gateway._state import GatewayState
from teaselpath.http1 import Exchange, Headers
from teaselpath.results import Code

# Shortest Retry-After of a refusal, in seconds.
MIN_RETRY_AFTER_S = 0.2
# Retry-After of a request that no engine's memory holds, in seconds: only a changed configuration
# helps.
TOO_LARGE_RETRY_AFTER_S = 3.0


class Responder:
    """Ends requests that were admitted; each method returns the result code.

    :param state: state of this gateway.
    :param codec: translation of requests and answers.
    """

    def __init__(self, state: GatewayState, codec: RequestCodec):
        self.state = state
        self.codec = codec
        self.loop = asyncio.get_running_loop()

    def forward_answer(self, exchange: Exchange, call: Call) -> Code:
        """Forward the last complete answer of an endpoint."""
        assert call.answer is not None
        if exchange.is_started:
            return self.cut(exchange)
        call.first_byte_at = self.loop.time()
        exchange.respond(call.answer.status, call.answer.forwarded_headers, call.answer_body)
        return Code.OK if call.answer.status < 500 else Code.ENDPOINT_FAILED

    def refuse(self, exchange: Exchange, call: Call, code: Code, retry_after_s: float) -> Code:
        """State that the request did not run and never will."""
        if exchange.is_started:
            return self.cut(exchange)
        if call.workspace is not None:
            self.state.quota.refund(call.workspace, call.tokens)
        exchange.respond(503, self._headers(call, retry_after_s))
        return code

    def fail(self, exchange: Exchange, call: Call, status: int) -> Code:
        """Forward an answer that an endpoint gave, or else state a failure."""
        if exchange.is_started:
            return self.cut(exchange)
        if call.answer is not None:
            return self.forward_answer(exchange, call)
        exchange.respond(status, self._headers(call, None))
        return Code.DEADLINE_EXCEEDED if status == 504 else Code.OUTCOME_UNKNOWN

    def cut(self, exchange: Exchange) -> Code:
        """Break off a stream, so that it does not look complete."""
        exchange.abort()
        return Code.STREAM_INCOMPLETE

    def discard(self, exchange: Exchange) -> Code:
        """Break off a stream that its caller reads too slowly; what it has not taken is lost."""
        exchange.discard()
        return Code.CALLER_TOO_SLOW

    def end_unplaced(self, exchange: Exchange, call: Call, no_endpoint: NoEndpoint) -> Code:
        """End a request for which no endpoint is left."""
        if no_endpoint.reason == "too_large" and not exchange.is_started:
            return self._refuse_too_large(exchange, call)
        is_overload = no_endpoint.reason in ("queue", "late", "limited", "held_off")
        code = Code.OVERLOADED if is_overload else Code.NO_ENDPOINT
        call.attempts.append(("", no_endpoint.reason, 0.0))
        if call.progress.runs == 0:
            return self.refuse(exchange, call, code, no_endpoint.retry_after_s)
        return self.fail(exchange, call, 502)

    def _refuse_too_large(self, exchange: Exchange, call: Call) -> Code:
        """Refuse a request that no engine's memory holds, as an engine does that is full."""
        call.attempts.append(("", "too_large", 0.0))
        if call.progress.runs:
            return self.fail(exchange, call, 502)
        return self.refuse(exchange, call, Code.LARGER_THAN_ENGINE, TOO_LARGE_RETRY_AFTER_S)

    def end_quarantined(self, exchange: Exchange, call: Call, quarantined: Quarantined) -> Code:
        """End a request whose prompt has a part in quarantine."""
        call.attempts.append(("", quarantined.reason, 0.0))
        if call.progress.runs == 0:
            return self.refuse(exchange, call, quarantined.code, quarantined.retry_after_s)
        self.fail(exchange, call, 502)
        return quarantined.code

    def end_unfinished(self, exchange: Exchange, call: Call, wait_s: float) -> Code:
        """End a request in flight because the process ends.

        :param wait_s: time after which a caller finds another gateway, in seconds.
        """
        now = self.loop.time()
        log_message(
            "request_ended_by_stop",
            request_id=call.request.request_id,
            was_sent=call.was_sent,
            is_started=exchange.is_started,
            age_s=round(now - call.arrived_at, 3),
            time_left_s=round(call.deadline - now, 3),
        )
        # An attempt that the cancellation has interrupted may have run.
        if call.was_sent:
            return self.fail(exchange, call, 502)
        return self.end_stopping(exchange, call, wait_s)

    def end_stopping(self, exchange: Exchange, call: Call, wait_s: float) -> Code:
        """End a request that this gateway cannot send before it ends; as ``end_unfinished``."""
        if call.progress.runs:
            return self.fail(exchange, call, 502)
        return self.refuse(exchange, call, Code.STOPPING, wait_s)

    def end_failed(self, exchange: Exchange, call: Call) -> Code:
        """End a request whose handling has raised or was cancelled.

        A response that is complete stays as it is.
        """
        if not exchange.is_finished:
            if call.was_sent:
                self.fail(exchange, call, 502)
            else:
                self.refuse(exchange, call, Code.INTERNAL_ERROR, MIN_RETRY_AFTER_S)
        return Code.INTERNAL_ERROR

    def _headers(self, call: Call, retry_after_s: float | None) -> Headers:
        return self.codec.own_response_headers(call.request.request_id, retry_after_s)
