"""Tests that rendezvous hashing is stable under membership changes."""

from teaselpath.utils import hash_fields, rendezvous_top


def test_removed_node_moves_only_its_own_keys():
    """Guards against a hash that reassigns other keys when a node is removed."""
    nodes = [f"host-{n}" for n in range(9)]
    before = {key: rendezvous_top(b"%d" % key, nodes, 1)[0] for key in range(500)}
    after = {key: rendezvous_top(b"%d" % key, nodes[1:], 1)[0] for key in range(500)}
    moved = {key for key in before if before[key] != after[key]}
    assert moved == {key for key in before if before[key] == "host-0"}


def test_fields_with_other_boundaries_have_another_hash():
    fields = [[b"ab", b"c"], [b"a", b"bc"], [b"abc"], [b"abc", b""], [b"ab\nc"], []]
    assert len({hash_fields(each, 8) for each in fields}) == len(fields)
    assert hash_fields([b"ab", b"c"], 8) == hash_fields((b"ab", b"c"), 8)
    assert len(hash_fields([b"a"], 12)) == 12
