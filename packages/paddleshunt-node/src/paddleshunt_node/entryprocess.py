"""The entry process: HTTP for callers and operators around the core's `Entry`."""

import hmac
import itertools
import queue
import random
import time
from dataclasses import dataclass, field
from http import HTTPStatus
from threading import Lock
from typing import final

import msgspec
from paddleshunt_core.allotments import Allotment
from paddleshunt_core.effects import Effect, Reply, WriteAllotment
from paddleshunt_core.entry import Entry, EntrySettings, Minted
from paddleshunt_core.ids import Incarnation
from paddleshunt_core.members import Host
from paddleshunt_core.messages import Answer, Body, Envelope, Submit
from paddleshunt_core.outcomes import NotAccepted, outcome_tag
from paddleshunt_core.table import TableDocument
from paddleshunt_platform.etcd import EtcdStore
from paddleshunt_platform.hosts import HostList
from paddleshunt_platform.settings import EntryFile

from paddleshunt_node import answers, logs
from paddleshunt_node.filters import (
    Call,
    CheckService,
    Filter,
    Forward,
    MintId,
    ParseBody,
    ParseId,
    ReadBody,
    ReturnId,
    run_chain,
)
from paddleshunt_node.node import LocalEffect, Node, new_incarnation
from paddleshunt_node.operatorpages import LOOP_TIMEOUT_SECONDS, OperatorPages
from paddleshunt_node.platformthreads import HostsThread, StoreThreads
from paddleshunt_node.web import Request, Response, Route, WebServer, error

SPARE_THREADS = 8
"""Web threads beyond those that may wait for answers, for short requests."""

REPLY_GRACE_SECONDS = 5.0
"""Time past a submission's deadline that a web thread waits for the core's answer."""


@dataclass(slots=True)
class _EntryMachine:
    """Adapts the core's entry to the node's `Machine`."""

    entry: Entry

    def handle(self, now: float, envelope: Envelope) -> list[Effect]:
        return self.entry.handle(now, envelope)

    def undelivered(self, now: float, to: Incarnation, body: Body) -> list[Effect]:
        return self.entry.undelivered(to, body)

    def tick(self, now: float) -> list[Effect]:
        return self.entry.tick(now)

    def flush(self, now: float) -> list[Effect]:
        return []

    @property
    def idle(self) -> bool:
        return len(self.entry.calls) == 0


@dataclass(slots=True)
class _PendingReplies:
    """Web threads that wait for a reply from the core, by caller number."""

    lock: Lock = field(default_factory=Lock)
    numbers: "itertools.count[int]" = field(default_factory=lambda: itertools.count(1))
    reply_queues: dict[int, "queue.SimpleQueue[Response]"] = field(default_factory=dict)

    def add(self) -> tuple[int, "queue.SimpleQueue[Response]"]:
        with self.lock:
            number = next(self.numbers)
            reply_queue: queue.SimpleQueue[Response] = queue.SimpleQueue()
            self.reply_queues[number] = reply_queue
            return number, reply_queue

    def answer(self, number: int, response: Response) -> None:
        with self.lock:
            reply_queue = self.reply_queues.pop(number, None)
        if reply_queue is not None:
            reply_queue.put(response)

    def drop(self, number: int) -> None:
        with self.lock:
            self.reply_queues.pop(number, None)


