"""What the replies of other gateways say of the version at which a stream began."""

from collections.abc import Iterable

from teaselpath.lineage._messages import OriginReply


def find_version(
    own: Iterable[str | None], replies: Iterable[OriginReply], *, is_complete: bool
) -> OriginReply | None:
    """Return the reply from which a stream can go on; None if its version cannot be told.

    The gateway that began the stream knows it. If none of them does, all have to have known the
    same single version ever since the stream may have begun.

    :param own: versions that the gateway that asks knows itself.
    :param is_complete: whether each gateway has replied that may have begun the stream and still
        runs.
    """
    replies = list(replies)
    known = next((reply for reply in replies if reply.is_known), None)
    if known is not None or not is_complete:
        return known
    versions = set(own)
    for reply in replies:
        if reply.versions is None:
            return None
        versions.update(reply.versions)
    only = versions.pop() if len(versions) == 1 else None
    return None if only is None else OriginReply(0, False, only, 0)
