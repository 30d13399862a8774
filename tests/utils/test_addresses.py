"""Tests of addresses of the form "ip:port"."""

import pytest

from bramleyrouter.utils.addresses import split_address


class TestSplitAddress:
    """Guard against a start that fails without the address that is wrong."""

    @pytest.mark.parametrize(
        "address", ["nowhere", "host.example:80", ":80", "1.2.3:4"]
    )
    def test_error_names_the_address(self, address):
        with pytest.raises(ValueError, match=f'"{address}" is not of the form'):
            split_address(address)

    def test_quoted_address_is_short(self):
        with pytest.raises(ValueError) as raised:
            split_address("x" * 10_000)
        assert len(str(raised.value)) < 200

    @pytest.mark.parametrize(
        "address, expected",
        [("10.0.0.1:80", ("10.0.0.1", 80)), ("[::1]:443", ("::1", 443))],
    )
    def test_parts(self, address, expected):
        assert split_address(address) == expected
