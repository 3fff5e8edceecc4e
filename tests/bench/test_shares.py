"""Test the replay of organisations that compete for a full pool."""

from __future__ import annotations

import math
from dataclasses import replace

from bench.shares import SCENARIOS, draw, evaluate, replay

ONE = SCENARIOS[0]
TAKEOVER = replace(ONE, takeover_at=3.0)


def test_excess_does_not_change_the_jobs_of_others() -> None:
    """Guards against a comparison of two loads that differ in more than the excess."""
    hot = draw(ONE, 1, with_excess=True)
    usual = draw(ONE, 1, with_excess=False)
    kept = [(job.record, job.seconds) for job in hot.jobs if not job.is_excess]
    assert kept == [(job.record, job.seconds) for job in usual.jobs]
    assert len(hot.jobs) > len(usual.jobs)
    assert {job.organisation for job in hot.jobs if job.is_excess} == set(hot.hot)


def test_every_job_is_done_also_after_a_takeover() -> None:
    replayed = replay(TAKEOVER, seed=1)
    assert all(job.done_at < math.inf for job in replayed.load.jobs)


def test_a_replay_is_reproducible() -> None:
    first, second = (replay(ONE, seed=2) for _ in range(2))
    assert [job.done_at for job in first.load.jobs] == [
        job.done_at for job in second.load.jobs
    ]
    figures = evaluate(first)
    assert 0.0 < figures.worst <= figures.mean <= 1.0
