"""Memory that the bodies of several servers share."""

from teaselpath.http1._body_memory import BodyMemory


class Body:
    """Body that records when it is given up."""

    def __init__(self):
        self.is_given_up = False

    def give_up_body(self) -> None:
        self.is_given_up = True


def test_largest_body_is_given_up_once_the_memory_is_used_up():
    """Guards against sound answers that end because of those without end."""
    memory, endless, sound = BodyMemory(100), Body(), Body()
    memory.add(sound, 30)
    memory.add(endless, 60)
    assert not endless.is_given_up
    memory.add(sound, 11)
    assert endless.is_given_up
    assert not sound.is_given_up
    assert memory.total == 41


def test_body_that_was_read_frees_its_memory():
    memory, first, second = BodyMemory(100), Body(), Body()
    memory.add(first, 90)
    memory.remove(first)
    memory.remove(first)
    memory.add(second, 90)
    assert not second.is_given_up
    assert (memory.total, memory.sizes) == (90, {second: 90})


def test_body_that_exceeds_the_memory_by_itself_is_given_up():
    memory, body = BodyMemory(100), Body()
    memory.add(body, 101)
    assert body.is_given_up
    assert (memory.total, memory.sizes) == (0, {})
