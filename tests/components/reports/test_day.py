"""Test that a day's logs tell why jobs were late."""

from __future__ import annotations

from click.testing import CliRunner

from mustardward.cli.report import command
from mustardward.components.reports.day import explain
from mustardward.components.reports.day_lines import read_day, read_pairs
from mustardward.components.reports.stories import Cause

JOBS = {name: f"{number:016x}" for number, name in enumerate("abcdefgh")}


def line(at: float, event: str, **pairs: object) -> str:
    text = " ".join(f"{key}={value}" for key, value in pairs.items())
    return f"  {at} entry-1 time={at} level=info event={event} part=x {text}\n"


def submitted(at: float, job: str, outcome: str = "stored") -> str:
    return line(at, "job_submitted", job=JOBS[job], queue="q", tasks=2, outcome=outcome)


def started(at: float, job: str, run: int, waited: float) -> str:
    runs = f"0.0.{run}:{run}@w-1+{waited}~1.00"
    return line(at, "runs_started", job=JOBS[job], count=1, runs=runs)


def run_ended(at: float, job: str, run: int, how: str = "done") -> str:
    runs = f"0.0.{run}:{run}@w-1={how}"
    return line(at, "runs_ended", job=JOBS[job], count=1, runs=runs)


def job_ended(at: float, job: str, seconds: float) -> str:
    return line(
        at,
        "job_ended",
        job=JOBS[job],
        state="done",
        seconds=seconds,
        objective_seconds=2.0,
    )


def a_day() -> list[str]:
    """Return a day on which each cause made one job late, and one was in time."""
    in_time = [submitted(0, "a"), started(0.1, "a", 1, 0.1), run_ended(1.1, "a", 1)]
    room = [submitted(10, "b"), started(13, "b", 1, 3.0), run_ended(14, "b", 1)]
    outage = [submitted(20, "c"), started(20, "c", 1, 0.0), run_ended(21, "c", 1)]
    lost = line(21, "topic_lost", topic="keyed.shard-0")
    back = line(26, "topic_regained", topic="keyed.shard-0", lost_seconds=5)
    owner = [submitted(40, "d"), started(44, "d", 1, 0.2), run_ended(45, "d", 1)]
    claimed = line(41, "owner_started", epoch=2, jobs=1)
    complete = line(44, "takeover_complete", epoch=2)
    again = [
        submitted(50, "e"),
        started(50, "e", 1, 0.0),
        run_ended(53, "e", 1, "lapsed"),
        started(53, "e", 2, 0.0),
        run_ended(54, "e", 2),
    ]
    slow = [submitted(60, "f"), started(60, "f", 1, 0.0), run_ended(65, "f", 1)]
    refused = line(70, "request_refused", request=JOBS["g"], code="cut-off")
    return [
        *in_time,
        job_ended(1.1, "a", 1.1),
        *room,
        job_ended(14, "b", 4.0),
        lost,
        back,
        *outage,
        job_ended(26.1, "c", 6.1),
        *owner,
        claimed,
        complete,
        job_ended(45, "d", 5.0),
        *again,
        job_ended(54, "e", 4.0),
        *slow,
        job_ended(65, "f", 5.0),
        refused,
        "no pairs here\n",
        "event=without-time job=x\n",
    ]


def test_each_cause_is_told_by_the_lines_of_its_job() -> None:
    causes = {row.cause: row.jobs for row in explain(read_day(a_day()))}
    assert causes == {
        Cause.WAITED_FOR_ROOM: 1,
        Cause.STORE_AWAY: 1,
        Cause.OWNER_CHANGED: 1,
        Cause.RUN_REPEATED: 1,
        Cause.SLOW_RUN: 1,
        Cause.NOT_ACCEPTED: 1,
    }


def test_a_job_that_was_given_up_and_its_neighbours_are_told_apart() -> None:
    """Guards against a neighbour's lost run that no cause names."""
    guilty, beside = (f"{JOBS[name]}.0.0.1" for name in "ab")
    lines = [
        submitted(0, "a"),
        submitted(0, "b"),
        started(0.1, "a", 1, 0.1),
        started(0.1, "b", 1, 0.1),
        line(
            2.2,
            "worker_lost",
            worker="w-1",
            cause="unlisted",
            runs=f"{guilty}:1=running+2.1,{beside}:1=running+2.1",
        ),
        line(2.7, "task_suspected", task=guilty, given_up="true"),
        job_ended(2.7, "a", 2.7),
        started(2.3, "b", 2, 0.1),
        run_ended(3.3, "b", 2),
        job_ended(3.3, "b", 3.3),
    ]
    rows = {row.cause: row.jobs for row in explain(read_day(lines))}
    assert rows == {Cause.GIVEN_UP: 1, Cause.RUN_REPEATED: 1}


