"""Parse addresses of the form "ip:port"."""

import ipaddress


def split_address(address: str) -> tuple[str, int]:
    """Return the host, without brackets, and the port of "ip:port".

    Raises ``ValueError`` if the host is no IP address or the port is invalid.
    """
    host, _, port = address.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    port_number = int(port)
    if not 0 <= port_number <= 65535:
        raise ValueError(f'Port "{port}" is not between 0 and 65535.')
    return host.strip("[]"), port_number
