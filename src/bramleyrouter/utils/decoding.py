"""Errors that decoders raise for input that they can't read."""

import msgspec

# Besides its own errors, msgspec raises a ``RecursionError`` for deeply nested input, a
# ``UnicodeDecodeError``, which is a ``ValueError``, for text that is no UTF-8, and an
# ``OverflowError`` for numbers that no type holds. Every decoder of input from outside
# the process turns all of them into a failure.
DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError, OverflowError)
