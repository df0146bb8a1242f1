"""Works out docs/CAPACITY.md's tables from docs/measurements/slopes.json and sweeps.json.

`python benchmarks/capacity.py` writes them into the page between its marks; a test compares.
"""

import json
from dataclasses import dataclass
from pathlib import Path

import sweeps

ROOT = Path(__file__).parent.parent
SLOPES = ROOT / "docs" / "measurements" / "slopes.json"
PAGE = ROOT / "docs" / "CAPACITY.md"
BEGIN = "<!-- tables: begin -->"
END = "<!-- tables: end -->"
SWEEPS_BEGIN = "<!-- sweeps: begin -->"
SWEEPS_END = "<!-- sweeps: end -->"

DAY = 86_400

# The letter's size.
TARGETS = 1_700
TASKS_A_SECOND = 99_000
JOB_TASKS = 1_900
TEAMS = 300
HALLS = 5
CHANGES_A_DAY = 1_200
LOSSES_A_DAY = 23 + 250
BUDGET_CPU = 31.0  # ms a second
BUDGET_MB = 32.0
BUDGET_KB = 23.0
BUDGET_WRITES = 400.0
BUDGET_READS = 2_000.0
BUDGET_FORCE = 11.0

# Ours: entries to run at that size, and constants of the code (a test compares them).
ENTRIES = 16
HEARTBEATS_PER_SECOND = 60.0
HEARTBEAT_ENTRIES = 2
EXCHANGE_EVERY = 2
PEERS = 32
HOSTS_PER_SECOND = 20
WATCH_SECONDS = 30.0
WRITES_A_LOSS = 3
WRITES_A_CHANGE = 3
ID_WINDOW = 125.0


@dataclass(frozen=True)
class Line:
    """One estimate against its budget."""

    role: str
    what: str
    estimate: float
    budget: float
    unit: str

    @property
    def verdict(self) -> str:
        """Whether it fits, and by what factor."""
        factor = self.estimate / self.budget
        if factor > 1:
            return f"misses by {factor:.1f}x"
        return f"fits, {1 / factor:.1f}x to spare"


class Model:
    """The formulas. Each method says in its name what it estimates; units are in the docstring."""

    def __init__(self, record: dict[str, object]) -> None:
        slopes = record["slopes"]
        assert isinstance(slopes, list)
        self._slopes = {each["name"]: each for each in slopes}
        memory = record["memory"]
        assert isinstance(memory, dict)
        self.memory: dict[str, float] = memory
        sizes = record["sizes"]
        assert isinstance(sizes, dict)
        self.sizes: dict[str, int] = sizes

    def slope(self, name: str) -> float:
        """Return a slope."""
        return float(self._slopes[name]["slope"])

    def at(self, name: str, x: float) -> float:
        """Return a fitted line's value."""
        return float(self._slopes[name]["intercept"]) + self.slope(name) * x

    @property
    def direct(self) -> float:
        """Targets that one entry hears itself."""
        return TARGETS * HEARTBEAT_ENTRIES / ENTRIES

    @property
    def interval(self) -> float:
        """Seconds between a target's heartbeats."""
        return max(1.0, self.direct / HEARTBEATS_PER_SECOND)

    @property
    def beat_bytes(self) -> int:
        """Bytes of a heartbeat and of the short view that answers it."""
        return self.sizes["heartbeat"] + self.sizes["short_view"]

    def entry_cpu(self) -> float:
        """Milliseconds a second: idle process, heartbeats with views, exchanges, changes."""
        beats = self.direct / self.interval
        beat = self.at("heartbeat", TARGETS) + self.slope("message")
        exchanges = (ENTRIES - 1) / self.interval / EXCHANGE_EVERY * 2 * self.slope("message")
        change = self.at("change", self.direct) + self.direct * self.slope("message") / 2
        idle = float(self._slopes["entry_process"]["intercept"])
        return idle + (beats * beat + exchanges + CHANGES_A_DAY / DAY * change) / 1000

    def entry_kb(self) -> float:
        """Kilobytes a second in and out: heartbeats, views, exchanges, the host list, changes."""
        beats = self.direct / self.interval * self.beat_bytes
        rounds = self.interval * EXCHANGE_EVERY
        exchanges = 2 * (ENTRIES - 1) / rounds * self.at("exchange", TARGETS)
        hosts = HOSTS_PER_SECOND * self.sizes["host"]
        short = self.sizes["short_view"] * self.direct
        whole = self.at("view", PEERS) * PEERS
        changes = (CHANGES_A_DAY * (short + whole) + LOSSES_A_DAY * whole) / DAY
        return (beats + exchanges + hosts + changes) / 1000

    def entry_mb(self) -> float:
        """Megabytes: idle process, members, sockets to targets heard here, table."""
        members = TARGETS * self.slope("member") / 1e6
        sockets = self.direct * self.slope("socket") / 1000
        table = 4 * self.at("table", TEAMS * HALLS) / 1e6
        return self.memory["entry_rss_mb"] + members + sockets + table

    def target_cpu(self) -> float:
        """Milliseconds a second of an idle target process, which beats each second."""
        return float(self._slopes["target_process"]["intercept"])

    def target_kb(self) -> float:
        """Kilobytes a second in and out of control: heartbeats, views and changes."""
        beats = HEARTBEAT_ENTRIES / self.interval * self.beat_bytes
        whole = HEARTBEAT_ENTRIES * self.at("view", PEERS)
        return (beats + (CHANGES_A_DAY + LOSSES_A_DAY) / DAY * whole) / 1000

    def target_mb(self) -> float:
        """Megabytes: idle process, links with their sockets, ids of the window."""
        links = PEERS * (self.slope("link") / 1e6 + self.slope("socket") / 1000)
        jobs = TASKS_A_SECOND / JOB_TASKS / TARGETS
        ids = jobs * ID_WINDOW * self.slope("closed_id") / 1e6
        return self.memory["target_rss_mb"] + links + ids

    def store_writes(self) -> float:
        """Writes a second on an ordinary day: edits, and allotments after edits and losses."""
        return (CHANGES_A_DAY * WRITES_A_CHANGE + LOSSES_A_DAY * WRITES_A_LOSS) / DAY

    def store_reads(self) -> float:
        """Reads a second with watches counted as one call each: one watch an entry, re-read."""
        return ENTRIES + ENTRIES / WATCH_SECONDS

    def hall_loss_seconds(self) -> float:
        """Seconds of the store's writes that moving the shares of a lost hall takes."""
        return TEAMS * 2 / BUDGET_WRITES

    def in_force_seconds(self) -> float:
        """Seconds until the last target heard by an entry has a new table."""
        work = self.at("change", self.direct) + self.direct * self.slope("message") / 2
        return work / 1e6 + 0.25

    def lines(self) -> list[Line]:
        """Return control's estimates against the letter's budgets."""
        return [
            Line(
                "entry, relay of tables and members",
                "processor",
                self.entry_cpu(),
                BUDGET_CPU,
                "ms/s",
            ),
            Line(
                "entry, relay of tables and members", "traffic", self.entry_kb(), BUDGET_KB, "KB/s"
            ),
            Line("entry, relay of tables and members", "memory", self.entry_mb(), BUDGET_MB, "MB"),
            Line("target", "processor", self.target_cpu(), BUDGET_CPU, "ms/s"),
            Line("target", "traffic", self.target_kb(), BUDGET_KB, "KB/s"),
            Line("target", "memory", self.target_mb(), BUDGET_MB, "MB"),
            Line("platform's store", "writes", self.store_writes(), BUDGET_WRITES, "/s"),
            Line("platform's store", "reads and watches", self.store_reads(), BUDGET_READS, "/s"),
            Line("table in force everywhere", "time", self.in_force_seconds(), BUDGET_FORCE, "s"),
        ]

    def work(self) -> list[tuple[str, str]]:
        """Return the cost of dispatching itself, which is no part of the control budget."""
        tasks = TASKS_A_SECOND / TARGETS
        target = tasks * self.slope("target_process")
        home = JOB_TASKS * self.slope("home_task") / 1000
        slots = PEERS * 8
        waves = JOB_TASKS / slots
        small = TASKS_A_SECOND / 10 * self.slope("entry_process") / 1000
        large = TASKS_A_SECOND / JOB_TASKS * self.slope("entry_process") / 1000
        return [
            ("task starts a second of one target", f"{tasks:.0f}"),
            ("a target's processor for them", f"{target / 10:.0f}% of a core"),
            ("a home's decisions for a job of 1,900 tasks", f"{home:.0f} ms of processor"),
            (
                "slots that one home can use (32 targets of 8)",
                f"{slots}: a job of 1,900 runs in {waves:.1f} rounds",
            ),
            ("entries' processor, all jobs of 10 tasks", f"{small:.0f} cores"),
            (
                "entries' processor, all jobs of 1,900 tasks",
                f"{large:.2f} cores, bodies not counted",
            ),
            (
                "store writes after a data hall is lost",
                f"{self.hall_loss_seconds():.1f} s at {BUDGET_WRITES:.0f}/s",
            ),
            ("heartbeat interval", f"{self.interval:.1f} s ({self.direct:.0f} targets an entry)"),
        ]


