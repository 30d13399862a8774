"""Steps about access to the internal port."""

import asyncio

from behave import given, then, when

from bramleyrouter.wire.kinds import MessageKind
from bramleyrouter.wire.tcp import build_tcp_network
from tests.support.identities import make_identity


@given("a daemon that listens with the cluster's key")
def listen_with_key(context):
    context.identity = make_identity("one", port=39171)


@when("a daemon with another key calls it")
def call_with_other_key(context):
    async def scenario():
        server, listen = build_tcp_network(context.identity, b"k" * 32)
        listen()
        stranger, _ = build_tcp_network(make_identity("two"), b"x" * 32)
        address = context.identity.internal_address
        context.outcome = await stranger.call(address, MessageKind.CLAIM, b"", 2.0)
        await server.close()

    asyncio.run(scenario())


@then("the call fails")
def check_failure(context):
    assert context.outcome.is_err()
