"""Parse addresses of the form "ip:port"."""

import ipaddress
import re

MAX_PORT = 65535
MAX_QUOTED_CHARACTERS = 60
# ``int`` alone also accepts signs, underscores and the digits of other scripts.
_PORT = re.compile(r"[0-9]{1,5}")


def split_address(address: str) -> tuple[str, int]:
    """Return the host, without brackets, and the port of "ip:port".

    Port 0 stands for any free port of a listener. Raises ``ValueError`` if the host is
    no IP address or the port is invalid.
    """
    host, _, port = address.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError as exc:
        text = f'"{address[:MAX_QUOTED_CHARACTERS]}" is not of the form "ip:port".'
        raise ValueError(text) from exc
    if not _PORT.fullmatch(port) or int(port) > MAX_PORT:
        raise ValueError(f'Port "{port[:20]}" is not between 0 and {MAX_PORT}.')
    return host.strip("[]"), int(port)


def check_peer_address(address: str) -> None:
    """Raise ``ValueError`` unless a connection can be opened to "ip:port"."""
    if split_address(address)[1] == 0:
        raise ValueError("Port 0 can't be connected to.")
