"""Authentication of callers: API keys, revoked keys and routes without authentication."""

from result import Err, Ok, Result

from teaselpath.bundle import KeyIndex, Route
from teaselpath.entry._call import Caller
from teaselpath.results import Code, Failure


def read_key(headers: dict[str, str]) -> str:
    """Return the API key of a request, or an empty string."""
    scheme, _, value = headers.get("authorization", "").partition(" ")
    if scheme.lower() == "bearer":
        return value.strip()
    return headers.get("x-api-key", "").strip()


def check_caller(
    headers: dict[str, str], keys: KeyIndex, route: Route | None
) -> Result[Caller, Failure]:
    """Authenticate the caller of a request.

    Runs on each request, so that a revoked key is also rejected on a keep-alive connection.

    :param keys: keys of the bundle in force, with their revocations.
    :param route: route of a plain service; an open route needs no key.
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
