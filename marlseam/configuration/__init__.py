"""Reads and checks all configuration and applies its defaults; errors name the key at fault."""

from marlseam.configuration.addresses import address_from, member_address
from marlseam.configuration.deployment import Deployment, deployment_from
from marlseam.configuration.errors import ConfigError
from marlseam.configuration.loader import FOLDER_VARIABLE as FOLDER
from marlseam.configuration.loader import SOCKET_VARIABLE as SOCKET
from marlseam.configuration.loader import Config, load, with_settings
from marlseam.configuration.operator_settings import (
    ClusterSettings,
    ShadowSettings,
    StoreSettings,
    operator_settings,
)
from marlseam.configuration.table import finite

__all__ = [
    "FOLDER",
    "SOCKET",
    "ClusterSettings",
    "Config",
    "ConfigError",
    "Deployment",
    "ShadowSettings",
    "StoreSettings",
    "address_from",
    "deployment_from",
    "finite",
    "load",
    "member_address",
    "operator_settings",
    "with_settings",
]
