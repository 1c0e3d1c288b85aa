"""Engines that end since their memory is full are told from those that a request ends."""

from teaselpath.quarantine import MemoryEnds


def test_full_memory_explains_an_end():
    """Guards against verdicts on parts that many requests share when engines are filled."""
    ends = MemoryEnds()
    assert ends.explains(1, 0.97, 10.0)
    assert not ends.explains(2, 0.6, 10.0)
    assert not ends.explains(3, 0.0, 10.0)


def test_ends_again_and_again_have_another_cause():
    """Guards against a deadly request that no one finds as long as engines are full."""
    ends = MemoryEnds()
    assert [ends.explains(number, 0.95, 10.0 + number) for number in range(5)] == [
        True, True, True, False, False,
    ]  # fmt: skip
    assert ends.explains(2, 0.95, 16.0)
    assert ends.explains(9, 0.95, 90.0)
