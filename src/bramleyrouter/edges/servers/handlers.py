"""Handle announcements and withdrawals of backend servers by HTTP."""

import msgspec
from result import Err, Result
from tornado.web import RequestHandler

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.homes.interfaces import Homes
from bramleyrouter.homes.messages import Announcement
from bramleyrouter.ids import ServerId, ServerIncarnation
from bramleyrouter.utils.decoding import DECODE_ERRORS

# Enough for about 2,000 shards with a few versions each.
MAX_ANNOUNCEMENT_BYTES = 256 * 1024

_STATUS_BY_CODE = {
    Code.MALFORMED_REQUEST: 400,
    Code.INVALID_ANNOUNCEMENT: 400,
    Code.BODY_TOO_LARGE: 413,
    Code.OLD_ANNOUNCEMENT: 409,
    Code.LEASE_UNKNOWN: 409,
}
# Every other failure is on the daemon's side; the server should try another daemon.
DEFAULT_STATUS = 503


class Withdrawal(msgspec.Struct, frozen=True):
    """Define the body of ``POST /v1/servers/withdraw``."""

    server_id: ServerId
    incarnation: ServerIncarnation


class AnnouncementErrorBody(msgspec.Struct, frozen=True):
    """Define the body of an error reply: a numeric code and a message."""

    code: int
    text: str


class _ServerHandler(RequestHandler):
    def initialize(self, homes: Homes):
        """Store the interface to the homes."""
        self._homes = homes

    def read_body(self, decoder: msgspec.json.Decoder):
        """Decode the body; write an error and return None if that fails."""
        body = self.request.body
        if len(body) > MAX_ANNOUNCEMENT_BYTES:
            text = (
                f'The body has "{len(body)}" bytes; at most '
                f'"{MAX_ANNOUNCEMENT_BYTES}" were expected.'
            )
            self.write_failure(Failure(Code.BODY_TOO_LARGE, text))
            return None
        try:
            return decoder.decode(body)
        except DECODE_ERRORS as exc:
            text = f"The body can't be decoded: {exc}."
            self.write_failure(Failure(Code.MALFORMED_REQUEST, text))
            return None

    def write_failure(self, failure: Failure) -> None:
        """Write an error reply with the failure's code."""
        self.set_status(_STATUS_BY_CODE.get(failure.code, DEFAULT_STATUS))
        self.write_json(AnnouncementErrorBody(int(failure.code), failure.text))

    def write_result(self, outcome: Result) -> None:
        """Write the value or the failure that the homes returned."""
        if isinstance(outcome, Err):
            self.write_failure(outcome.err_value)
        else:
            self.write_json(outcome.ok_value)

    def write_json(self, value) -> None:
        """Write ``value`` as JSON."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(value))


class AnnounceHandler(_ServerHandler):
    """Handle an announcement or a renewal of one."""

    _decoder = msgspec.json.Decoder(Announcement)

    async def post(self):
        """Reply with the server's home and the lease token to echo at renewal."""
        announcement = self.read_body(self._decoder)
        if announcement is not None:
            self.write_result(await self._homes.announce(announcement))


class WithdrawHandler(_ServerHandler):
    """Handle a withdrawal, after which the server gets no new requests."""

    _decoder = msgspec.json.Decoder(Withdrawal)

    async def post(self):
        """Reply after the server's home has stopped dispatching to it."""
        withdrawal = self.read_body(self._decoder)
        if withdrawal is not None:
            outcome = await self._homes.withdraw(
                withdrawal.server_id, withdrawal.incarnation
            )
            self.write_result(outcome)


def build_server_endpoints(homes: Homes) -> list[tuple]:
    """Build Tornado's routes for requests of backend servers."""
    return [
        ("/v1/servers/announce", AnnounceHandler, {"homes": homes}),
        ("/v1/servers/withdraw", WithdrawHandler, {"homes": homes}),
    ]
