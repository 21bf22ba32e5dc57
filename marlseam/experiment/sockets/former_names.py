"""The driver's former interface, for the modules that use it still."""

from collections.abc import Callable
from pathlib import Path
from typing import Any

from marlseam import records
from marlseam.experiment.processes import ChildProcess
from marlseam.experiment.sockets.driver import START_LEAD_S, GeneratorCounts, ShowProgress, SocketDriver
from marlseam.experiment.sockets.options import NodeConfiguration, SocketOptions
from marlseam.simulation.model import Day
from marlseam.simulation.plan import Arrival

LEAD_S = START_LEAD_S


class FormerSocketDriver(SocketDriver):
    """`SocketDriver` with its options as keywords and the former names of its methods."""

    def __init__(  # noqa: PLR0913 - as its callers have it
        self,
        day: Day,
        seed: int,
        out: Path,
        generators: int = 1,
        connections: int = 0,
        proxied: bool | None = None,
        parts: int = 1,
        profile: Path | None = None,
        own: str = "",
        prepare: Callable[[str, dict[str, str]], None] | None = None,
        between: Callable[[str], None] | None = None,
        module: Callable[[str], str] | None = None,
        env: Callable[[str], dict[str, str]] | None = None,
        more: Callable[[str], tuple[dict[str, Any], str]] | None = None,
        shared: bool = False,
    ) -> None:
        defaults = SocketOptions()
        options = SocketOptions(
            generator_count=generators,
            connection_count=connections,
            uses_network=proxied,
            server_process_count=parts,
            profile=profile,
            operator_settings=own,
            before_first_start=prepare,
            before_restart=between,
            node_module=module or defaults.node_module,
            node_environment=env or defaults.node_environment,
            node_configuration=None if more is None else lambda name: NodeConfiguration(*more(name)),
            inherits_sockets=shared,
        )
        super().__init__(day, seed, out, options)

    def run(  # type: ignore[override]  # the arrivals, which nothing needs, came first
        self, arrivals: list[Arrival] | None = None, progress: ShowProgress | None = None
    ) -> list[GeneratorCounts]:
        """See `SocketDriver.run`."""
        del arrivals
        return super().run(progress)

    @property
    def nodes(self) -> dict[str, ChildProcess]:
        """See `NodeProcesses.running`."""
        return self.node_processes.running

    @property
    def zero(self) -> float:
        """See `DriverRecorder.zero_s`."""
        return self.recorder.zero_s

    @zero.setter
    def zero(self, zero_s: float) -> None:
        self.recorder.zero_s = zero_s

    def now(self) -> float:
        """See `DriverRecorder.now_ms`."""
        return self.recorder.now_ms()

    def note(self, record: records.Record) -> None:
        """See `DriverRecorder.add`."""
        self.recorder.add(record)

    def fell(self, name: str, away_ms: float, state: str = "killed") -> None:
        """See `SocketDriver.expect_end`."""
        self.expect_end(name, away_ms, state)

    def upgrade(self, name: str) -> None:
        """See `NodeProcesses.upgrade`."""
        self.node_processes.upgrade(name)
