"""HTTP routes of every process: health, readiness, metrics."""

from collections.abc import Callable

from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from teaselpath.control._plane import ControlPlane


class StatusPages:
    """HTTP handlers for health, readiness and metrics.

    :param plane: control plane of the process.
    :param not_ready_reason: returns why the process is not ready, or an empty string.
    """

    def __init__(self, plane: ControlPlane, not_ready_reason: Callable[[], str]):
        self.plane = plane
        self.not_ready_reason = not_ready_reason

    def routes(self) -> list[Route]:
        """Return the routes to add to the HTTP application."""
        return [
            Route("/healthz", self.healthz),
            Route("/readyz", self.readyz),
            Route("/metrics", self.metrics),
        ]

    async def healthz(self, request: Request) -> Response:
        """Reply that the process is alive."""
        return JSONResponse({"status": "alive"})

    async def readyz(self, request: Request) -> Response:
        """Reply whether the process is ready to serve requests, 503 if not."""
        reason = self.not_ready_reason()
        return JSONResponse({"ready": not reason, "reason": reason}, 503 if reason else 200)

    async def metrics(self, request: Request) -> Response:
        """Reply with the metrics."""
        self.plane.refresh_metrics()
        body, headers = self.plane.metrics.render(request.headers.getlist("accept"))
        return Response(body, headers=headers)
