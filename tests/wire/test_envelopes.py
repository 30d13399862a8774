"""Tests of the frame around internal messages."""

from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err

from bramleyrouter.codes import Code
from bramleyrouter.wire.envelopes import (
    LENGTH_BYTES,
    Envelope,
    FrameType,
    decode_envelope,
    encode_envelope,
)

ENVELOPES = st.builds(
    Envelope,
    frame_type=st.sampled_from(FrameType),
    kind=st.integers(0, 2**16 - 1),
    correlation=st.integers(0, 2**64 - 1),
    payload=st.binary(max_size=200),
    code=st.integers(0, 2**16 - 1),
    text=st.text(max_size=50),
)


class TestEnvelopes:
    """Guard against frames that encoding alters or that crash the decoder."""

    @given(ENVELOPES)
    @settings(derandomize=True, max_examples=200)
    def test_decoding_returns_the_encoded_envelope(self, envelope):
        frame = encode_envelope(envelope)
        assert int.from_bytes(frame[:LENGTH_BYTES], "big") == len(frame) - LENGTH_BYTES
        assert decode_envelope(frame[LENGTH_BYTES:]).ok_value == envelope

    @given(st.binary(max_size=60), st.booleans())
    @settings(derandomize=True, max_examples=500)
    def test_any_bytes_give_a_frame_or_a_numbered_error(self, body, is_versioned):
        decoded = decode_envelope(b"\x00\x01" + body if is_versioned else body)
        if isinstance(decoded, Err):
            assert decoded.err_value.code in (Code.WIRE_MALFORMED, Code.WIRE_VERSION)
