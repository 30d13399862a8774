"""HTTP handlers through which backend servers announce themselves."""

import msgspec
from result import Err, Result
from tornado.web import RequestHandler

from bramleyrouter.codes import Code
from bramleyrouter.failures import Failure
from bramleyrouter.homes.interfaces import Homes
from bramleyrouter.homes.messages import Announcement
from bramleyrouter.ids import ServerId, ServerIncarnation

# Room for about 2,000 shards with a few versions each.
MAX_ANNOUNCEMENT_BYTES = 256 * 1024

_STATUS = {
    Code.MALFORMED_REQUEST: 400,
    Code.INVALID_ANNOUNCEMENT: 400,
    Code.BODY_TOO_LARGE: 413,
    Code.OLD_ANNOUNCEMENT: 409,
    Code.LEASE_UNKNOWN: 409,
}
# Every other failure lies on this side: the server is to try another daemon.
DEFAULT_STATUS = 503


class Withdrawal(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/servers/withdraw``."""

    server_id: ServerId
    incarnation: ServerIncarnation


class ErrorBody(msgspec.Struct, frozen=True):
    """Body of an error: the number of its code and a sentence."""

    code: int
    text: str


class _ServerHandler(RequestHandler):
    def initialize(self, homes: Homes):
        """Take the homes of this daemon."""
        self._homes = homes

    def read_body(self, decoder: msgspec.json.Decoder):
        """Return the decoded body, or None after an error was written."""
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
        except msgspec.MsgspecError as exc:
            text = f"The body can't be decoded: {exc}."
            self.write_failure(Failure(Code.MALFORMED_REQUEST, text))
            return None

    def write_failure(self, failure: Failure) -> None:
        """Write a numbered error."""
        self.set_status(_STATUS.get(failure.code, DEFAULT_STATUS))
        self.write_json(ErrorBody(int(failure.code), failure.text))

    def write_result(self, outcome: Result) -> None:
        """Write what the homes returned."""
        if isinstance(outcome, Err):
            self.write_failure(outcome.err_value)
        else:
            self.write_json(outcome.ok_value)

    def write_json(self, value) -> None:
        """Write ``value`` as JSON."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(value))


class AnnounceHandler(_ServerHandler):
    """Take an announcement or a renewal."""

    _decoder = msgspec.json.Decoder(Announcement)

    async def post(self):
        """Answer with the home and the token to echo."""
        announcement = self.read_body(self._decoder)
        if announcement is not None:
            self.write_result(await self._homes.announce(announcement))


class WithdrawHandler(_ServerHandler):
    """Take a withdrawal: the server wants no new work."""

    _decoder = msgspec.json.Decoder(Withdrawal)

    async def post(self):
        """Answer once the server's home has stopped to dispatch."""
        withdrawal = self.read_body(self._decoder)
        if withdrawal is not None:
            outcome = await self._homes.withdraw(
                withdrawal.server_id, withdrawal.incarnation
            )
            self.write_result(outcome)


def build_server_endpoints(homes: Homes) -> list[tuple]:
    """Return the routes for the application on this daemon's HTTP port."""
    return [
        ("/v1/servers/announce", AnnounceHandler, {"homes": homes}),
        ("/v1/servers/withdraw", WithdrawHandler, {"homes": homes}),
    ]
