"""Tests of a quota through the parts of an entry and a control daemon over TCP."""

import asyncio

from result import Ok

from bramleyrouter.control.messages import PublishRoutes
from bramleyrouter.daemons.fleet_control import build_control_parts
from bramleyrouter.daemons.fleet_entry import build_entry_parts
from bramleyrouter.fleet.registry import apply_announcement
from bramleyrouter.gateway.customers import compute_key_digest
from bramleyrouter.gateway.exchanges import Credentials, ReplyKind
from bramleyrouter.gateway.tables import Customer, RouteTable, Service
from bramleyrouter.ids import ServiceName, TableVersion, TenantName
from bramleyrouter.platform.settings import read_settings
from bramleyrouter.telemetry.events import EventLog
from bramleyrouter.utils.byte_budgets import ByteBudget
from tests.support.gateway_fakes import (
    FakeServers,
    build_request,
    build_row,
    build_single_route,
)

CUSTOMER = TenantName("limited")
KEY_DIGEST = compute_key_digest(b"key")
TABLE = RouteTable(
    TableVersion(7),
    (build_single_route(),),
    (Service(ServiceName("s0")),),
    customers=(Customer(CUSTOMER, (KEY_DIGEST,), rate_per_s=40.0),),
)
LIMIT_S = 20.0


def read_cfg(deployment, vm):
    """Return a VM's settings with a bound of 20 requests in 0.5 s, in 4 parts of 5."""
    deployment.write_settings(vm)
    cfg = read_settings(str(vm.settings_path)).unwrap()
    bounds = cfg.bounds._replace(quota_window_s=0.5, quota_excess=0.0, quota_slack=0.0)
    return cfg._replace(bounds=bounds)


class TestQuota:
    """Guard against daemons whose parts of the quota are not connected."""

    def test_one_control_daemon_issues_its_part(self, deployment):
        decode = lambda document: Ok(TABLE)
        must_be_current = lambda document: True

        async def send(entry):
            fut = asyncio.get_running_loop().create_future()
            request = build_request(credentials=Credentials(KEY_DIGEST, ()))
            entry.gateway.handle(request, fut.set_result)
            return await fut

        async def work():
            loop, log = asyncio.get_running_loop(), EventLog()
            control_cfg = read_cfg(deployment, deployment.controls[0])
            control = build_control_parts(
                control_cfg,
                log,
                lambda: control_cfg.seeds,
                None,
                must_be_current,
                decode,
            ).unwrap()
            servers = FakeServers(loop)
            entry = build_entry_parts(
                read_cfg(deployment, deployment.entries[0]),
                log,
                servers.send_to_server,
                decode,
                lambda table: None,
                ByteBudget(),
            )
            entry.listen()
            publish = PublishRoutes(TABLE.version, b"document")
            while (await control.operate(publish, 1.0)).is_err():
                await asyncio.sleep(0.05)
            while not entry.gateway.has_table():
                await asyncio.sleep(0.05)
            apply_announcement(control.registry, build_row("a"), loop.time())
            while (await send(entry)).kind is not ReplyKind.SERVER:
                await asyncio.sleep(0.05)
            # All that was issued until now must have left the window.
            await asyncio.sleep(1.0)
            replies = await asyncio.gather(*[send(entry) for _ in range(30)])
            kinds = [reply.kind for reply in replies]
            assert kinds.count(ReplyKind.SERVER) == 5
            refused = [item for item in replies if item.kind is ReplyKind.OVER_QUOTA]
            assert len(refused) == 25
            slots = {round(item.retry_after_s, 3) for item in refused}
            assert len(slots) == 25
            assert min(slots) > 0.5
            metrics = control.read_metrics()
            assert metrics["permits_issued"] >= 6
            await entry.close()
            await control.close()

        asyncio.run(asyncio.wait_for(work(), LIMIT_S))
