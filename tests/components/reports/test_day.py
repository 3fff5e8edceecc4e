"""Test determining from a day's logs why jobs were late."""

from __future__ import annotations

from click.testing import CliRunner

from mustardward.cli.report import command
from mustardward.components.reports.day import count_delay_causes
from mustardward.components.reports.day_lines import read_day, read_pairs
from mustardward.components.reports.day_models import Cause

JOBS = {name: f"{number:016x}" for number, name in enumerate("abcdefgh")}


def format_line(at: float, event: str, **pairs: object) -> str:
    text = " ".join(f"{key}={value}" for key, value in pairs.items())
    return f"  {at} entry-1 time={at} level=info event={event} part=x {text}\n"


def format_submitted(at: float, job: str, outcome: str = "stored") -> str:
    return format_line(
        at, "job_submitted", job=JOBS[job], queue="q", tasks=2, outcome=outcome
    )


def format_started(at: float, job: str, run: int, waited: float) -> str:
    runs = f"0.0.{run}:{run}@w-1+{waited}~1.00"
    return format_line(at, "runs_started", job=JOBS[job], count=1, runs=runs)


def format_run_ended(at: float, job: str, run: int, how: str = "done") -> str:
    runs = f"0.0.{run}:{run}@w-1={how}"
    return format_line(at, "runs_ended", job=JOBS[job], count=1, runs=runs)


def format_job_ended(at: float, job: str, seconds: float) -> str:
    return format_line(
        at,
        "job_ended",
        job=JOBS[job],
        state="done",
        seconds=seconds,
        objective_seconds=2.0,
    )


def build_day_lines() -> list[str]:
    """Return the log lines of one late job for each cause, and one job in time."""
    in_time = [
        format_submitted(0, "a"),
        format_started(0.1, "a", 1, 0.1),
        format_run_ended(1.1, "a", 1),
    ]
    room = [
        format_submitted(10, "b"),
        format_started(13, "b", 1, 3.0),
        format_run_ended(14, "b", 1),
    ]
    outage = [
        format_submitted(20, "c"),
        format_started(20, "c", 1, 0.0),
        format_run_ended(21, "c", 1),
    ]
    lost = format_line(21, "topic_lost", topic="keyed.shard-0")
    back = format_line(26, "topic_regained", topic="keyed.shard-0", lost_seconds=5)
    owner = [
        format_submitted(40, "d"),
        format_started(44, "d", 1, 0.2),
        format_run_ended(45, "d", 1),
    ]
    claimed = format_line(41, "owner_started", epoch=2, jobs=1)
    complete = format_line(44, "takeover_complete", epoch=2)
    again = [
        format_submitted(50, "e"),
        format_started(50, "e", 1, 0.0),
        format_run_ended(53, "e", 1, "lapsed"),
        format_started(53, "e", 2, 0.0),
        format_run_ended(54, "e", 2),
    ]
    slow = [
        format_submitted(60, "f"),
        format_started(60, "f", 1, 0.0),
        format_run_ended(65, "f", 1),
    ]
    refused = format_line(70, "request_refused", request=JOBS["g"], code="cut-off")
    return [
        *in_time,
        format_job_ended(1.1, "a", 1.1),
        *room,
        format_job_ended(14, "b", 4.0),
        lost,
        back,
        *outage,
        format_job_ended(26.1, "c", 6.1),
        *owner,
        claimed,
        complete,
        format_job_ended(45, "d", 5.0),
        *again,
        format_job_ended(54, "e", 4.0),
        *slow,
        format_job_ended(65, "f", 5.0),
        refused,
        "no pairs here\n",
        "event=without-time job=x\n",
    ]


def test_each_cause_is_found() -> None:
    causes = {
        row.cause: row.jobs for row in count_delay_causes(read_day(build_day_lines()))
    }
    assert causes == {
        Cause.WAITED_FOR_ROOM: 1,
        Cause.STORE_UNAVAILABLE: 1,
        Cause.OWNER_CHANGED: 1,
        Cause.RUN_REPEATED: 1,
        Cause.SLOW_RUN: 1,
        Cause.NOT_ACCEPTED: 1,
    }


def format_ends(at: float, job: str, runs: str, expected: str) -> str:
    return format_line(
        at, "runs_ended", job=JOBS[job], count=1, expected=expected, runs=runs
    )


def test_wrong_declaration_and_slow_run_have_separate_causes() -> None:
    """Guards against blaming workers for long runs whose siblings ran as long."""
    lines = [
        format_submitted(0, "a"),
        format_started(0, "a", 1, 0.0),
        format_ends(5, "a", "0.0.1:1@w-1=done", "0.0~4.80"),
        format_job_ended(5, "a", 5.0),
        format_submitted(10, "b"),
        format_started(10, "b", 1, 0.0),
        format_ends(15, "b", "0.0.1:1@w-1=done", "0.1~4.80,0.0~1.10"),
        format_job_ended(15, "b", 5.0),
    ]
    causes = {row.cause: row.jobs for row in count_delay_causes(read_day(lines))}
    assert causes == {Cause.WRONG_DECLARATION: 1, Cause.SLOW_RUN: 1}


