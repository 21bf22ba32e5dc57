"""Addresses in a configuration: IP addresses in figures with a port, as 127.0.0.1:8443 or [::1]:8443."""

from ipaddress import ip_address

from marlseam.configuration.errors import ConfigError

MAX_PORT = 65535


def address_from(value: object) -> tuple[str, int] | None:
    """Return the IP address and port of a text, or None.

    Names of hosts are no addresses here: looking one up would block the node.
    """
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    try:
        host = str(ip_address(host.strip("[]")))
    except ValueError:
        return None
    is_port = port.isascii() and port.isdigit() and int(port) <= MAX_PORT
    return (host, int(port)) if is_port else None


def member_address(key: str, value: object, trusted: bool) -> tuple[str, int]:
    """Return the address of a cluster's member.

    Messages between members are not signed, so other addresses than loopback need a trusted network.
    Raises ConfigError with the key.
    """
    found = address_from(value)
    if found is None or not found[1]:
        raise ConfigError(key, value, "an IP address and a port")
    if not (trusted or ip_address(found[0]).is_loopback):
        raise ConfigError(key, value, "a loopback address, or trusted = true")
    return found
