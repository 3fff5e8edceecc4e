"""Test the log lines of lost workers."""

from __future__ import annotations

import pytest

from mustardward.components.scheduling import losses
from mustardward.components.scheduling.losses import LossCause
from mustardward.helpers.instruments import WORKERS_LOST

from .builders import JOB, SchedulerBench, a_job


def test_lost_worker_is_logged_with_its_runs_and_cause(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a lost worker whose runs and cause are not logged."""
    lines: list[dict[str, object]] = []
    monkeypatch.setattr(
        losses._LOGGER, "info", lambda event, **fields: lines.append(fields)
    )
    bench = SchedulerBench()
    bench.worker("w1", born=7)
    bench.add(a_job())
    starts = bench.plan_starts()
    bench.scheduler.state.workers["w1"].unstored_ends = 3
    counted = WORKERS_LOST.labels("unlisted")._value.get()
    bench.now += 0.25
    bench.scheduler.remove_worker("w1", LossCause.UNLISTED, bench.now)
    (line,) = lines
    assert line["cause"] == "unlisted"
    assert line["born"] == 7
    assert line["unstored_ends"] == 3
    assert line["runs"] == ",".join(
        f"{JOB}.0.0.{index}:{start.run}=running+0.250"
        for index, start in enumerate(starts)
    )
    assert WORKERS_LOST.labels("unlisted")._value.get() == counted + 1
