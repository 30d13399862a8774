"""Checks of a route table; all findings are collected."""

import math
import re
from collections.abc import Iterator

from bramleyrouter.failures import Finding
from bramleyrouter.gateway.tables import Customer, Route, RouteTable
from bramleyrouter.ids import TenantName

ERROR = "error"
# A name is sent to servers as the value of a header, which can't hold these.
_UNSENDABLE = re.compile(r"[\x00-\x1f\x7f]|^\s|\s$")


def check_table(table: RouteTable) -> tuple[Finding, ...]:
    """Return all findings; a table with at least one is rejected as a whole."""
    return (
        *_check_locations(table),
        *_check_routes(table),
        *_check_customers(table),
    )


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


def _check_customers(table: RouteTable) -> Iterator[Finding]:
    """Check the customers; findings name customers and never hold a key."""
    names: set[TenantName] = set()
    owners: dict[bytes, TenantName] = {}
    for at, customer in enumerate(table.customers):
        if customer.name in names:
            text = f'The name "{customer.name}" belongs to two customers.'
            yield _build_customer_finding(at, "E001", text, "Name each customer once.")
        names.add(customer.name)
        for digest in set(customer.key_digests):
            if digest in owners:
                text = f'"{owners[digest]}" and "{customer.name}" have the same key.'
                hint = "Give each customer keys of its own."
                yield _build_customer_finding(at, "E002", text, hint)
            owners[digest] = customer.name
        yield from _check_customer_values(at, customer)


def _check_customer_values(at: int, customer: Customer) -> Iterator[Finding]:
    if not customer.name:
        text = "A customer has no name."
        yield _build_customer_finding(at, "E003", text, "Name the customer.")
    for value in (customer.rate_per_s, customer.burst):
        if not math.isfinite(value) or value < 0:
            text = f'The rate or burst "{value}" is no limit.'
            hint = "Set a number of at least 0; 0 means no limit."
            yield _build_customer_finding(at, "E004", text, hint)
    if _UNSENDABLE.search(customer.name):
        text = f"The name {customer.name!a} can't be sent in a header."
        hint = "Leave out control characters, and spaces at its ends."
        yield _build_customer_finding(at, "E005", text, hint)


def _build_customer_finding(at: int, code: str, text: str, hint: str) -> Finding:
    return Finding(f"customers.{code}", ERROR, f"customers.{at}", text, hint)
