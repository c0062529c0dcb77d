"""Questions to other VMs about the newest configuration, and the answers."""

import asyncio
import contextlib

import attrs

from bulrushcourse_domain.fleet import fleet
from bulrushcourse_domain.routes import freshness
from bulrushcourse_entry.edge import process_state
from bulrushcourse_entry.edge.fleet import framing
from bulrushcourse_entry.edge.reporting import event_log as event_logs
from bulrushcourse_entry.edge.store import operator_changes
from bulrushcourse_wire import configuration_queries
from bulrushcourse_wire import packing

# VMs that are asked together. One of them may be behind or gone.
ASKED_VMS = 3
ANSWER_TIMEOUT_S = 0.4


@attrs.define(eq=False)
class ConfigurationQueries:
    """Asks other VMs for the newest configuration, and answers them.

    Reports wait in the sockets of a VM that does not run, so that they do not
    show what their sender knows when they are read. An answer to a question
    does.

    Attributes:
        state: The process state.
        event_log: Log.
    """

    state: process_state.ProcessState
    event_log: event_logs.EventLog

    async def ask(self) -> None:
        """Ask some VMs; their answers confirm the configuration."""
        vms = self.state.fleet
        # After a pause all other VMs look silent.
        alive = vms.presumed_alive() & vms.peers.keys() or vms.peers.keys()
        known = [vms.peers[n] for n in sorted(alive)]
        asked = self.state.rng.sample(known, min(ASKED_VMS, len(known)))
        started = self.state.clock.monotonic()
        answers = await asyncio.gather(*(self._ask(vm) for vm in asked))
        if any(answers):
            self.state.confirm_configuration(started, freshness.Source.PEERS)

    async def _ask(self, vm: fleet.Vm) -> bool:
        """Ask a VM and return whether it is not behind this one."""
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                reader, writer = await framing.connect(vm.peer_address)
                with contextlib.closing(writer):
                    question = configuration_queries.encode_question(
                        self.state.routes.version
                    )
                    framing.write_frame(writer, question)
                    content = await framing.read_frame(
                        reader,
                        configuration_queries.MAX_ANSWER_BYTES,
                        self.state.memory,
                    )
            return self._apply(configuration_queries.decode_answer(content))
        except (
            OSError,
            EOFError,
            TimeoutError,
            framing.OversizedFrame,
            configuration_queries.MalformedMessage,
            packing.MalformedContent,
        ):
            return False

    def _apply(self, answer: configuration_queries.Answer) -> bool:
        state = self.state
        if answer.version > state.routes.version and answer.configuration:
            operator_changes.apply_configuration(
                state,
                self.event_log,
                packing.unpack_content(answer.configuration),
            )
        return 0 < state.routes.version <= answer.version

    async def answer(
        self, content: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a question unless this VM's configuration is unconfirmed.

        Args:
            content: The question.
            writer: Its stream, which is closed afterwards.
        """
        version = configuration_queries.decode_question(content)
        state = self.state
        state.observe_running()
        if version is None or state.configuration_unconfirmed:
            return
        newest = state.routes.version
        answer = configuration_queries.Answer(
            newest, state.packed_configuration if newest > version else b''
        )
        framing.write_frame(
            writer, configuration_queries.encode_answer(answer)
        )
        async with asyncio.timeout(framing.USER_TIMEOUT_MS / 1000):
            await writer.drain()
