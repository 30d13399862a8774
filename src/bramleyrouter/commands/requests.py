"""Send a request to one daemon after another, until one answers it."""

import asyncio
import socket
from http import HTTPStatus
from typing import Any, NamedTuple

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

from bramleyrouter.codes import Code
from bramleyrouter.commands.arguments import Target
from bramleyrouter.commands.exits import TRY_NEXT

# Bounds of one attempt and the pause after all daemons failed, in seconds.
CONNECT_TIMEOUT_S = 2.0
ATTEMPT_TIMEOUT_S = 10.0
PASS_PAUSE_S = 0.5
# The change may have been made although it was answered so.
MAYBE_ACTED = frozenset(
    {
        Code.NO_MAJORITY,
        Code.PEER_TIMEOUT,
        Code.PEER_DISCONNECTED,
        Code.PEER_REFUSED,
    }
)


class Reply(NamedTuple):
    """Hold a daemon's answer, or the last failure when none answered.

    ``maybe_acted``: an earlier attempt of the same request may have had its
    effect although its answer was lost.
    """

    code: int
    fields: dict[str, Any]
    maybe_acted: bool = False


async def send_request(
    target: Target,
    method: str,
    path: str,
    body: dict | None = None,
    attempt_timeout_s: float = ATTEMPT_TIMEOUT_S,
) -> Reply:
    """Send the request, unchanged in each attempt, and return the answer.

    Attempts go on until the target's timeout; a repeated change keeps its
    request id, so that it acts once.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + target.timeout_s
    client = AsyncHTTPClient(force_instance=True)
    content = None if body is None else msgspec.json.encode(body)
    last = Reply(int(Code.PEER_UNREACHABLE), {"text": "No daemon was reached."})
    maybe_acted = False
    try:
        while True:
            for url in target.urls:
                left = deadline - loop.time()
                if left <= 0:
                    return last._replace(maybe_acted=maybe_acted)
                wait_s = min(attempt_timeout_s, left)
                request = _build_request(target, url + path, method, content, wait_s)
                last = await _send_once(client, request)
                if last.code not in TRY_NEXT:
                    return last._replace(maybe_acted=maybe_acted)
                maybe_acted |= last.code in MAYBE_ACTED
            await asyncio.sleep(max(min(PASS_PAUSE_S, deadline - loop.time()), 0))
    finally:
        client.close()


def _build_request(
    target: Target, url: str, method: str, content: bytes | None, wait_s: float
) -> HTTPRequest:
    return HTTPRequest(
        url,
        method=method,
        body=content,
        headers={"Authorization": f"Bearer {target.token}"},
        connect_timeout=min(CONNECT_TIMEOUT_S, wait_s),
        request_timeout=wait_s,
        # The token is for the daemons alone.
        follow_redirects=False,
    )


async def _send_once(client: AsyncHTTPClient, request: HTTPRequest) -> Reply:
    try:
        response = await client.fetch(request, raise_error=False)
    except (HTTPClientError, OSError) as exc:
        text = f'"{request.url}" can\'t be reached: {exc}.'
        # Of all failures only these show that nothing was sent.
        is_unsent = isinstance(exc, ConnectionRefusedError | socket.gaierror)
        code = Code.PEER_UNREACHABLE if is_unsent else Code.PEER_DISCONNECTED
        return Reply(int(code), {"text": text})
    try:
        if response.code == HTTPStatus.INTERNAL_SERVER_ERROR:
            raise ValueError("a defect of the daemon, with any code")
        fields = msgspec.json.decode(response.body)
        return Reply(int(fields["code"]), fields)
    except (msgspec.DecodeError, KeyError, TypeError, ValueError):
        text = f'"{request.url}" answered HTTP status {response.code} unexpectedly.'
        return Reply(int(Code.PEER_REFUSED), {"text": text})
