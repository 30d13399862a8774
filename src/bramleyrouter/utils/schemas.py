"""Encode and decode typed Cap'n Proto messages, within size limits.

A message is a ``msgspec.Struct`` with ``rename="camel"`` whose fields match a
struct of a Cap'n Proto schema by name. Pointer fields need a default, since an
empty one is not encoded. Each message's first field is
``protocolVersion``.
"""

from typing import TypeVar

import capnp
import msgspec
from result import Err, Ok, Result

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure

Message = TypeVar("Message", bound=msgspec.Struct)

WORD_BYTES = 8
# Cap'n Proto counts every word it reads. The limit stops messages that refer to
# the same bytes repeatedly or declare a long list of empty items.
EXTRA_TRAVERSAL_WORDS = 1024


def encode_message(schema, message: msgspec.Struct) -> bytes:
    """Return the bytes of ``message``."""
    fields = msgspec.to_builtins(message, builtin_types=(bytes,))
    return schema.new_message(**fields).to_bytes()


def decode_message(
    schema, message_type: type[Message], payload: bytes, version: int, max_bytes: int
) -> Result[Message, Failure]:
    """Decode ``payload``; fail with a ``WIRE_*`` code and never raise."""
    if len(payload) > max_bytes:
        text = f'A message of "{len(payload)}" bytes was received; at most '
        return Err(Failure(Code.WIRE_TOO_LARGE, f"{text}{max_bytes} were expected."))
    limit = 2 * (len(payload) // WORD_BYTES) + EXTRA_TRAVERSAL_WORDS
    try:
        with schema.from_bytes(payload, traversal_limit_in_words=limit) as reader:
            received_version = reader.protocolVersion
            if received_version != version:
                text = (
                    f'Version "{received_version}" was received; '
                    f'"{version}" was expected.'
                )
                return Err(Failure(Code.WIRE_VERSION, text))
            fields = reader.to_dict()
        return Ok(msgspec.convert(fields, type=message_type, builtin_types=(bytes,)))
    except (capnp.KjException, ValueError, OverflowError, RecursionError) as exc:
        text = f"The message can't be decoded: {str(exc)[:200]}."
        return Err(Failure(Code.WIRE_MALFORMED, text))
