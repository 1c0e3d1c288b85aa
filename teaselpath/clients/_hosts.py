"""Client of the host list."""

import aiohttp
import msgspec
from result import Err, Result

from teaselpath.clients._http import call, decode_json
from teaselpath.results import Code, Failure


class HostEntry(msgspec.Struct):
    """One host of the platform's list, which may be out of date by tens of seconds.

    :param state: ``live`` or ``leaving``.
    """

    host: str
    role: str
    region: str
    failure_domain: str
    address: str
    control_port: int
    http_port: int = 0
    curve_public: str = ""
    endpoint: str = ""
    state: str = "live"


class _Hosts(msgspec.Struct):
    hosts: list[HostEntry]


class HostListClient:
    """Reads the host list.

    :param session: HTTP session, closed by the caller.
    :param url: base URL of the host list.
    """

    def __init__(self, session: aiohttp.ClientSession, url: str) -> None:
        self.session = session
        self.url = url.rstrip("/")

    async def fetch(self, deadline: float) -> Result[list[HostEntry], Failure]:
        """Return the hosts, or HOST_LIST_UNAVAILABLE.

        :param deadline: deadline, in event-loop time.
        """
        called = await call(self.session, "GET", f"{self.url}/hosts", deadline)
        if called.is_err():
            return Err(Failure(Code.HOST_LIST_UNAVAILABLE, called.unwrap_err().detail))
        answer = called.unwrap()
        if answer.status != 200:
            return Err(Failure(Code.HOST_LIST_UNAVAILABLE, f"HTTP status {answer.status}"))
        decoded = decode_json(answer.body, _Hosts, Code.HOST_LIST_UNAVAILABLE)
        return decoded.map(lambda body: body.hosts)
