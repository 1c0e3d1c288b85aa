"""Log lines and metrics on connections that end with something unanswered."""

from eliot import log_message, write_traceback

from teaselpath.gateway._metrics import GatewayMetrics
from teaselpath.http1 import ConnectionEnd, Request

# Requests that the log line on the end of a connection lists.
MAX_LOGGED_REQUESTS = 8


class ConnectionReporter:
    """Reports failed handlers and ends of connections that leave something unanswered.

    :param id_header: name of the header field with the id of a request.
    """

    def __init__(self, id_header: bytes, metrics: GatewayMetrics):
        self.id_header = id_header.lower()
        self.metrics = metrics

    def on_handler_failed(self, request: Request, error: Exception) -> None:
        """Report that the handler of a request raised."""
        self.metrics.count_handler_failure()
        log_message("handler_failed", request_id=self._id_of(request), error=repr(error))
        write_traceback()

    def on_end(self, end: ConnectionEnd) -> None:
        """Report an end that leaves something unanswered."""
        self.metrics.count_connection_end(end.cause.value)
        log_message(
            "connection_ended",
            cause=end.cause.value,
            cut=self._id_of(end.cut) if end.cut else None,
            unanswered=[self._id_of(r) for r in end.unanswered[:MAX_LOGGED_REQUESTS]],
            unanswered_count=len(end.unanswered),
            has_partial_request=end.has_partial_request,
            unread_bytes=end.unread_bytes,
        )

    def _id_of(self, request: Request) -> str:
        return (request.header(self.id_header) or b"").decode("latin-1")