def tables(record: dict[str, object]) -> str:
    """Return the page's tables as Markdown."""
    model = Model(record)
    out = [f"Slopes measured at commit {record['commit']}.", ""]
    out += ["| role | what | estimate | budget | verdict |", "|---|---|---|---|---|"]
    out += [
        f"| {e.role} | {e.what} | {e.estimate:.2f} {e.unit} | {e.budget:g} {e.unit} | {e.verdict} |"
        for e in model.lines()
    ]
    out += ["", "| work of dispatching | at the letter's size |", "|---|---|"]
    out += [f"| {what} | {value} |" for what, value in model.work()]
    sizes = ", ".join(f"{name.replace('_', ' ')} {size}" for name, size in model.sizes.items())
    memory = ", ".join(f"{name.split('_')[0]} {size} MB" for name, size in model.memory.items())
    out += ["", f"Bytes: {sizes}. Memory of an idle process: {memory}."]
    out += ["", "| slope | a | slope | intercept | error |", "|---|---|---|---|---|"]
    slopes = record["slopes"]
    assert isinstance(slopes, list)
    out += [
        f"| {s['name']} ({s['unit']}) | {s['per']} | {s['slope']:.4g} "
        f"| {s['intercept']:.4g} | {s['error']}% |"
        for s in slopes
    ]
    return "\n".join(out)


def page_part(page: str, begin: str = BEGIN, end: str = END) -> str:
    """Return the part of the page between two marks."""
    return page.split(begin)[1].split(end)[0].strip()


def with_part(page: str, made: str, begin: str, end: str) -> str:
    """Return the page with another part between two marks."""
    head, tail = page.split(begin)[0], page.split(end)[1]
    return f"{head}{begin}\n{made}\n{end}{tail}"


def main() -> None:
    """Write the tables into the page."""
    page = PAGE.read_text()
    page = with_part(page, tables(json.loads(SLOPES.read_text())), BEGIN, END)
    swept = sweeps.tables(json.loads(sweeps.SWEEPS.read_text()))
    PAGE.write_text(with_part(page, swept, SWEEPS_BEGIN, SWEEPS_END))


if __name__ == "__main__":
    main()
