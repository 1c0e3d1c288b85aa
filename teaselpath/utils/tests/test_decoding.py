"""Data of other processes that cannot be decoded, and addresses to which one cannot connect."""

import pytest

from teaselpath.utils import Unreadable, decode_json, decode_msgpack, is_ipv4, is_ipv4_with_port


@pytest.mark.parametrize("decode", [decode_json, decode_msgpack])
@pytest.mark.parametrize("data", [b"", b"\xc1", b"[" * 3_000, b"\x91" * 3_000, b'{"x"'])
def test_data_that_cannot_be_decoded_has_one_error(decode, data):
    with pytest.raises(Unreadable):
        decode(data, dict)


@pytest.mark.parametrize("address", ["10.0.0.1", "255.255.255.255", "0.0.0.0"])
def test_address_is_told_from_other_text(address):
    assert is_ipv4(address)
    assert is_ipv4_with_port(f"{address}:65535")
    for text in (".1", ":80", "\n", " "):
        assert not is_ipv4(address + text)
    for text in ("", ":0", ":65536", ":\u00b2", ":80\n", ":-1", ":8 0"):
        assert not is_ipv4_with_port(address + text)


@pytest.mark.parametrize("address", ["", "10.0.0", "10.0.0.256", "10.0.0.\u0661", "host"])
def test_other_text_is_no_address(address):
    assert not is_ipv4(address)
    assert not is_ipv4_with_port(f"{address}:80")