@final
class EntryProcess:
    """One entry, from `start` to `leave`."""

    def __init__(self, settings: EntryFile) -> None:
        rng = random.Random()
        self._settings = settings
        self._limits = settings.limits
        me = new_incarnation(settings.host, rng)
        core = EntrySettings(me, settings.listen.peers, settings.heartbeat_s)
        self._entry = Entry(core, rng)
        self._node = Node(
            me, settings.listen.peers, _EntryMachine(self._entry), self._perform_local
        )
        self._pending = _PendingReplies()
        self._state_requested = False
        self._pages = OperatorPages(self._node, self._describe)
        store_url = settings.platform.store or ""
        self._store = StoreThreads(EtcdStore(store_url), self._on_table, self._on_allotment)
        self._hosts = HostsThread(HostList(settings.platform.hosts), self._on_hosts)
        threads = self._limits.max_waiting + SPARE_THREADS
        self._web = WebServer(settings.listen.http, self._routes(), threads)
        metrics = self._node.metrics
        metrics.gauge("paddleshunt_calls", "Callers' calls that wait.", self._count_calls)
        metrics.gauge("paddleshunt_table_revision", "Table in force.", self._table_revision)

    def start(self) -> None:
        """Start serving."""
        self._node.start()
        self._hosts.start()
        self._store.start()
        self._web.start()
        logs.event(
            "started",
            role="entry",
            host=self._settings.host,
            incarnation=str(self._node.me),
            http=self._settings.listen.http,
        )

    def leave(self, patience: float) -> None:
        """Answer `/healthz` with 503, wait up to `patience` seconds for open calls, and end."""
        self._entry.leaving = True
        logs.event("leaving", host=self._settings.host)
        end = time.monotonic() + patience
        while self._pending.reply_queues and time.monotonic() < end:
            time.sleep(0.02)
        self._web.stop()
        self._hosts.stop()
        self._store.stop()
        self._node.stop()
        logs.event("stopped", host=self._settings.host)

    def _routes(self) -> dict[tuple[str, str], Route]:
        read_body = ReadBody(self._limits)
        check_service = CheckService(self._is_known)
        mint_id = MintId(self._mint)
        forward = Forward(self._limits, self._forward)
        parse_body = ParseBody(self._limits, with_tasks=True)
        create: list[Filter] = [
            read_body,
            ParseBody(self._limits, with_tasks=False),
            check_service,
            mint_id,
            ReturnId(),
        ]
        submit: list[Filter] = [read_body, ParseId(), parse_body, check_service, forward]
        job: list[Filter] = [read_body, parse_body, check_service, mint_id, forward]
        return {
            ("POST", "/v1/submissions"): lambda request: run_chain(create, Call(request)),
            ("PUT", "/v1/submissions/"): lambda request: run_chain(submit, Call(request)),
            ("POST", "/v1/jobs"): lambda request: run_chain(job, Call(request)),
            ("GET", "/v1/submissions/"): self._look_up,
            ("GET", "/healthz"): self._health,
            **self._pages.routes(),
            ("PUT", "/v1/table"): self._put_table,
        }

    # Callers' requests; run on web threads.

    def _is_known(self, service: str) -> bool:
        return bool(self._entry.table.rows_of(service))

    def _mint(self, service: str) -> Minted | NotAccepted:
        reply_queue: queue.SimpleQueue[Minted | NotAccepted] = queue.SimpleQueue()

        def mint(now: float) -> list[Effect]:
            reply_queue.put(self._entry.mint(now, service))
            return []

        self._node.post(mint)
        return reply_queue.get(timeout=LOOP_TIMEOUT_SECONDS)

    def _forward(self, message: Submit) -> Response:
        if len(self._pending.reply_queues) >= self._limits.max_waiting:
            refusal = NotAccepted("too many callers wait at this entry", 1000)
            return self._log_and_respond(
                Answer(message.submission, message.digest, refusal, message.repeatable)
            )
        number, reply_queue = self._pending.add()
        self._node.post(lambda now: self._entry.submit(now, number, message))
        return self._wait(number, reply_queue, message.deadline_ms / 1000 + REPLY_GRACE_SECONDS)

    def _look_up(self, request: Request) -> Response:
        call = Call(request)
        refusal = ParseId()(call)
        if refusal is not None:
            return refusal
        number, reply_queue = self._pending.add()
        self._node.post(lambda now: self._entry.look_up(now, number, call.submission))
        return self._wait(number, reply_queue, LOOP_TIMEOUT_SECONDS)

    def _wait(
        self, number: int, reply_queue: "queue.SimpleQueue[Response]", seconds: float
    ) -> Response:
        try:
            return reply_queue.get(timeout=seconds)
        except queue.Empty:
            self._pending.drop(number)
            return error(HTTPStatus.GATEWAY_TIMEOUT, "no answer; ask again with the same id")

    def _log_and_respond(self, answer: Answer) -> Response:
        kind = outcome_tag(answer.outcome)
        self._node.metrics.answered(kind)
        logs.event("replied", submission=answer.submission, outcome=kind)
        return answers.respond(answer)

    # Operators' requests; run on web threads.

    def _health(self, _request: Request) -> Response:
        if self._entry.leaving:
            return error(HTTPStatus.SERVICE_UNAVAILABLE, "leaving")
        if self._entry.table.revision == 0:
            return error(HTTPStatus.SERVICE_UNAVAILABLE, "no table yet")
        return Response(HTTPStatus.OK, b'{"status": "ok"}')

    def _put_table(self, request: Request) -> Response:
        key = self._settings.operators.key
        if not key or not hmac.compare_digest(request.key.encode(), key.encode()):
            return error(HTTPStatus.FORBIDDEN, "expected the operators' key", at="Paddleshunt-Key")
        call = Call(request)
        refusal = ReadBody(self._limits)(call)
        if refusal is not None:
            return refusal
        try:
            document = msgspec.json.decode(call.raw, type=TableDocument)
        except msgspec.MsgspecError as problem:
            return error(HTTPStatus.BAD_REQUEST, str(problem), at="body")
        self._node.post(lambda now: self._entry.receive_table(now, document))
        return Response(HTTPStatus.ACCEPTED, b"{}")

    def _describe(self, now: float) -> dict[str, object]:
        return self._entry.describe(now) | {"store_reachable": self._store.reachable}

    # Updates from the platform; run on its threads.

    def _on_table(self, document: TableDocument | None) -> None:
        self._node.post(lambda now: self._entry.table_from_store(now, document))

    def _on_allotment(self, allotment: Allotment) -> None:
        self._node.post(lambda now: self._entry.receive_allotment(now, allotment))

    def _on_hosts(self, hosts: list[Host]) -> None:
        self._node.post(lambda now: self._update_hosts(now, hosts))

    def _update_hosts(self, now: float, hosts: list[Host]) -> list[Effect]:
        effects = self._entry.update_hosts(now, hosts)
        if not self._state_requested:
            self._state_requested = True
            effects += self._entry.request_state(now)
        return effects

    # The core's effects; run on the loop's thread.

    def _perform_local(self, effect: LocalEffect) -> None:
        match effect:
            case Reply(caller, Answer() as answer):
                self._pending.answer(caller, self._log_and_respond(answer))
            case Reply(caller, body):
                self._pending.answer(caller, answers.respond(body))
            case WriteAllotment(allotment):
                self._store.write(allotment)
            case _:
                logs.event("effect_ignored", effect=type(effect).__name__)

    def _count_calls(self) -> float:
        return float(len(self._entry.calls))

    def _table_revision(self) -> float:
        return float(self._entry.table.revision)
