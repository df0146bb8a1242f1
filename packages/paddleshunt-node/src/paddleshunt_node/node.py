"""The part that both roles share: performing effects and exchanging messages with peers."""

import random
import time
from collections.abc import Callable
from typing import Protocol, final

from paddleshunt_core.effects import Effect, Reply, Send, Start, WriteAllotment
from paddleshunt_core.events import Log
from paddleshunt_core.ids import Incarnation, boot_stamp
from paddleshunt_core.messages import (
    PROTOCOL_VERSION,
    BadMessage,
    Body,
    Envelope,
    body_tag,
    decode,
    encode,
)

from paddleshunt_node import logs
from paddleshunt_node.loop import Input, Loop
from paddleshunt_node.metrics import Metrics
from paddleshunt_node.peers import Peers


class Machine(Protocol):
    """A role's state machine, driven by the node."""

    def handle(self, now: float, envelope: Envelope) -> list[Effect]:
        """Handle a message from a peer."""

    def undelivered(self, now: float, to: Incarnation, body: Body) -> list[Effect]:
        """Handle the return of a message that provably never left this process."""

    def tick(self, now: float) -> list[Effect]:
        """Check timeouts."""

    def flush(self, now: float) -> list[Effect]:
        """Return the messages that are due after the inputs since the last flush."""

    @property
    def idle(self) -> bool:
        """Whether timeouts need to be checked only rarely."""


LocalEffect = Reply | Start | WriteAllotment


def new_incarnation(host: str, rng: random.Random) -> Incarnation:
    """Return a new incarnation, which identifies this run of the process on `host`."""
    return Incarnation(host, boot_stamp(int(time.time() * 1000), rng))


@final
class Node:
    """Runs a machine with its loop, sockets and metrics.

    `perform_local` performs the effects that are specific to the role.
    """

    def __init__(
        self,
        me: Incarnation,
        address: str,
        machine: Machine,
        perform_local: Callable[[LocalEffect], None],
    ) -> None:
        self.me = me
        self.metrics = Metrics()
        self._address = address
        self._machine = machine
        self._perform_local = perform_local
        self._loop = Loop(machine.tick, machine.flush, self._perform, self._is_idle)
        self._peers = Peers(address, self._handle_batch)
        self._next_idle_check = 0.0

    def start(self) -> None:
        """Start the loop and receive messages."""
        self._loop.start()
        self._peers.start()

    def post(self, item: Input) -> None:
        """Run `item` soon on the loop's thread."""
        self._loop.post(item)

    def stop(self) -> None:
        """Stop the loop, then the sockets."""
        self._loop.stop()
        self._peers.close()

    def _is_idle(self) -> bool:
        return self._machine.idle

    def _handle_batch(self, batch: list[bytes]) -> None:
        for raw in batch:
            envelope = decode(raw)
            if isinstance(envelope, BadMessage):
                logs.event("message_refused", reason=envelope.reason)
                continue
            self.metrics.received(body_tag(envelope.body), len(raw))
            self._post_envelope(envelope)

    def _post_envelope(self, envelope: Envelope) -> None:
        self._loop.post(lambda now: self._machine.handle(now, envelope))

    def _perform(self, now: float, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Send():
                    self._send(effect)
                case Log():
                    self._log(effect)
                case Reply() | Start() | WriteAllotment():
                    self._perform_local(effect)
        if now >= self._next_idle_check:
            self._next_idle_check = now + 10.0
            self._peers.close_idle()

    def _send(self, send: Send) -> None:
        envelope = Envelope(PROTOCOL_VERSION, self.me, self._address, send.to, send.body)
        if send.to == self.me:
            self._post_envelope(envelope)
            return
        raw = encode(envelope)
        if self._peers.send(send.address, raw):
            self.metrics.sent(body_tag(send.body), len(raw))
            return
        self._loop.post(lambda now: self._machine.undelivered(now, send.to, send.body))

    def _log(self, effect: Log) -> None:
        self.metrics.event(effect.event)
        fields = dict(effect.fields)
        if effect.submission:
            fields["submission"] = effect.submission
        logs.event(effect.event, **fields)
