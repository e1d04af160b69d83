"""Common base of the state machine tests of the request half."""

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from tests.utils.request_faults import FaultyFleet

INDEX = st.integers(0, 1_000)
"""Selects an element of a list by its remainder modulo the length."""


class FleetMachine(RuleBasedStateMachine):
    """A data centre whose network and upstreams act in random order.

    Messages are delivered in any order, duplicated or lost.
    """

    def __init__(self) -> None:
        """Start with three members and no owner."""
        super().__init__()
        self.fleet = FaultyFleet()
        self.call_number = 0

    @precondition(lambda self: self.fleet.deliverable())
    @rule(index=INDEX)
    def deliver(self, index: int) -> None:
        envelopes = self.fleet.deliverable()
        envelope = envelopes[index % len(envelopes)]
        self.fleet.network.remove(envelope)
        self.fleet.deliver(envelope)

    @precondition(lambda self: self.fleet.deliverable())
    @rule(index=INDEX)
    def double(self, index: int) -> None:
        envelopes = self.fleet.deliverable()
        self.fleet.deliver(envelopes[index % len(envelopes)])

    @precondition(lambda self: self.fleet.network)
    @rule(index=INDEX)
    def lose(self, index: int) -> None:
        del self.fleet.network[index % len(self.fleet.network)]

    @precondition(lambda self: self.fleet.answerable())
    @rule(index=INDEX)
    def answer(self, index: int) -> None:
        executions = self.fleet.answerable()
        self.fleet.answer(executions[index % len(executions)])

    def connect_all(self) -> None:
        for execution in self.fleet.connecting():
            self.fleet.connect(execution)

    @rule()
    def announce(self) -> None:
        self.fleet.announce()
        self.fleet.update_owner_members()

    @invariant()
    def guarantees_hold(self) -> None:
        self.fleet.check()

    def teardown(self) -> None:
        self.fleet.drain_and_check()
        self.fleet.check()
