"""Test that the replay of a turn orders work as the product does."""

from __future__ import annotations

from dataclasses import replace

from bench.turns import ADAPTIVE, KINDS, Drawn, replay

QUICK = replace(KINDS[0], turn_seconds=2.0)
SHORT = replace(KINDS[2], jobs_a_second=20.0, workers_first=8)


def in_time(jobs: list[Drawn]) -> float:
    """Return the share of jobs that were done in time."""
    return sum(job.in_time for job in jobs) / len(jobs)


def test_every_job_of_a_turn_is_done() -> None:
    jobs = replay(QUICK, ADAPTIVE, seed=1)
    assert all(job.done_at < float("inf") for job in jobs)


def test_the_order_by_load_is_no_worse_than_by_slack_when_room_is_short() -> None:
    """Load: three times what the pool does, and nothing comes to help."""
    by_load = in_time(replay(SHORT, ADAPTIVE, seed=1))
    assert by_load > in_time(replay(SHORT, "slack", seed=1))
