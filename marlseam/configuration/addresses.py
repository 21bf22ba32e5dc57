"""Addresses in a configuration: an IP address and a port, such as 127.0.0.1:8443 or [::1]:8443."""

from ipaddress import ip_address

from marlseam.configuration.errors import ConfigError

MAX_PORT = 65535


def address_from(value: object) -> tuple[str, int] | None:
    """Parse an IP address and a port; return None for any other value.

    Host names are not accepted: resolving one would block the node.
    """
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    try:
        host = str(ip_address(host.strip("[]")))
    except ValueError:
        return None
    is_port = port.isascii() and port.isdigit() and int(port) <= MAX_PORT
    return (host, int(port)) if is_port else None


def member_address(key: str, value: object, trusted: bool) -> tuple[str, int]:
    """Parse the address of a cluster member.

    Messages between members are not signed, so an address other than loopback requires a trusted network.
    Raises ConfigError with the key.
    """
    address = address_from(value)
    if address is None or not address[1]:
        raise ConfigError(key, value, "an IP address and a port")
    if not (trusted or ip_address(address[0]).is_loopback):
        raise ConfigError(key, value, "a loopback address, or trusted = true")
    return address
