"""Joins a node to its cluster: the members, and the versions of settings that these agree on."""

from collections.abc import Mapping
from typing import Any

from marlseam import configuration
from marlseam.configuration import ClusterSettings, Config, ConfigError
from marlseam.net.configured_socket import config_error_on_failure
from marlseam.net.membership_service import MembershipService
from marlseam.net.node_interface import NodeInterface


class ClusterLink:
    """Makes the membership service, and offers the node to the service of configuration versions.

    Attributes:
        membership: the cluster's members as this node knows them.
        config_service: the service of configuration versions; None where the settings name no ledger.

    """

    def __init__(self, node: NodeInterface, cluster: ClusterSettings) -> None:
        self.node, config, port = node, node.config, None
        if cluster.folder is not None:
            # Imported here: a node without a ledger needs nothing of it.
            from marlseam.net.config_service import ConfigServicePort

            port = ConfigServicePort(
                self.settings_error,
                self.apply_settings,
                node.service.follow_cluster,
                lambda: max(0, node.discovery.version),
                lambda: node.config.settings,
                self.pass_proof_on,
                config.socket_fd is not None,
            )
        address = cluster.members[config.name]
        with config_error_on_failure("fleet.members", address, "a free address of this machine"):
            self.membership = MembershipService(node.loop, node.log, cluster, config.name, config.seed, port)
        self.config_service = self.membership.config_service

    def load_config(self) -> Config:
        """Return the configuration under the version that the ledger holds, or as it is without one."""
        content = self.config_service.load() if self.config_service is not None else None
        if content is None:
            return self.node.config
        return configuration.with_settings(self.node.config, content.settings)

    def settings_error(self, settings: Mapping[str, Any]) -> str:
        """Return what is wrong with a cluster's settings here, or ""."""
        try:
            configuration.with_settings(self.node.config, settings)
        except ConfigError as error:
            return str(error)
        return ""

    def apply_settings(self, settings: Mapping[str, Any]) -> None:
        """Go on under a cluster's settings, between two events; open requests keep their class."""
        self.node.adopt(configuration.with_settings(self.node.config, settings))

    def pass_proof_on(self, number: int, content_id: str, mono_ms: float) -> None:
        """Tell other processes of this node when the cluster's version was in force."""
        if self.node.handover is not None:
            self.node.handover.prove(number, content_id, mono_ms)
