"""Checks of a route table; all findings are collected."""

from collections.abc import Iterator

from bramleyrouter.failures import Finding
from bramleyrouter.gateway.tables import Route, RouteTable

ERROR = "error"


def check_table(table: RouteTable) -> tuple[Finding, ...]:
    """Return all findings; a table with at least one is rejected as a whole."""
    return (*_check_locations(table), *_check_routes(table))


def _check_locations(table: RouteTable) -> Iterator[Finding]:
    seen: dict[tuple[str, str], str] = {}
    for route in table.routes:
        location = (route.host, route.prefix)
        if location in seen:
            text = (
                f'"{route.host}{route.prefix}" is also the place of "{seen[location]}".'
            )
            hint = "Give each route a host and prefix of its own."
            yield Finding("routes.E001", ERROR, f"routes.{route.name}", text, hint)
        seen[location] = route.name


def _check_routes(table: RouteTable) -> Iterator[Finding]:
    service_names = {service.name for service in table.services}
    for route in table.routes:
        referenced = [*(target.service for target in route.targets), *route.shards]
        for service in referenced:
            if service not in service_names:
                text = f'Service "{service}" is not in the table.'
                yield _build_finding(route, "E002", text, "Name it under the services.")
        yield from _check_values(route)


def _check_values(route: Route) -> Iterator[Finding]:
    if bool(route.targets) == bool(route.shards):
        text = "Exactly one of targets and shards was expected."
        yield _build_finding(route, "E003", text, "Name a service, a split or shards.")
    weights = [target.weight for target in route.targets]
    if weights and (sum(weights) <= 0 or min(weights) < 0):
        text = f'The weights "{weights}" leave nothing to choose.'
        yield _build_finding(route, "E004", text, "Give one service a positive weight.")
    if route.timeout_s <= 0:
        text = f'The timeout "{route.timeout_s}" s leaves no time to answer.'
        yield _build_finding(route, "E005", text, "Set a positive timeout.")
    if not route.prefix.startswith("/") or not route.prefix.endswith("/"):
        text = f'The prefix "{route.prefix}" does not begin and end with a slash.'
        yield _build_finding(route, "E006", text, 'Write it as "/name/".')
    if len(set(route.shards)) < len(route.shards):
        text = "A shard is named twice."
        yield _build_finding(route, "E007", text, "Name each shard once.")


def _build_finding(route: Route, code: str, text: str, hint: str) -> Finding:
    return Finding(f"routes.{code}", ERROR, f"routes.{route.name}", text, hint)
