"""Time after which a gateway gives up a poll on a silent connection."""

from teaselpath.gateway._watch import RETRY_DELAY_S, SILENT_POLL_S
from teaselpath.platform._store import CALL_TIMEOUT_S


def test_poll_without_an_answer_is_sent_again_within_the_time_that_is_allowed_for():
    """Guards against a timeout of the platform's client that outgrows the gateway's margin."""
    assert CALL_TIMEOUT_S + RETRY_DELAY_S < SILENT_POLL_S
