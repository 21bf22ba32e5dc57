"""Connects a node to its cluster: membership, and the configuration versions that the members agree on."""

from collections.abc import Mapping
from typing import Any

from marlseam import configuration
from marlseam.configuration import ClusterSettings, Config, ConfigError
from marlseam.net.configured_socket import config_error_on_failure
from marlseam.net.membership_service import MembershipService
from marlseam.net.node_interface import NodeInterface


class ClusterLink:
    """Creates a node's membership service, and the port through which configuration versions reach the node.

    Attributes:
        node: the node.
        membership: the membership service.
        config_service: the service of configuration versions; None where the settings name no ledger folder.

    """

    def __init__(self, node: NodeInterface, cluster: ClusterSettings) -> None:
        self.node, config, port = node, node.config, None
        if cluster.folder is not None:
            # Imported here, so that a node without a ledger does not load the module.
            from marlseam.net.config_service import ConfigServicePort

            port = ConfigServicePort(
                self.settings_error,
                self.apply_settings,
                node.service.follow_cluster,
                lambda: max(0, node.discovery.version),
                lambda: node.config.settings,
                self.forward_proof,
                config.socket_fd is not None,
            )
        address = cluster.members[config.name]
        with config_error_on_failure("fleet.members", address, "a free address of this machine"):
            self.membership = MembershipService(node.loop, node.log, cluster, config.name, config.seed, port)
        self.config_service = self.membership.config_service

    def load_config(self) -> Config:
        """Return the node's configuration, with the settings of the ledger's version if that is usable."""
        content = self.config_service.load() if self.config_service is not None else None
        if content is None:
            return self.node.config
        return configuration.with_settings(self.node.config, content.settings)

    def settings_error(self, settings: Mapping[str, Any]) -> str:
        """Return why a cluster's settings are invalid on this node; "" where they are valid."""
        try:
            configuration.with_settings(self.node.config, settings)
        except ConfigError as error:
            return str(error)
        return ""

    def apply_settings(self, settings: Mapping[str, Any]) -> None:
        """Apply a cluster's settings to the node, between two events; open requests keep their class."""
        self.node.adopt(configuration.with_settings(self.node.config, settings))

    def forward_proof(self, number: int, content_id: str, mono_ms: float) -> None:
        """Send other processes of this node the proof of when the cluster's version was in force."""
        if self.node.handover is not None:
            self.node.handover.send_proof(number, content_id, mono_ms)
