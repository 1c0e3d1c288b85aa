"""Long polls around outages of the store: none hangs beyond the end of an outage."""

from hypothesis import given
from hypothesis import strategies as st

from teaselpath.exchange import TopicPolls

WAITS_S = {"config": 4.0, "endpoints": 5.0}
ANSWER_S = 0.01
TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.3


def test_poll_after_an_unanswered_one_returns_at_once():
    polls = TopicPolls()
    assert polls.begin("config", 4.0, 0.0) == 4.0
    polls.record_failure("config")
    assert polls.begin("config", 4.0, 5.3) == 0.0
    polls.record_answer("config", 5.4)
    assert polls.begin("config", 4.0, 5.4) == 4.0


def test_first_answer_after_a_loss_ends_polls_sent_before_it():
    polls = TopicPolls()
    polls.begin("config", 4.0, 0.0)
    polls.begin("endpoints", 5.0, 0.0)
    polls.record_failure("endpoints")
    polls.begin("endpoints", 5.0, 2.0)
    assert polls.record_answer("endpoints", 2.1) == ["config"]
    assert polls.begin("config", 4.0, 2.1) == 0.0


def test_poll_sent_after_the_answered_one_goes_on():
    polls = TopicPolls()
    polls.begin("endpoints", 5.0, 0.0)
    polls.record_failure("endpoints")
    polls.begin("endpoints", 5.0, 1.0)
    polls.begin("config", 4.0, 1.5)
    assert polls.record_answer("endpoints", 1.6) == []


def test_answers_in_a_calm_store_end_no_other_poll():
    polls = TopicPolls()
    for now in range(5):
        polls.begin("config", 4.0, now)
        polls.begin("endpoints", 5.0, now)
        assert polls.record_answer("endpoints", now + 0.5) == []


@given(
    phases=st.dictionaries(st.sampled_from(sorted(WAITS_S)), st.floats(0.0, 5.0), min_size=2),
    outage_s=st.floats(0.2, 12.0),
)
def test_each_topic_is_read_soon_after_an_outage(phases, outage_s):
    """The store swallows all polls in flight or sent during an outage that begins at time 10."""
    begins_at, ends_at = 10.0, 10.0 + outage_s
    read_at = simulate(phases, begins_at, ends_at, until=ends_at + 20.0)
    for topic, wait_s in WAITS_S.items():
        # A poll sent just before the outage fails after its wait and timeout; a retry within the
        # outage fails after the timeout.
        limit = max(begins_at + wait_s, ends_at) + 2 * (TIMEOUT_S + RETRY_DELAY_S) + ANSWER_S
        assert min(at for at in read_at[topic] if at >= ends_at) <= limit


def simulate(phases, begins_at, ends_at, until):
    """Return the times at which polls of each topic were answered by the store."""
    polls = TopicPolls()
    read_at: dict[str, list[float]] = {topic: [] for topic in WAITS_S}
    # Time, topic and whether a poll is to be sent or ends, with or without an answer.
    agenda = [(phase, topic, "send") for topic, phase in phases.items()]
    while agenda:
        agenda.sort()
        now, topic, what = agenda.pop(0)
        if now > until:
            break
        match what:
            case "send":
                wait_s = polls.begin(topic, WAITS_S[topic], now)
                ended_at = now + max(wait_s, ANSWER_S)
                if now < ends_at and ended_at > begins_at:
                    agenda.append((now + wait_s + TIMEOUT_S, topic, "failed"))
                else:
                    agenda.append((ended_at, topic, "answered"))
            case "failed":
                polls.record_failure(topic)
                agenda.append((now + RETRY_DELAY_S, topic, "send"))
            case "answered":
                read_at[topic].append(now)
                hanging = polls.record_answer(topic, now)
                agenda = [entry for entry in agenda if entry[1] not in hanging]
                agenda += [(now, other, "send") for other in (*hanging, topic)]
    return read_at
