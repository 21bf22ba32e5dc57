"""The command line of marlseam."""

import gc
import importlib
import signal
import sys

import click

from marlseam import __version__, configuration
from marlseam.net.node import Node

CONFIG = click.option("--config", "path", help="Configuration file; else the one that EDGE_CONFIG names.")


OWN = click.option("--settings", "own", help="The operator's own settings, else by MARLSEAM_SETTINGS.")
GROUPS = {  # of marlseam/cli: imported only when named, so that a node stays small
    "fleet": "See who of a fleet is there and acts on what; publish; audit; search for what breaks bounds.",
    "experiment": "Run experiments, list and compare them.",
    "load": "Send load to nodes; write traces.",
    "standin": "Run parts of the world on loopback.",
    "state": "Show, verify and export a node's state folder.",
}


class Commands(click.Group):
    """Ends with one message where a command finds the configuration at fault.

    Imports groups when they are named.
    """

    def list_commands(self, context: click.Context) -> list[str]:
        """Return the names of all commands."""
        return sorted([*super().list_commands(context), *GROUPS])

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        """Return a command; of a group only its name and help."""
        return click.Group(name, help=GROUPS[name]) if name in GROUPS else super().get_command(context, name)

    def resolve_command(
        self, context: click.Context, args: list[str]
    ) -> tuple[str | None, click.Command | None, list[str]]:
        """Return the command that is to run, with its group imported."""
        name, command, remaining_args = super().resolve_command(context, args)
        if name in GROUPS:
            try:
                command = importlib.import_module(f"marlseam.cli.{name}").group
            except ModuleNotFoundError as error:
                text = f"{name} needs libraries of requirements-bench.txt: {error}"
                raise click.ClickException(text) from None
        return name, command, remaining_args

    def invoke(self, context: click.Context) -> object:
        """Run a command."""
        try:
            return super().invoke(context)
        except configuration.ConfigError as error:
            print(f"marlseam: {error}", file=sys.stderr)
            sys.exit(2)


@click.group(cls=Commands)
def main() -> None:
    """Dispatch requests to servers by forward probing."""


@main.command()
@CONFIG
@OWN
def serve(path: str | None, own: str | None) -> None:
    """Run one node until SIGTERM; SIGHUP has it read its configuration anew."""
    # What comes before the node can tell them apart waits: a SIGHUP would end the process meanwhile.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM, signal.SIGINT))
    node = Node(configuration.load(path, own=own))
    gc.freeze()
    node.run()


@main.command()
@CONFIG
@OWN
def check(path: str | None, own: str | None) -> None:
    """Read a configuration and say what it holds; folders for state and ledger are tried."""
    config = configuration.load(path, own=own)
    if config.store is not None:
        importlib.import_module("marlseam.store.check").check_state(config.store, config.name)
    if config.cluster is not None and config.cluster.folder is not None:
        importlib.import_module("marlseam.store.check").check_ledger(config.cluster, config.name)
    deployment = config.deployment
    print(f"{config.name} listens on {config.listen[0]}:{config.listen[1]}", end=", ")
    print(f"{len(deployment.types)} request classes, {len(deployment.kinds)} kinds: good")


@main.command()
def version() -> None:
    """Print the version."""
    from importlib import metadata  # here alone, as a node that restarts should be back soon

    print(f"marlseam {__version__}, click {metadata.version('click')}, h11 {metadata.version('h11')}")


if __name__ == "__main__":
    main()
