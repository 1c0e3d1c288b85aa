"""Look-ups of request classes and workspaces in the bundle."""

from teaselpath.bundle import Bundle, RequestClass

DEFAULT_MAX_WAIT_MS = 5_000


def find_class(bundle: Bundle | None, name: str) -> RequestClass:
    """Return a request class; a class missing from the bundle gets the highest priority."""
    for request_class in bundle.classes if bundle else ():
        if request_class.id == name:
            return request_class
    return RequestClass(id=name, priority=0, deadline_ms=0, max_wait_ms=DEFAULT_MAX_WAIT_MS)


def find_queueing_weight(bundle: Bundle | None, workspace: str) -> float:
    """Return the fair-queueing weight of a workspace, 1 if the bundle lacks it."""
    for entry in bundle.workspaces if bundle else ():
        if entry.id == workspace:
            return entry.weight
    return 1.0
