"""Stateful test: the active version never decreases.

The model has three entries and a store. One entry at a time may be starting;
publishes, polls, messages, outages and restarts happen in any order.
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
NAMES = strategies.sampled_from('abc')


@attrs.define
class Entry:
    active: active_configuration.ActiveConfiguration
    startup: startup.StartupConfiguration
    peer_versions: dict = attrs.field(factory=dict)


class Versions(stateful.RuleBasedStateMachine):
    """State machine of the rules; faulty variants replace one rule each."""

    active_class = active_configuration.ActiveConfiguration
    startup_class = startup.StartupConfiguration
    propose = staticmethod(publication.propose)

    def __init__(self):
        super().__init__()
        self.store_up = True
        self.history = {}
        self.highest_active = dict.fromkeys('abc', 0)
        self.entries = {name: self.new_entry() for name in 'abc'}
        self.requests = []

    def new_entry(self):
        return Entry(self.active_class(), self.startup_class())

    @property
    def stored(self):
        return self.history[max(self.history)] if self.history else None

    def is_ready(self, name):
        entry = self.entries[name]
        return entry.startup.update_readiness(
            entry.active.version,
            frozenset('abc') - {name} - entry.peer_versions.keys(),
            max(entry.peer_versions.values(), default=0),
        )

    def read(self, name):
        entry = self.entries[name]
        stored = self.stored
        entry.startup.record_stored_version(stored.version if stored else 0)
        if stored:
            entry.active.stage(
                configuration_set.ConfigurationSet(
                    stored.version, stored.objects
                )
            )

    @stateful.initialize()
    def start_with_version_one(self):
        self.publish('a', lost=False, repeat=False, outage=False)
        self.pass_second()

    @stateful.precondition(lambda self: self.store_up)
    @stateful.rule(
        name=NAMES,
        lost=strategies.booleans(),
        repeat=strategies.booleans(),
        outage=strategies.booleans(),
    )
    def publish(self, name, lost, repeat, outage):
        """Publish or retry, maybe with a lost reply or before an outage."""
        entry = self.entries[name]
        if not self.is_ready(name) and self.history:
            return
        if not repeat or not self.requests:
            number = len(self.requests)
            content = objects.Objects((objects.Place(f'{number}', 'nord'),))
            self.requests.append(
                publication.PublishRequest(
                    entry.active.version, f'p{number}', 'ana', content
                )
            )
        proposed = self.propose(
            self.stored, self.history, self.requests[-1], NOW
        )
        if isinstance(proposed, result.Success):
            new = proposed.unwrap().publication
            recorded = self.history.setdefault(new.version, new)
            assert recorded.objects == new.objects, (
                'two contents of one version'
            )
            if not lost:
                self.read(name)
        self.store_up = not outage

    @stateful.precondition(lambda self: self.store_up)
    @stateful.rule(name=NAMES)
    def poll(self, name):
        self.read(name)

    @stateful.rule(sender=NAMES, receivers=strategies.sets(NAMES))
    def send(self, sender, receivers):
        for receiver in sorted(receivers - {sender}):
            self.receive_heartbeat(sender, receiver)

    def receive_heartbeat(self, sender, receiver):
        source, target = self.entries[sender], self.entries[receiver]
        target.peer_versions[sender] = source.active.newest_version
        if source.active.newest_version > target.active.newest_version:
            target.active.activate(source.active.newest)
        target.active.confirm(source.active.newest_version)

    @stateful.rule()
    def pass_second(self):
        """Let 1 s pass: entries read the store and activate the version."""
        if self.store_up and self.stored:
            for name in 'abc':
                self.read(name)
            for entry in self.entries.values():
                entry.active.confirm(self.stored.version)

    @stateful.rule()
    def toggle_store(self):
        self.store_up = not self.store_up

    @stateful.rule(name=NAMES, senders=strategies.sets(NAMES))
    def restart(self, name, senders):
        """Restart an entry, which then hears from some of the others."""
        if all(self.is_ready(other) for other in 'abc' if other != name):
            self.entries[name] = self.new_entry()
            for other in 'abc':
                self.entries[other].peer_versions.pop(name, None)
            for sender in sorted(senders - {name}):
                self.receive_heartbeat(sender, name)

    @stateful.invariant()
    def active_versions_never_decrease(self):
        for name, entry in self.entries.items():
            if self.is_ready(name):
                assert entry.active.version >= self.highest_active[name], name
                self.highest_active[name] = entry.active.version

    @stateful.invariant()
    def each_publish_has_one_version(self):
        identifiers = [p.publish_id for p in self.history.values()]
        assert len(set(identifiers)) == len(identifiers)


class AcceptsOlder(active_configuration.ActiveConfiguration):
    def stage(self, candidate):
        self.current, self.pending = None, candidate
        return True


class ActiveImmediately(active_configuration.ActiveConfiguration):
    def stage(self, candidate):
        return super().stage(candidate) and self.confirm(candidate.version)


class OnePeerSuffices(startup.StartupConfiguration):
    def update_readiness(
        self, active_version, silent_vms, newest_peer_version
    ):
        if len(silent_vms) <= 1:
            silent_vms = frozenset()
        return super().update_readiness(
            active_version, silent_vms, newest_peer_version
        )


def propose_on_stored(stored, history, request, now):
    """Use the stored version as the base, whatever the request says."""
    base = stored.version if stored else 0
    request = attrs.evolve(request, base_version=base)
    if stored:
        stored = attrs.evolve(stored, publish_id='')
    return publication.propose(stored, {}, request, now)


SETTINGS = hypothesis.settings(
    derandomize=True,
    max_examples=300,
    stateful_step_count=20,
    deadline=None,
    database=None,
)


def test_active_version_never_decreases():
    """Guards against restarts, outages or lost replies that revert it."""
    stateful.run_state_machine_as_test(Versions, settings=SETTINGS)


@pytest.mark.parametrize(
    'broken',
    [
        {'active_class': AcceptsOlder},
        {'active_class': ActiveImmediately},
        {'startup_class': OnePeerSuffices},
        {'propose': staticmethod(propose_on_stored)},
    ],
    ids=['older', 'at-once', 'one-peer', 'publish-anew'],
)
def test_state_machine_detects_broken_rules(broken):
    """Guards against a state machine that passes without one of the rules."""
    machine = type('Broken', (Versions,), broken)
    settings = hypothesis.settings(
        SETTINGS,
        max_examples=3000,
        phases=[hypothesis.Phase.generate],
        print_blob=False,
    )
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(machine, settings=settings)
