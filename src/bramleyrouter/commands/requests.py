"""Send a request to one daemon after another until one answers."""

import asyncio
import socket
from http import HTTPStatus
from typing import Any, NamedTuple

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from bramleyrouter.codes import Code
from bramleyrouter.commands.arguments import ConnectionOptions
from bramleyrouter.commands.exits import RETRYABLE_CODES
from bramleyrouter.utils.decoding import DECODE_ERRORS

# Timeouts of one attempt, and the pause after an attempt failed at every daemon.
CONNECT_TIMEOUT_S = 2.0
ATTEMPT_TIMEOUT_S = 10.0
RETRY_PAUSE_S = 0.5
# Codes after which the change may still have taken effect.
MAY_HAVE_ACTED_CODES = frozenset(
    {
        Code.NO_MAJORITY,
        Code.PEER_TIMEOUT,
        Code.PEER_DISCONNECTED,
        Code.PEER_REFUSED,
    }
)


class Reply(NamedTuple):
    """Hold a daemon's reply, or the last failure if none replied.

    ``may_have_acted``: an earlier attempt of the same request may have taken
    effect although its reply was lost.
    """

    code: int
    fields: dict[str, Any]
    may_have_acted: bool = False


async def send_request(
    connection: ConnectionOptions,
    method: str,
    path: str,
    body: dict | None = None,
    attempt_timeout_s: float = ATTEMPT_TIMEOUT_S,
) -> Reply:
    """Send the request, unchanged in each attempt, and return the reply.

    Attempts continue until ``connection.timeout_s`` has passed. A repeated change
    keeps its request id, so that it takes effect only once.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + connection.timeout_s
    client = AsyncHTTPClient(force_instance=True)
    content = None if body is None else msgspec.json.encode(body)
    last_reply = Reply(int(Code.PEER_UNREACHABLE), {"text": "No daemon was reached."})
    may_have_acted = False
    try:
        while True:
            for url in connection.urls:
                remaining_s = deadline - loop.time()
                if remaining_s <= 0:
                    return last_reply._replace(may_have_acted=may_have_acted)
                request_timeout_s = min(attempt_timeout_s, remaining_s)
                request = _build_request(
                    connection, url + path, method, content, request_timeout_s
                )
                last_reply = await _send_once(client, request)
                if last_reply.code not in RETRYABLE_CODES:
                    return last_reply._replace(may_have_acted=may_have_acted)
                may_have_acted |= last_reply.code in MAY_HAVE_ACTED_CODES
            await asyncio.sleep(max(min(RETRY_PAUSE_S, deadline - loop.time()), 0))
    finally:
        client.close()


def _build_request(
    connection: ConnectionOptions,
    url: str,
    method: str,
    content: bytes | None,
    request_timeout_s: float,
) -> HTTPRequest:
    return HTTPRequest(
        url,
        method=method,
        body=content,
        headers={"Authorization": f"Bearer {connection.token}"},
        connect_timeout=min(CONNECT_TIMEOUT_S, request_timeout_s),
        request_timeout=request_timeout_s,
        # A redirect could send the operators' token to another host.
        follow_redirects=False,
    )


async def _send_once(client: AsyncHTTPClient, request: HTTPRequest) -> Reply:
    try:
        response = await client.fetch(request, raise_error=False)
    except (HTTPClientError, OSError) as exc:
        text = f'"{request.url}" can\'t be reached: {exc}.'
        # Only these two errors prove that nothing was sent.
        is_unsent = isinstance(exc, ConnectionRefusedError | socket.gaierror)
        code = Code.PEER_UNREACHABLE if is_unsent else Code.PEER_DISCONNECTED
        return Reply(int(code), {"text": text})
    try:
        if response.code == HTTPStatus.INTERNAL_SERVER_ERROR:
            # A bug in the daemon: the code in the body says nothing about the request.
            raise ValueError("internal server error")
        fields = msgspec.json.decode(response.body)
        return Reply(int(fields["code"]), fields)
    except (KeyError, TypeError, *DECODE_ERRORS):
        text = f'"{request.url}" answered HTTP status {response.code} unexpectedly.'
        return Reply(int(Code.PEER_REFUSED), {"text": text})
