"""Configurations of a soak run: changes of routes, and checks of what gateways had in force."""

from dataclasses import dataclass, field, replace
from random import Random

from standins.hosted import HostedSite, SiteRoute

# Routes that are added and removed; callers send requests to all of them.
CHANGING_ROUTES = tuple(f"extra-{n}" for n in range(4))
TIMEOUTS_MS = (4000, 5000, 6000)
IDLE_TIMEOUTS_MS = (8_000, 10_000, 14_000)
# Time after the answer that shows a version within which an older one may still handle requests, in
# seconds.
ROLLBACK_SLACK_S = 0.25


@dataclass(slots=True, frozen=True)
class RouteAnswer:
    """Answer to a request on one of ``CHANGING_ROUTES``.

    :param process: gateway and process id that handled it; empty if the gateway was restarted
        meanwhile.
    """

    route: str
    process: str
    began_at: float
    ended_at: float
    status: int

    def shows(self, routes: frozenset[str]) -> bool:
        """Return whether it may be the answer under a configuration with these changing routes."""
        match self.status:
            case 200:
                return self.route in routes
            case 404:
                return self.route not in routes
        return True


@dataclass(slots=True)
class ConfigHistory:
    """The configurations that the operator has written, and what callers saw of them.

    :ivar written: time and changing routes of each version, oldest first.
    """

    written: list[tuple[float, frozenset[str]]] = field(default_factory=list)
    answers: list[RouteAnswer] = field(default_factory=list)

    def record(self, site: HostedSite, now: float) -> None:
        """Record the configuration that was just written."""
        routes = frozenset(r.name for r in site.routes if r.name in CHANGING_ROUTES)
        self.written.append((now, routes))

    def find_violations(self, settled_at: float) -> list[str]:
        """Return the answers that show an older configuration than allowed, one line each.

        :param settled_at: time from which all gateways must have the newest version.
        """
        broken = []
        newest = self.written[-1][1]
        for answer in self.answers:
            if answer.began_at >= settled_at and not answer.shows(newest):
                broken.append(
                    f"newest configuration not in force at {answer.process}: "
                    f"{answer.status} on {answer.route}"
                )
        for process in sorted({answer.process for answer in self.answers if answer.process}):
            broken += self._find_regressions(process)
        return broken

    def _find_regressions(self, process: str) -> list[str]:
        """Return the answers of a process that show an older version than an earlier one did."""
        answers = [answer for answer in self.answers if answer.process == process]
        broken: list[str] = []
        seen: list[tuple[float, int]] = []
        for answer in sorted(answers, key=lambda a: a.ended_at):
            known_until = answer.began_at - ROLLBACK_SLACK_S
            floor = max((number for at, number in seen if at < known_until), default=0)
            number = self._oldest_version(answer, floor)
            if number is None:
                broken.append(
                    f"{process} went back before version {floor + 1}: "
                    f"{answer.status} on {answer.route}"
                )
            else:
                seen.append((answer.ended_at, number))
        return broken

    def _oldest_version(self, answer: RouteAnswer, floor: int) -> int | None:
        """Return the oldest version, from ``floor`` on, that may have been in force."""
        return next(
            (
                number
                for number, (written_at, routes) in enumerate(self.written)
                if number >= floor and written_at < answer.ended_at and answer.shows(routes)
            ),
            None,
        )


def change_routes(site: HostedSite, source: Random) -> str:
    """Add or remove a route, and draw new timeouts; the site still has to write it.

    :returns: description.
    """
    name = source.choice(CHANGING_ROUTES)
    before = [route for route in site.routes if route.name == name]
    if before:
        site.routes.remove(before[0])
    else:
        site.routes.append(SiteRoute(name, f"/{name}/", "safe", "desk"))
    site.idle_timeout_ms = source.choice(IDLE_TIMEOUTS_MS)
    site.routes = [
        replace(route, timeout_ms=source.choice(TIMEOUTS_MS)) if route.service == "desk" else route
        for route in site.routes
    ]
    return f"route {name} {'removed' if before else 'added'}"