def test_the_order_of_the_lines_does_not_matter() -> None:
    """Entries' logs are read one after the other."""
    assert explain(read_day(reversed(a_day()))) == explain(read_day(a_day()))


def test_lines_that_are_cut_off_are_counted_and_left_out() -> None:
    """An entry that loses power stops in the middle of a line."""
    day = read_day(
        [*a_day(), 'time=80 event=topic_lost detail="the stor', "time=8x event=a"]
    )
    assert day.cut_lines == 2
    assert explain(day) == explain(read_day(a_day()))


def test_a_line_that_goes_on_as_another_is_no_failure() -> None:
    """Symptom: the report of a day ended with an error.

    Sequence: bytes were lost between an entry and its log, so that the middle of one
    line was followed by the rest of another. Cause: numbers of runs were taken to be
    whole once their line had a time and an event.
    """
    whole = "0.0.1:7@w-1+0.5~1.00"
    glued = 'runs="' + whole + ",0.0.2:8@w-1+0.time=80 level=info event=runs_ended "
    lost = f"time=79 event=runs_started job={JOBS['h']} {glued}" + 'runs="0.0.1:7@w"'
    day = read_day([*a_day(), lost])
    assert day.cut_lines == 1
    assert explain(day) == explain(read_day(a_day()))


def test_quoted_values_are_read_whole() -> None:
    pairs = read_pairs('time=1.0 event=x detail="the log \\"failed\\"" job=a')
    assert (pairs["detail"], pairs["job"]) == ('the log "failed"', "a")


def test_the_command_prints_a_row_for_each_cause() -> None:
    result = CliRunner().invoke(
        command, ["day", "-", "--jobs", "1"], input="".join(a_day())
    )
    assert result.exit_code == 0
    assert result.output.startswith("jobs=7 ended=6 late=5\n")
    assert "waited for room" in result.output
    assert f"job={JOBS['c']} queue=q late_seconds=4.10" in result.output


def entries_started(*names: str) -> list[str]:
    return [line(0, "node_started", node=name, zone="a") for name in names]


def lost_by(node: str, first: float, last: float) -> list[str]:
    topic = "keyed.shard-0"
    return [
        line(first, "topic_lost", node=node, topic=topic),
        line(last, "topic_regained", node=node, topic=topic, lost_seconds=last - first),
    ]


def a_job_that_waited() -> list[str]:
    return [
        submitted(20, "a"),
        started(23, "a", 1, 1.5),
        run_ended(24, "a", 1),
        job_ended(24, "a", 4.0),
    ]


def test_what_one_entry_lost_is_no_outage_of_the_store() -> None:
    """Symptom: a job that waited for room counted as held up by the store.

    Sequence: one of four entries was cut off from the store while the job waited; the
    owner and all others had it. Cause: a topic that any one entry lost was an outage.
    """
    owner = line(1, "owner_started", node="n-1", epoch=1, jobs=0)
    lines = [*entries_started("n-1", "n-2", "n-3", "n-4"), owner, *a_job_that_waited()]
    day = read_day([*lines, *lost_by("n-4", 20, 24)])
    assert day.outages == []
    assert [row.cause for row in explain(day)] == [Cause.WAITED_FOR_ROOM]


def test_what_most_entries_lost_is_an_outage_from_the_second_of_four_on() -> None:
    lines = [*entries_started("n-1", "n-2", "n-3", "n-4"), *a_job_that_waited()]
    day = read_day([*lines, *lost_by("n-4", 20, 24), *lost_by("n-3", 21, 23)])
    assert day.outages == [(21.0, 23.0)]
    assert [row.cause for row in explain(day)] == [Cause.STORE_AWAY]


def test_what_the_owner_lost_alone_is_an_outage_until_another_owns() -> None:
    lines = [*entries_started("n-1", "n-2", "n-3"), *lost_by("n-1", 20, 24)]
    first = line(1, "owner_started", node="n-1", epoch=1, jobs=0)
    second = line(22.5, "owner_started", node="n-2", epoch=2, jobs=0)
    assert read_day([*lines, first, second]).outages == [(20.0, 22.5)]


def test_an_entry_that_lost_power_without_the_store_has_lost_nothing_after() -> None:
    lines = [*entries_started("n-1", "n-2")]
    lines.append(line(5, "topic_lost", node="n-1", topic="t"))
    lines.append(line(8, "node_started", node="n-1", zone="a"))
    assert read_day(lines).outages == [(5.0, 8.0)]
