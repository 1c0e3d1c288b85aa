"""Expected and confirmed parts in the caches of engines and stores."""

from teaselpath.dispatch import PartCache
from teaselpath.dispatch.tests.conftest import make_prompt

PROMPT = make_prompt()
SHARED = PROMPT.parts[:-1]


def match(cache, now, *, confirmed):
    return cache.match("v1", PROMPT, now, confirmed=confirmed)


def test_sent_prompt_is_expected_until_the_timeout_but_not_confirmed():
    cache = PartCache()
    cache.record_expected("v1", SHARED, 10.0)
    assert match(cache, 11.5, confirmed=False) == 13_300
    assert match(cache, 11.5, confirmed=True) == 0
    assert match(cache, 13.5, confirmed=False) == 0


def test_store_whose_events_are_not_followed_is_assumed_to_have_saved_parts():
    store = PartCache(is_store=True)
    store.record_expected("v1", SHARED, 10.0)
    assert match(store, 10.5, confirmed=True) == 0
    assert match(store, 11.5, confirmed=True) == 13_300
    assert match(store, 19.5, confirmed=True) == 13_300
    assert match(store, 20.5, confirmed=True) == 0


def test_only_events_confirm_parts_of_a_followed_store():
    store = PartCache(is_store=True)
    store.is_followed = True
    store.record_expected("v1", SHARED, 10.0)
    assert match(store, 11.5, confirmed=True) == 0
    store.record_stored("v1", "p1", 13_300)
    assert match(store, 11.5, confirmed=True) == 13_300
    store.record_evicted("v1", "p1")
    assert match(store, 11.5, confirmed=True) == 0
