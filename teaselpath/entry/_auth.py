"""Who a caller is: keys, withdrawals, and routes open to all."""

from result import Err, Ok, Result

from teaselpath.bundle import KeyIndex, Route
from teaselpath.entry._call import Caller
from teaselpath.results import Code, Failure


def read_key(headers: dict[str, str]) -> str:
    """Return the key that a caller presented, or an empty string."""
    scheme, _, value = headers.get("authorization", "").partition(" ")
    if scheme.lower() == "bearer":
        return value.strip()
    return headers.get("x-api-key", "").strip()


def check_caller(
    headers: dict[str, str], keys: KeyIndex, route: Route | None
) -> Result[Caller, Failure]:
    """Return the caller of a request.

    It runs on each request, so that a withdrawn key also stops on a kept-alive connection.

    :param keys: keys of the bundle in force; it knows which of them are withdrawn.
    :param route: route of a plain service; one that is open to all needs no key.
    """
    key = read_key(headers)
    if route is not None and route.open:
        return Ok(Caller(route.open_workspace, b"", key))
    if not key:
        return Err(Failure(Code.MISSING_KEY, "no key; send Authorization: Bearer KEY"))
    found = keys.find(key)
    if isinstance(found, Err):
        return found
    match = found.ok_value
    return Ok(Caller(match.workspace, match.digest, key))
