"""One simulated node: the wire's events become the reducer's, and its effects the wire's actions."""

from base64 import b64encode
from collections.abc import Callable
from typing import Any

from marlseam import core
from marlseam.configuration import deployment_from
from marlseam.core import Effect, EndpointEntry, Event, Reducer
from marlseam.decisions.types import LoadReport, Request
from marlseam.simhost import wire


class Instance:
    """Carries events into one node's reducer and writes out the actions that it asks for."""

    def __init__(self, name: str, seed: int, options: dict[str, Any], clock: float, out: list[str]) -> None:
        self.name, self.clock, self.out = name, clock, out
        self.deployment = deployment_from(options, "options")
        self.core = Reducer()
        self.reduce(core.NodeStarted(self.deployment.settings, seed))

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
            event = core.TimerFired(wire.whole(values, "mark"))
        elif name == "arrival":
            event = core.RequestArrived(self.request(values))
        elif name == "directory_update":
            update_kind = wire.word(wire.LISTINGS, values, "scope")
            event = core.EndpointListUpdate(update_kind, [self.entry(e) for e in entries])
        elif name == "sampled":
            outcome = wire.word(wire.OUTCOMES, values, "verdict")
            lag = wire.number(values, "lagUs", 0.0) / 1000.0
            event = core.ProbeEnded(wire.need(values, "executor"), outcome, lag, self.report(values))
        elif name == "left":
            event = core.ClientLeft(wire.need(values, "opId"))
        elif name == "mail":
            event = core.GossipReceived(wire.whole(values, "neighbour"), wire.message(values))
        else:
            event = self.allocation_event(name, values)
        if event is not None:
            self.reduce(event)

    def allocation_event(self, name: str, values: dict[str, str | None]) -> Event | None:
        """Read what happened to an attempt."""
        request_id, attempt_index = wire.need(values, "opId"), wire.whole(values, "attempt")
        if name == "settled":
            outcome = wire.word(wire.OUTCOMES, values, "verdict")
            return core.AttemptEnded(
                request_id, attempt_index, outcome, values["finished"] == "1", self.report(values)
            )
        if name == "accepted":
            return core.ResponseStreaming(request_id, attempt_index)
        if wire.need(values, "kind") == "1":
            return core.AttemptStarted(request_id, attempt_index)
        return (
            core.AttemptProgressed(request_id, attempt_index, wire.number(values, "x", 0.0))
            if values["kind"] == "2"
            else None
        )

    def report(self, values: dict[str, str | None]) -> LoadReport | None:
        """Read the load report that came along."""
        return wire.report(self.deployment.report_names, values["pressure"])

    def request(self, values: dict[str, str | None]) -> Request:
        """Read a request."""
        kind = wire.need(values, "qos")
        if kind not in self.deployment.types:
            raise wire.Malformed(f"qos cannot be {kind!r}")
        type = self.deployment.types[kind]
        return Request(
            request_id=wire.need(values, "opId"),
            class_index=type,
            deadline_at_ms=wire.ms(values, "expiresUs")
            or self.clock + self.deployment.settings.request_classes[type].deadline_ms,
            slots=wire.number(values, "needs", 1.0) or 1.0,
            run_hint_ms=wire.ms(values, "workHintUs"),
            resource_key=values["pathKey"],
        )

    def entry(self, values: dict[str, str | None]) -> EndpointEntry:
        """Read one entry of a list."""
        return EndpointEntry(
            server=wire.need(values, "executor"),
            state=wire.word(wire.STATES, values, "availability"),
            kind=self.deployment.kinds.get(values["familyType"], -1),
            zone=self.deployment.zones.get(values["dc"], -1),
            cell=int(wire.number(values, "cohort", -1)),
            process_started_ms=wire.ms(values, "bornUs"),
            weight=wire.number(values, "weight", 0.0) or None,
        )


def us(ms: float) -> int:
    """Return milliseconds as the wire's whole microseconds."""
    return int(ms * 1000.0)


def forward(name: str, effect: core.SendAttempt) -> str:
    """Write a sending; below 1 its time limit would mean another thing."""
    return f"forward {name} {effect.request_id} {effect.server} {max(1, us(effect.time_left_ms))}"


def cancel(name: str, effect: core.CancelAttempt) -> str:
    """Write that an attempt is given up; the wire knows none that has not begun."""
    return f"stop_attempt {name} {effect.request_id} {effect.attempt_index}" if effect.begun else ""


# `Complete` has no action: the simulator passes results on by itself.
ACTIONS: dict[type[Effect], Callable[[str, Any], str]] = {
    core.SendAttempt: forward,
    core.CancelAttempt: cancel,
    core.Reject: lambda name, effect: f"bounce {name} {effect.request_id} {us(effect.retry_after_ms)}",
    core.Fail: lambda name, effect: f"finish_error {name} {effect.request_id}",
    core.Probe: lambda name, effect: f"inspect {name} {effect.server}",
    core.SetTimer: lambda name, effect: f"wake_me {name} {effect.timer_id} {max(0, us(effect.delay_ms))}",
    core.WatchEndpoints: lambda name, effect: f"watch {name} 1",
    core.Gossip: lambda name, effect: f"notify {name} all {b64encode(effect.message).decode()}",
    core.Log: lambda name, effect: f"print {name} {effect.text}",
}
