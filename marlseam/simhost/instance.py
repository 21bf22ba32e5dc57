"""One simulated node: the decision module's port on one side, the wire's events and actions on the other."""

from collections.abc import Callable
from typing import Any

from marlseam.interface import Member, WorkUnit
from marlseam.logic import Handle, Node
from marlseam.simhost import wire


class Instance:
    """Holds what one node knows: names and ids mapped to dense indices, open work units, pending timers."""

    def __init__(self, name: str, seed: int, options: dict[str, Any], clock: float, out: list[str]) -> None:
        self.name, self.clock, self.out = name, clock, out
        self.settings = wire.settings_from(options)
        self.read_report = wire.report_reader(options.get("familyInfo", {}))
        self.zones = {zone: i for i, zone in enumerate(options.get("dcs", []))}
        self.kinds = {kind: i for i, kind in enumerate(options.get("kinds", []))}
        self.types = {row["name"]: i for i, row in enumerate(options.get("requestClasses", []))}
        self.index: dict[str, int] = {}
        self.address: list[str] = []
        self.open: dict[str, Handle] = {}
        self.timers: dict[str, Callable[[], None]] = {}
        self.marks = 0
        self.node = Node(self.settings, seed, self)

    # The port.

    def now(self) -> float:
        """Return the batch's clock."""
        return self.clock

    def send(self, wu: Handle, executor: int, limit_ms: float) -> None:
        """Send a work unit to an executor."""
        limit = max(1, int(limit_ms * 1000.0))
        self.out.append(f"forward {self.name} {wu.work.ref} {self.address[executor]} {limit}")

    def cancel(self, wu: Handle, alloc: int) -> None:
        """Stop waiting for an allocation."""
        self.out.append(f"stop_attempt {self.name} {wu.work.ref} {alloc}")

    def defer(self, wu: Handle, advice_ms: float) -> None:
        """Give the final answer `deferred`."""
        self.out.append(f"bounce {self.name} {wu.work.ref} {int(advice_ms * 1000.0)}")

    def abort(self, wu: Handle) -> None:
        """Give the final answer `aborted`."""
        self.out.append(f"finish_error {self.name} {wu.work.ref}")

    def probe(self, executor: int) -> None:
        """Ask an executor for its report."""
        self.out.append(f"inspect {self.name} {self.address[executor]}")

    def after(self, delay_ms: float, call: Callable[[], None]) -> None:
        """Call back once the delay has passed."""
        self.marks += 1
        mark = f"t{self.marks}"
        self.timers[mark] = call
        self.out.append(f"wake_me {self.name} {mark} {max(0, int(delay_ms * 1000.0))}")

    def subscribe(self) -> None:
        """Ask the roster for its changes."""
        self.out.append(f"watch {self.name} 1")

    def log(self, text: str) -> None:
        """Write a line for staff."""
        self.out.append(f"print {self.name} {text}")

    # The wire's events.

    def on(self, name: str, values: dict[str, str | None], entries: list[dict[str, str | None]]) -> None:
        """Hand one event to the module."""
        if name == "due":
            call = self.timers.pop(wire.need(values, "mark"), None)
            if call is not None:
                call()
        elif name == "arrival":
            self.arrival(values)
        elif name == "directory_update":
            listing = wire.word(wire.LISTINGS, values, "scope")
            self.node.roster(listing, [self.member(e) for e in entries])
        elif name == "sampled":
            outcome = wire.word(wire.OUTCOMES, values, "verdict")
            lag = wire.number(values, "lagUs", 0.0) / 1000.0
            self.node.probed(self.executor(values), outcome, lag, self.read_report(values["pressure"]))
        elif name != "mail":
            self.allocation_event(name, values)

    def allocation_event(self, name: str, values: dict[str, str | None]) -> None:
        """Turn what happened to a work unit into a call on its handle."""
        op = wire.need(values, "opId")
        wu = self.open.get(op)
        if wu is None:
            return
        if name == "left":
            wu.left()
        else:
            alloc = wire.whole(values, "attempt")
            if alloc >= len(wu.allocs):
                raise wire.Malformed(f"{op} has no attempt {alloc}")
            if name == "settled":
                outcome = wire.word(wire.OUTCOMES, values, "verdict")
                report = self.read_report(values["pressure"])
                wu.settled(alloc, outcome, values["finished"] == "1", report)
            elif name == "accepted":
                wu.streaming(alloc)
            elif wire.need(values, "kind") == "1":
                wu.started(alloc)
            elif values["kind"] == "2":
                wu.progress(alloc, wire.number(values, "x", 0.0))
        if wu.done and all(a.outcome is not None for a in wu.allocs):
            del self.open[op]

    def arrival(self, values: dict[str, str | None]) -> None:
        """Take a work unit."""
        kind = wire.need(values, "qos")
        if kind not in self.types:
            raise wire.Malformed(f"qos cannot be {kind!r}")
        limit = self.settings.types[self.types[kind]].limit_ms
        work = WorkUnit(
            ref=wire.need(values, "opId"),
            type=self.types[kind],
            expires_ms=wire.ms(values, "expiresUs") or self.clock + limit,
            slots=wire.number(values, "needs", 1.0) or 1.0,
            memory=wire.number(values, "memNeeded", 0.0),
            hint_ms=wire.ms(values, "workHintUs"),
        )
        wu = self.node.take(work)
        if not wu.done:
            self.open[work.ref] = wu

    def executor(self, values: dict[str, str | None]) -> int:
        """Return an executor's index, a new one for an address not seen before."""
        address = wire.need(values, "executor")
        if address not in self.index:
            self.index[address] = len(self.address)
            self.address.append(address)
        return self.index[address]

    def member(self, values: dict[str, str | None]) -> Member:
        """Read one entry of a list."""
        return Member(
            executor=self.executor(values),
            state=wire.word(wire.STATES, values, "availability"),
            kind=self.kinds.get(values["familyType"], -1),
            zone=self.zones.get(values["dc"], -1),
            cell=int(wire.number(values, "cohort", -1)),
            born_ms=wire.ms(values, "bornUs"),
        )
