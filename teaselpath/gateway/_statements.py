"""What endpoints state in their answers on whether they take requests of this gateway."""

from eliot import log_message

from teaselpath.dispatch import EndpointView
from teaselpath.fleet import AnswerInfo


def record_availability(view: EndpointView, info: AnswerInfo, drain_s: float, now: float) -> None:
    """Record what an answer states on whether its endpoint takes requests.

    :param drain_s: time for which an endpoint that leaves still takes requests, in seconds.
    """
    # The process that replied to a misdirected request is another one.
    if info.is_misdirected:
        return
    if info.is_leaving:
        record_leaving(view, now + drain_s, "answer")
    elif info.invalid_leaving is not None:
        log_message(
            "endpoint_leaving_invalid",
            endpoint=view.endpoint.endpoint_id,
            text=info.invalid_leaving,
        )
    if info.hold_off_s:
        record_hold_off(view, info.hold_off_s, now)
    elif info.invalid_hold_off is not None:
        log_message(
            "endpoint_hold_off_invalid",
            endpoint=view.endpoint.endpoint_id,
            text=info.invalid_hold_off,
        )


def record_load(view: EndpointView, info: AnswerInfo, now: float) -> None:
    """Record the load that an answer states; one that cannot be read is logged once."""
    if info.is_misdirected:
        return
    if info.requests is not None:
        view.record_stated_requests(info.requests, now)
    if info.pace is not None and view.record_pace(info.pace, now):
        log_message("endpoint_states_pace", endpoint=view.endpoint.endpoint_id, pace=info.pace)
    if info.invalid_load is not None and not view.has_stated_invalid_load:
        view.has_stated_invalid_load = True
        log_message(
            "endpoint_load_invalid",
            endpoint=view.endpoint.endpoint_id,
            text=info.invalid_load,
        )


def record_hold_off(view: EndpointView, hold_off_s: float, now: float) -> None:
    """Record that an endpoint wants no requests of this gateway for a while.

    Other gateways are not told: the endpoint has chosen from which one it wants none.
    """
    if view.availability.record_hold_off(now + hold_off_s):
        log_message(
            "endpoint_hold_off",
            endpoint=view.endpoint.endpoint_id,
            service=view.endpoint.service,
            retry_after_s=hold_off_s,
        )


def record_leaving(view: EndpointView, leaves_at: float, source: str) -> None:
    """Record that an endpoint has stated that it leaves.

    :param leaves_at: time from which on it takes no requests.
    :param source: where it was stated, for the log.
    """
    if view.availability.record_leaving(leaves_at):
        log_message(
            "endpoint_leaving",
            endpoint=view.endpoint.endpoint_id,
            service=view.endpoint.service,
            source=source,
        )
