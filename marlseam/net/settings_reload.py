"""Reload of the configuration file: a valid file is applied as a whole, an invalid one not at all."""

from dataclasses import replace

from marlseam import configuration
from marlseam.configuration import Config, ConfigError
from marlseam.net.node_interface import NodeInterface

# Fields of Config that cannot change while the process runs, with their keys in the configuration file.
FIXED_FIELDS = {
    "name": "name",
    "listen": "listen",
    "admin": "admin",
    "seed": "seed",
    "store": "store",
    "shadow": "watch",
    "cluster": "fleet",
}


class SettingsReload:
    """Reloads the configuration file of a node, on SIGHUP."""

    def __init__(self, node: NodeInterface) -> None:
        self.node = node

    def reload(self) -> None:
        """Read the file and apply it if it is valid; otherwise log the error and keep the configuration."""
        node = self.node
        node.loop.descriptors.ensure_one()
        try:
            config = self.load()
        except ConfigError as error:
            node.counters.reload_errors += 1
            node.log.line(f"the configuration stays as it was: {error}")
            return
        before = node.config
        for field, key in FIXED_FIELDS.items():
            if getattr(config, field) != getattr(before, field):
                node.log.line(
                    f"{key}: cannot change in a running node, the old value is kept until a restart"
                )
        node.adopt(replace(config, **{field: getattr(before, field) for field in FIXED_FIELDS}))
        node.counters.reloads += 1
        node.log.line(f"new configuration, discovery at {config.discovery[0]}:{config.discovery[1]}")

    def load(self) -> Config:
        """Return the configuration in the file; raises ConfigError.

        Settings from a version of the cluster stay in force, unless the cluster's settings are `local`.
        """
        node, before = self.node, self.node.config
        config = configuration.load(before.path, before=before)
        service, cluster = node.config_service, before.cluster
        if service is not None and cluster is not None and service.has_version() and not cluster.local:
            service.report_local_settings(config.settings)
            config = configuration.with_settings(config, before.settings)
        return config
