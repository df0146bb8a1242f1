"""The target process: the runner's client and the operators' pages around the core's `Target`."""

import queue
import random
from dataclasses import fields
from functools import partial
from http import HTTPStatus
from threading import Event
from typing import final

from paddleshunt_core.effects import Effect, Start
from paddleshunt_core.gate import GateLimits
from paddleshunt_core.homelimits import HomeLimits
from paddleshunt_core.ids import Incarnation
from paddleshunt_core.members import Host, HostState, Role
from paddleshunt_core.messages import EntryInfo
from paddleshunt_core.target import Target, TargetSettings
from paddleshunt_core.waste import Waste
from paddleshunt_platform.hosts import HostList
from paddleshunt_platform.settings import TargetFile

from paddleshunt_node import logs
from paddleshunt_node.node import LocalEffect, Node, new_incarnation
from paddleshunt_node.operatorpages import OperatorPages
from paddleshunt_node.platformthreads import HostsThread
from paddleshunt_node.runner import Ended, Runner, RunnerOutcome
from paddleshunt_node.web import Request, Response, Route, WebServer, error

WEB_THREADS = 2
"""Web threads of a target, which serves only operators."""

EXIT_POLL_SECONDS = 0.05
"""Interval at which a leaving target checks whether it may exit."""


@final
class TargetProcess:
    """One target, from `start` to `leave`."""

    def __init__(self, settings: TargetFile) -> None:
        rng = random.Random()
        self._settings = settings
        me = new_incarnation(settings.host, rng)
        self._target = Target(_core_settings(settings, me), rng)
        self._node = Node(me, settings.listen.peers, self._target, self._perform_local)
        self._runner = Runner(settings.runner.url, settings.runner.slots, self._task_ended)
        self._hosts = HostsThread(
            HostList(settings.platform.hosts), self._on_hosts, self._needs_hosts
        )
        self._pages = OperatorPages(self._node, lambda now: self._target.describe())
        self._web = WebServer(settings.listen.http, self._routes(), WEB_THREADS)
        self._may_exit = Event()
        metrics = self._node.metrics
        metrics.gauge("paddleshunt_running", "Tasks that run here.", self._count_running)
        metrics.gauge("paddleshunt_queued", "Tasks that wait here.", self._count_queued)
        metrics.gauge("paddleshunt_jobs", "Submissions this is home of.", self._count_jobs)
        for waste_field in fields(Waste):
            name, doc = f"paddleshunt_waste_{waste_field.name}", f"For nothing: {waste_field.name}."
            metrics.gauge(name, doc, partial(self._count_waste, waste_field.name))

    def start(self) -> None:
        """Start serving."""
        self._node.start()
        self._runner.start()
        self._hosts.start()
        self._web.start()
        settings = self._settings
        logs.event(
            "started",
            role="target",
            host=settings.host,
            incarnation=str(self._node.me),
            service=settings.service,
            http=settings.listen.http,
        )

    def leave(self, patience: float) -> None:
        """Refuse new work, wait up to `patience` seconds for running tasks, and end."""
        self._node.post(self._target.leave)
        waited = 0.0
        while waited < patience and not self._may_exit.wait(EXIT_POLL_SECONDS):
            waited += EXIT_POLL_SECONDS
            self._node.post(self._check_exit)
        self._node.post(self._target.final_heartbeats)
        self._web.stop()
        self._hosts.stop()
        self._node.stop()
        logs.event("stopped", host=self._settings.host)

    def _routes(self) -> dict[tuple[str, str], Route]:
        return {
            ("GET", "/healthz"): self._health,
            **self._pages.routes(),
        }

    def _check_exit(self, now: float) -> list[Effect]:
        if self._target.may_exit(now):
            self._may_exit.set()
        return []

    # Run on the loop's thread.

    def _perform_local(self, effect: LocalEffect) -> None:
        if isinstance(effect, Start):
            logs.event("task_started", submission=effect.submission, index=effect.index)
            self._runner.run(effect)

    # Run on the runner's threads.

    def _task_ended(self, task: Start, outcome: RunnerOutcome) -> None:
        self._node.post(lambda now: self._record_end(now, task, outcome))

    def _record_end(self, now: float, task: Start, outcome: RunnerOutcome) -> list[Effect]:
        name, index = task.submission, task.index
        if isinstance(outcome, Ended):
            logs.event("task_ended", submission=name, index=index, ok=str(outcome.ok))
            return self._target.gate.finished(now, name, index, outcome.ok, outcome.payload)
        logs.event("runner_not_reached", submission=name, index=index, reason=outcome.reason)
        return self._target.gate.not_started(now, name, index)

    # Run on the hosts thread.

    def _needs_hosts(self) -> bool:
        result: queue.SimpleQueue[bool] = queue.SimpleQueue()

        def check(now: float) -> list[Effect]:
            result.put(self._target.needs_entries(now))
            return []

        self._node.post(check)
        return result.get()

    def _on_hosts(self, hosts: list[Host]) -> None:
        entries = [
            EntryInfo(host.host, host.peers)
            for host in hosts
            if host.role is Role.ENTRY and host.state is not HostState.GONE
        ]

        def update(now: float) -> list[Effect]:
            self._target.add_listed_entries(entries)
            return []

        self._node.post(update)

    # Run on web threads.

    def _health(self, _request: Request) -> Response:
        if self._target.leaving:
            return error(HTTPStatus.SERVICE_UNAVAILABLE, "leaving")
        return Response(HTTPStatus.OK, b'{"status": "ok"}')

    def _count_running(self) -> float:
        return float(self._target.load.running)

    def _count_queued(self) -> float:
        return float(self._target.load.queued)

    def _count_waste(self, name: str) -> float:
        return float(getattr(self._target.waste, name))

    def _count_jobs(self) -> float:
        return float(self._target.load.jobs)


def _core_settings(settings: TargetFile, me: Incarnation) -> TargetSettings:
    home = HomeLimits(
        window=settings.home.window_s,
        max_records=settings.home.max_records,
        answer_bytes=settings.home.answer_bytes,
    )
    return TargetSettings(
        me=me,
        address=settings.listen.peers,
        site=settings.site,
        data_hall=settings.data_hall,
        service=settings.service,
        gate=GateLimits(settings.runner.slots, queue=settings.runner.slots),
        home=home,
        pipeline=settings.pipeline,
    )
