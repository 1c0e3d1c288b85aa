"""Observed times of requests: ended lately, in flight, unknown."""

from teaselpath.exchange import ServiceTimes


def run(times, kind, began_at, ended_at, *, was_sent=True):
    times.end(kind, times.begin(kind, began_at), ended_at, was_sent=was_sent)


def test_quantiles_of_requests_that_ended_lately():
    times = ServiceTimes()
    for duration_s in (0.1, 0.2, 0.3, 0.4, 3.0):
        run(times, "ask", 10.0 - duration_s, 10.0)
    assert times.quantile_s("ask", 0.5, 10.0) == 10.0 - 9.7
    assert times.quantile_s("ask", 1.0, 10.0) == 3.0
    assert times.quantile_s("ask", 1.0, 21.0) is None
    assert times.quantile_s("other", 1.0, 10.0) is None


def test_requests_that_were_never_sent_do_not_count():
    times = ServiceTimes()
    run(times, "ask", 1.0, 9.0, was_sent=False)
    assert times.quantile_s("ask", 1.0, 9.0) is None


def test_requests_in_flight_count_with_their_age():
    """Engines that slow down are noticed before the first slow request has ended."""
    times = ServiceTimes()
    run(times, "ask", 0.0, 0.25)
    slow = times.begin("ask", 1.0)
    own = times.begin("ask", 0.0)
    assert times.quantile_s("ask", 1.0, 5.0, without=own) == 4.0
    times.end("ask", slow, 5.0, was_sent=False)
    times.end("ask", own, 5.0, was_sent=False)
    assert times.quantile_s("ask", 1.0, 5.0) == 0.25
    assert times.running == {}
