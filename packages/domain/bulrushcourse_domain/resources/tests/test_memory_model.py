"""The budget never counts less than what is in use, and ends at zero."""

import attrs
from hypothesis import settings as hypothesis_settings
from hypothesis import stateful
from hypothesis import strategies

from bulrushcourse_domain.resources import memory as memories

TOTAL_BYTES = 10_000
BODIES = (memories.Use.REQUESTS, memories.Use.RESPONSES)
# Users are drawn by number: hypothesis keeps what it has drawn.
NUMBERS = strategies.integers(0, 99)


@attrs.define(eq=False)
class Body:
    """A body as one of its users refers to it."""

    memory: memories.BodyMemory
    received: int = 0


class BudgetMachine(stateful.RuleBasedStateMachine):
    """Bodies with several users each, which leave in any order.

    Guards against bytes that return to the budget while somebody still uses
    them, and against bytes that never return.
    """

    def __init__(self):
        super().__init__()
        self.budget = memories.MemoryBudget(TOTAL_BYTES)
        self.users = []

    @stateful.rule(
        use=strategies.sampled_from(BODIES),
        announced=strategies.integers(0, TOTAL_BYTES),
    )
    def admit(self, use, announced):
        memory = memories.BodyMemory(self.budget, use)
        if memory.try_grow(announced):
            self.users.append(Body(memory))
        assert memory.size <= self.budget.share_bytes(use)

    @stateful.precondition(lambda self: self.users)
    @stateful.rule(number=NUMBERS, size=strategies.integers(0, 3000))
    def receive(self, number, size):
        body = self.users[number % len(self.users)]
        missing = body.received + size - body.memory.size
        if missing <= 0 or body.memory.try_grow(missing):
            body.received += size

    @stateful.precondition(lambda self: self.users)
    @stateful.rule(number=NUMBERS)
    def share(self, number):
        """Let another user refer to a body: a run, a hedge, a response."""
        self.users.append(self.users[number % len(self.users)])

    @stateful.precondition(lambda self: self.users)
    @stateful.rule(number=NUMBERS)
    def leave(self, number):
        """End one user, which is cancelled, has left or is done."""
        del self.users[number % len(self.users)]

    @stateful.invariant()
    def counts_all_that_is_in_use(self):
        for use in BODIES:
            bodies = {b for b in self.users if b.memory.use is use}
            counted = self.budget.used_bytes[use]
            assert counted == sum(b.memory.size for b in bodies)
            assert counted >= sum(b.received for b in bodies)
            assert counted <= self.budget.share_bytes(use)

    def teardown(self):
        self.users.clear()
        assert not any(self.budget.used_bytes.values())


TestBudget = BudgetMachine.TestCase
TestBudget.settings = hypothesis_settings(
    max_examples=100, stateful_step_count=30
)