def test_given_up_job_and_other_jobs_on_its_worker_have_separate_causes() -> None:
    """Guard against a lost run of another job on the worker that has no cause."""
    crashing, colocated = (f"{JOBS[name]}.0.0.1" for name in "ab")
    lines = [
        format_submitted(0, "a"),
        format_submitted(0, "b"),
        format_started(0.1, "a", 1, 0.1),
        format_started(0.1, "b", 1, 0.1),
        format_line(
            2.2,
            "worker_lost",
            worker="w-1",
            cause="unlisted",
            runs=f"{crashing}:1=running+2.1,{colocated}:1=running+2.1",
        ),
        format_line(2.7, "task_suspected", task=crashing, given_up="true"),
        format_job_ended(2.7, "a", 2.7),
        format_started(2.3, "b", 2, 0.1),
        format_run_ended(3.3, "b", 2),
        format_job_ended(3.3, "b", 3.3),
    ]
    rows = {row.cause: row.jobs for row in count_delay_causes(read_day(lines))}
    assert rows == {Cause.GIVEN_UP: 1, Cause.RUN_REPEATED: 1}


def test_order_of_lines_does_not_matter() -> None:
    """The logs of entries are read one after the other."""
    assert count_delay_causes(
        read_day(reversed(build_day_lines()))
    ) == count_delay_causes(read_day(build_day_lines()))


def test_truncated_lines_are_counted_and_skipped() -> None:
    """An entry that loses power may stop in the middle of a line."""
    day = read_day(
        [
            *build_day_lines(),
            'time=80 event=topic_lost detail="the stor',
            "time=8x event=a",
        ]
    )
    assert day.cut_lines == 2
    assert count_delay_causes(day) == count_delay_causes(read_day(build_day_lines()))


def test_joined_lines_are_skipped() -> None:
    """Guard against a report that fails on a line that continues as another one.

    Bytes lost between an entry and its log leave such a line, which has a time and an
    event but incomplete numbers of runs.
    """
    whole = "0.0.1:7@w-1+0.5~1.00"
    joined = 'runs="' + whole + ",0.0.2:8@w-1+0.time=80 level=info event=runs_ended "
    lost = f"time=79 event=runs_started job={JOBS['h']} {joined}" + 'runs="0.0.1:7@w"'
    day = read_day([*build_day_lines(), lost])
    assert day.cut_lines == 1
    assert count_delay_causes(day) == count_delay_causes(read_day(build_day_lines()))


def test_quoted_values_are_parsed() -> None:
    pairs = read_pairs('time=1.0 event=x detail="the log \\"failed\\"" job=a')
    assert (pairs["detail"], pairs["job"]) == ('the log "failed"', "a")


def test_command_prints_a_row_for_each_cause() -> None:
    result = CliRunner().invoke(
        command, ["day", "-", "--jobs", "1"], input="".join(build_day_lines())
    )
    assert result.exit_code == 0
    assert result.output.startswith("jobs=7 ended=6 late=5\n")
    assert "waited for room" in result.output
    assert f"job={JOBS['c']} queue=q late_seconds=4.10" in result.output


def format_entry_starts(*names: str) -> list[str]:
    return [format_line(0, "node_started", node=name, zone="a") for name in names]


def format_outage(node: str, first: float, last: float) -> list[str]:
    topic = "keyed.shard-0"
    return [
        format_line(first, "topic_lost", node=node, topic=topic),
        format_line(
            last, "topic_regained", node=node, topic=topic, lost_seconds=last - first
        ),
    ]


def build_waiting_job_lines() -> list[str]:
    return [
        format_submitted(20, "a"),
        format_started(23, "a", 1, 1.5),
        format_run_ended(24, "a", 1),
        format_job_ended(24, "a", 4.0),
    ]


def test_store_lost_by_one_entry_is_no_outage() -> None:
    """Guard against attributing a wait for capacity to the store.

    One of four entries, which is not the owner, is disconnected from the store while
    the job waits.
    """
    owner = format_line(1, "owner_started", node="n-1", epoch=1, jobs=0)
    lines = [
        *format_entry_starts("n-1", "n-2", "n-3", "n-4"),
        owner,
        *build_waiting_job_lines(),
    ]
    day = read_day([*lines, *format_outage("n-4", 20, 24)])
    assert day.outages == []
    assert [row.cause for row in count_delay_causes(day)] == [Cause.WAITED_FOR_ROOM]


def test_store_lost_by_half_of_the_entries_is_an_outage() -> None:
    lines = [
        *format_entry_starts("n-1", "n-2", "n-3", "n-4"),
        *build_waiting_job_lines(),
    ]
    day = read_day(
        [*lines, *format_outage("n-4", 20, 24), *format_outage("n-3", 21, 23)]
    )
    assert day.outages == [(21.0, 23.0)]
    assert [row.cause for row in count_delay_causes(day)] == [Cause.STORE_UNAVAILABLE]


def test_store_lost_by_the_owner_is_an_outage_until_the_next_owner_starts() -> None:
    lines = [*format_entry_starts("n-1", "n-2", "n-3"), *format_outage("n-1", 20, 24)]
    first = format_line(1, "owner_started", node="n-1", epoch=1, jobs=0)
    second = format_line(22.5, "owner_started", node="n-2", epoch=2, jobs=0)
    assert read_day([*lines, first, second]).outages == [(20.0, 22.5)]


def test_restart_of_an_entry_clears_its_lost_topics() -> None:
    lines = [*format_entry_starts("n-1", "n-2")]
    lines.append(format_line(5, "topic_lost", node="n-1", topic="t"))
    lines.append(format_line(8, "node_started", node="n-1", zone="a"))
    assert read_day(lines).outages == [(5.0, 8.0)]
