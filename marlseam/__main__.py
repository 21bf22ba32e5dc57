"""The command line of marlseam: `serve`, `check`, `version` and the groups of `marlseam.cli`."""

import gc
import importlib
import signal
import sys

import click

from marlseam import __version__, configuration
from marlseam.net.node import Node

CONFIG_OPTION = click.option(
    "--config", "path", help="Configuration file; defaults to the path in EDGE_CONFIG."
)


SETTINGS_OPTION = click.option(
    "--settings", "own", help="File of the operator's settings; defaults to the path in MARLSEAM_SETTINGS."
)
# Help by name of the command groups in marlseam/cli. A group is imported only when the command line names it,
# which keeps the memory of a node small.
GROUPS = {
    "fleet": "Show members of a fleet and the versions they act on; publish; audit; search fault schedules.",
    "experiment": "Run, list and compare experiments.",
    "load": "Send open-loop load to nodes; write traces.",
    "standin": "Run emulators and load generators on loopback.",
    "state": "Initialize, show, verify and export a node's state folder.",
}


class Commands(click.Group):
    """The main group: imports a subgroup only when the command line names it.

    On a ConfigError of a command it prints one line to standard error and exits with 2.
    """

    def list_commands(self, context: click.Context) -> list[str]:
        """Return the names of all commands and groups, sorted."""
        return sorted([*super().list_commands(context), *GROUPS])

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        """Return a command; for a group in GROUPS a stand-in with only its name and help."""
        return click.Group(name, help=GROUPS[name]) if name in GROUPS else super().get_command(context, name)

    def resolve_command(
        self, context: click.Context, args: list[str]
    ) -> tuple[str | None, click.Command | None, list[str]]:
        """Return the command to run, importing its group; raise ClickException where a library is missing."""
        name, command, remaining_args = super().resolve_command(context, args)
        if name in GROUPS:
            try:
                command = importlib.import_module(f"marlseam.cli.{name}").group
            except ModuleNotFoundError as error:
                text = f"{name} requires the libraries in requirements-bench.txt: {error}"
                raise click.ClickException(text) from None
        return name, command, remaining_args

    def invoke(self, context: click.Context) -> object:
        """Run a command; exit with 2 and one line on standard error on a ConfigError."""
        try:
            return super().invoke(context)
        except configuration.ConfigError as error:
            print(f"marlseam: {error}", file=sys.stderr)
            sys.exit(2)


@click.group(cls=Commands)
def main() -> None:
    """Dispatch requests to servers by forward probing."""


@main.command()
@CONFIG_OPTION
@SETTINGS_OPTION
def serve(path: str | None, own: str | None) -> None:
    """Run one node until SIGTERM; on SIGHUP it reloads its configuration."""
    # Signals stay pending until the node has installed its handlers: a SIGHUP would end the process before.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP, signal.SIGTERM, signal.SIGINT))
    node = Node(configuration.load(path, operator_settings_path=own))
    gc.freeze()
    node.run()


@main.command()
@CONFIG_OPTION
@SETTINGS_OPTION
def check(path: str | None, own: str | None) -> None:
    """Check a configuration; lock, write and read its folders for state and ledger, if it names any."""
    config = configuration.load(path, operator_settings_path=own)
    if config.store is not None:
        importlib.import_module("marlseam.store.check").check_state(config.store, config.name)
    if config.cluster is not None and config.cluster.folder is not None:
        importlib.import_module("marlseam.store.check").check_ledger(config.cluster, config.name)
    deployment = config.deployment
    print(f"{config.name} listens on {config.listen[0]}:{config.listen[1]}", end=", ")
    print(f"{len(deployment.types)} request classes, {len(deployment.kinds)} kinds: valid")


@main.command()
def version() -> None:
    """Print the version."""
    from importlib import metadata  # imported here only: keeps the start of a node short

    print(f"marlseam {__version__}, click {metadata.version('click')}, h11 {metadata.version('h11')}")


if __name__ == "__main__":
    main()
