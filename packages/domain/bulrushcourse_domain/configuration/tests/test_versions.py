"""Stateful test: versions in force never go back.

The model holds three seats and a store. One entry at a time may be starting;
publishes, polls, messages, outages and restarts come in any order.
"""

import datetime

import attrs
import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies
from returns import result

from bulrushcourse_domain.configuration import active_configuration
from bulrushcourse_domain.configuration import configuration_set
from bulrushcourse_domain.configuration import objects
from bulrushcourse_domain.configuration import publication
from bulrushcourse_domain.configuration import startup

NOW = datetime.datetime(2026, 12, 4, tzinfo=datetime.UTC)
SEATS = strategies.sampled_from('abc')


@attrs.define
class Entry:
    held: active_configuration.ActiveConfiguration
    startup: startup.StartupConfiguration
    heard: dict = attrs.field(factory=dict)


class Versions(stateful.RuleBasedStateMachine):
    """The rules under test; broken variants replace one of them."""

    held_class = active_configuration.ActiveConfiguration
    startup_class = startup.StartupConfiguration
    propose = staticmethod(publication.propose)

    def __init__(self):
        super().__init__()
        self.store_up = True
        self.history = {}
        self.highest = dict.fromkeys('abc', 0)
        self.entries = {seat: self.new_entry() for seat in 'abc'}
        self.orders = []

    def new_entry(self):
        return Entry(self.held_class(), self.startup_class())

    @property
    def stored(self):
        return self.history[max(self.history)] if self.history else None

    def is_ready(self, seat):
        entry = self.entries[seat]
        return entry.startup.decide(
            entry.held.version,
            frozenset('abc') - {seat} - entry.heard.keys(),
            max(entry.heard.values(), default=0),
        )

    def read(self, seat):
        entry = self.entries[seat]
        stored = self.stored
        entry.startup.record_stored_version(stored.version if stored else 0)
        if stored:
            entry.held.stage(
                configuration_set.ConfigurationSet(
                    stored.version, stored.objects
                )
            )

    @stateful.initialize()
    def start_with_version_one(self):
        self.publish('a', lost=False, repeat=False, outage=False)
        self.second()

    @stateful.precondition(lambda self: self.store_up)
    @stateful.rule(
        seat=SEATS,
        lost=strategies.booleans(),
        repeat=strategies.booleans(),
        outage=strategies.booleans(),
    )
    def publish(self, seat, lost, repeat, outage):
        """Publish, perhaps again after a lost answer or before an outage."""
        entry = self.entries[seat]
        if not self.is_ready(seat) and self.history:
            return
        if not repeat or not self.orders:
            number = len(self.orders)
            content = objects.Objects((objects.Place(f'{number}', 'nord'),))
            self.orders.append(
                publication.PublishRequest(
                    entry.held.version, f'p{number}', 'ana', content
                )
            )
        decided = self.propose(self.stored, self.history, self.orders[-1], NOW)
        if isinstance(decided, result.Success):
            new = decided.unwrap().publication
            kept = self.history.setdefault(new.version, new)
            assert kept.objects == new.objects, 'two contents of a version'
            if not lost:
                self.read(seat)
        self.store_up = not outage

    @stateful.precondition(lambda self: self.store_up)
    @stateful.rule(seat=SEATS)
    def poll(self, seat):
        self.read(seat)

    @stateful.rule(sender=SEATS, receivers=strategies.sets(SEATS))
    def send(self, sender, receivers):
        for receiver in sorted(receivers - {sender}):
            self.hear(sender, receiver)

    def hear(self, sender, receiver):
        source, target = self.entries[sender], self.entries[receiver]
        target.heard[sender] = source.held.newest_version
        if source.held.newest_version > target.held.newest_version:
            target.held.activate(source.held.newest)
        target.held.confirm(source.held.newest_version)

    @stateful.rule()
    def second(self):
        """Let a second pass: all entries read, then trust what they hold."""
        if self.store_up and self.stored:
            for seat in 'abc':
                self.read(seat)
            for entry in self.entries.values():
                entry.held.confirm(self.stored.version)

    @stateful.rule()
    def outage(self):
        self.store_up = not self.store_up

    @stateful.rule(seat=SEATS, senders=strategies.sets(SEATS))
    def restart(self, seat, senders):
        """Restart an entry, which then hears from some of the others."""
        if all(self.is_ready(other) for other in 'abc' if other != seat):
            self.entries[seat] = self.new_entry()
            for other in 'abc':
                self.entries[other].heard.pop(seat, None)
            for sender in sorted(senders - {seat}):
                self.hear(sender, seat)

    @stateful.invariant()
    def versions_never_go_back(self):
        for seat, entry in self.entries.items():
            if self.is_ready(seat):
                assert entry.held.version >= self.highest[seat], seat
                self.highest[seat] = entry.held.version

    @stateful.invariant()
    def each_publish_has_one_version(self):
        identifiers = [p.publish_id for p in self.history.values()]
        assert len(set(identifiers)) == len(identifiers)


class OlderAccepted(active_configuration.ActiveConfiguration):
    def stage(self, candidate):
        self.current, self.pending = None, candidate
        return True


class InForceAtOnce(active_configuration.ActiveConfiguration):
    def stage(self, candidate):
        return super().stage(candidate) and self.confirm(candidate.version)


class OnePeerIsEnough(startup.StartupConfiguration):
    def decide(self, in_force, unheard, highest_heard):
        if len(unheard) <= 1:
            unheard = frozenset()
        return super().decide(in_force, unheard, highest_heard)


def propose_anew(stored, history, order, now):
    """Take the stored version as base and ignore the publish identifier."""
    base = stored.version if stored else 0
    order = attrs.evolve(order, base_version=base)
    if stored:
        stored = attrs.evolve(stored, publish_id='')
    return publication.propose(stored, {}, order, now)


SETTINGS = hypothesis.settings(
    derandomize=True,
    max_examples=300,
    stateful_step_count=20,
    deadline=None,
    database=None,
)


def test_versions_in_force_never_go_back():
    """Restarts, outages and lost answers must not revert a version."""
    stateful.run_state_machine_as_test(Versions, settings=SETTINGS)


@pytest.mark.parametrize(
    'broken',
    [
        {'held_class': OlderAccepted},
        {'held_class': InForceAtOnce},
        {'startup_class': OnePeerIsEnough},
        {'propose': staticmethod(propose_anew)},
    ],
    ids=['older', 'at-once', 'one-peer', 'publish-anew'],
)
def test_check_catches_broken_rules(broken):
    """The stateful test must fail for each rule that is left out."""
    machine = type('Broken', (Versions,), broken)
    settings = hypothesis.settings(
        SETTINGS,
        max_examples=3000,
        phases=[hypothesis.Phase.generate],
        print_blob=False,
    )
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(machine, settings=settings)
