"""One simulated node: the wire's events become the reducer's, and its effects the wire's actions."""

from base64 import b64encode
from collections.abc import Callable
from typing import Any

from marlseam import core
from marlseam.config import deployment_from
from marlseam.core import Core, Effect, Entry, Event
from marlseam.interface import WorkUnit
from marlseam.simhost import wire


class Instance:
    """Carries events into one node's reducer and writes out the actions that it asks for."""

    def __init__(self, name: str, seed: int, options: dict[str, Any], clock: float, out: list[str]) -> None:
        self.name, self.clock, self.out = name, clock, out
        self.deployment = deployment_from(options, "options")
        self.core = Core()
        self.reduce(core.Begin(self.deployment.settings, seed))

    def reduce(self, event: Event) -> None:
        """Play one event."""
        for effect in self.core.reduce(self.clock, event):
            write = ACTIONS.get(type(effect))
            line = write(self.name, effect) if write is not None else ""
            if line:
                self.out.append(line)

    def on(self, name: str, values: dict[str, str | None], entries: list[dict[str, str | None]]) -> None:
        """Turn one event of the wire into the reducer's, and play it."""
        if name == "due":
            event = core.Due(wire.whole(values, "mark"))
        elif name == "arrival":
            event = core.Arrival(self.work(values))
        elif name == "directory_update":
            listing = wire.word(wire.LISTINGS, values, "scope")
            event = core.Roster(listing, [self.entry(e) for e in entries])
        elif name == "sampled":
            outcome = wire.word(wire.OUTCOMES, values, "verdict")
            lag = wire.number(values, "lagUs", 0.0) / 1000.0
            event = core.Probed(wire.need(values, "executor"), outcome, lag, self.report(values))
        elif name == "left":
            event = core.Left(wire.need(values, "opId"))
        elif name == "mail":
            event = core.Told(wire.whole(values, "neighbour"), wire.message(values))
        else:
            event = self.allocation_event(name, values)
        if event is not None:
            self.reduce(event)

    def allocation_event(self, name: str, values: dict[str, str | None]) -> Event | None:
        """Read what happened to an allocation."""
        ref, alloc = wire.need(values, "opId"), wire.whole(values, "attempt")
        if name == "settled":
            outcome = wire.word(wire.OUTCOMES, values, "verdict")
            return core.Settled(ref, alloc, outcome, values["finished"] == "1", self.report(values))
        if name == "accepted":
            return core.Streaming(ref, alloc)
        if wire.need(values, "kind") == "1":
            return core.Started(ref, alloc)
        return core.Progress(ref, alloc, wire.number(values, "x", 0.0)) if values["kind"] == "2" else None

    def report(self, values: dict[str, str | None]) -> wire.Report | None:
        """Read the load report that came along."""
        return wire.report(self.deployment.report_names, values["pressure"])

    def work(self, values: dict[str, str | None]) -> WorkUnit:
        """Read a work unit."""
        kind = wire.need(values, "qos")
        if kind not in self.deployment.types:
            raise wire.Malformed(f"qos cannot be {kind!r}")
        type = self.deployment.types[kind]
        return WorkUnit(
            ref=wire.need(values, "opId"),
            type=type,
            expires_ms=wire.ms(values, "expiresUs")
            or self.clock + self.deployment.settings.types[type].limit_ms,
            slots=wire.number(values, "needs", 1.0) or 1.0,
            hint_ms=wire.ms(values, "workHintUs"),
            key=values["pathKey"],
        )

    def entry(self, values: dict[str, str | None]) -> Entry:
        """Read one entry of a list."""
        return Entry(
            executor=wire.need(values, "executor"),
            state=wire.word(wire.STATES, values, "availability"),
            kind=self.deployment.kinds.get(values["familyType"], -1),
            zone=self.deployment.zones.get(values["dc"], -1),
            cell=int(wire.number(values, "cohort", -1)),
            born_ms=wire.ms(values, "bornUs"),
            weight=wire.number(values, "weight", 0.0) or None,
        )


def us(ms: float) -> int:
    """Return milliseconds as the wire's whole microseconds."""
    return int(ms * 1000.0)


def forward(name: str, effect: core.Send) -> str:
    """Write a sending; below 1 its time limit would mean another thing."""
    return f"forward {name} {effect.ref} {effect.executor} {max(1, us(effect.limit_ms))}"


def cancel(name: str, effect: core.Cancel) -> str:
    """Write that an allocation is given up; the wire knows none that has not begun."""
    return f"stop_attempt {name} {effect.ref} {effect.alloc}" if effect.begun else ""


# `Complete` has no action: the simulator passes results on by itself.
ACTIONS: dict[type[Effect], Callable[[str, Any], str]] = {
    core.Send: forward,
    core.Cancel: cancel,
    core.Defer: lambda name, effect: f"bounce {name} {effect.ref} {us(effect.advice_ms)}",
    core.Abort: lambda name, effect: f"finish_error {name} {effect.ref}",
    core.Probe: lambda name, effect: f"inspect {name} {effect.executor}",
    core.Timer: lambda name, effect: f"wake_me {name} {effect.mark} {max(0, us(effect.delay_ms))}",
    core.Watch: lambda name, effect: f"watch {name} 1",
    core.Tell: lambda name, effect: f"notify {name} all {b64encode(effect.message).decode()}",
    core.Log: lambda name, effect: f"print {name} {effect.text}",
}
