"""The one place where configuration is read, checked and given its defaults."""

from marlseam.configuration.loader import (
    FOLDER,
    SOCKET,
    ClusterSettings,
    Config,
    ConfigError,
    Deployment,
    ShadowSettings,
    StoreSettings,
    address_from,
    deployment_from,
    finite,
    load,
    member_address,
    own_settings,
    with_settings,
)

__all__ = [
    "FOLDER",
    "SOCKET",
    "Config",
    "ConfigError",
    "Deployment",
    "ClusterSettings",
    "StoreSettings",
    "ShadowSettings",
    "address_from",
    "deployment_from",
    "finite",
    "load",
    "member_address",
    "own_settings",
    "with_settings",
]
