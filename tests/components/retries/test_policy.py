"""Test which attempts are retried or hedged, and what they cost."""

from __future__ import annotations

from random import Random

import pytest

from mustardward.components.entry.models import (
    Attempt,
    AttemptOutcome,
    Ran,
    RequestFinished,
)
from mustardward.components.retries.services import RetryPolicyService
from mustardward.state.models.templates import Urgency
from tests.fakes.policy import build_attempt, build_facts

NOW = 1_000_000.0
REFUSED = build_attempt(AttemptOutcome.REFUSED)
NOT_SENT = build_attempt(AttemptOutcome.NOT_SENT)
UNKNOWN = build_attempt(AttemptOutcome.UNKNOWN)


def build_finished(latency: float = 0.05, status: int = 200) -> RequestFinished:
    return RequestFinished(
        "request-1", "small", "quotes", Urgency.NORMAL, status, Ran.YES, latency, 1
    )


@pytest.mark.parametrize(
    ("attempts", "expected"),
    [
        ((REFUSED,), True),
        ((NOT_SENT,), True),
        ((UNKNOWN,), False),
        ((build_attempt(status=503),), False),
        ((UNKNOWN, REFUSED), False),
        ((NOT_SENT, REFUSED), True),
    ],
)
def test_non_idempotent_request_is_not_retried_once_it_may_have_run(
    attempts: tuple[Attempt, ...], expected: bool
) -> None:
    """Guard against an order that is made twice.

    The first attempt's connection is lost after the request was written, and a second
    attempt is refused as not run. The decision must consider all attempts.
    """
    policy = RetryPolicyService(Random(1))
    decision = policy.decide(build_facts(idempotent=False), attempts, NOW)
    assert decision.should_retry is expected
    assert expected or decision.cause == "may-have-run"


@pytest.mark.parametrize(
    ("attempt", "expected"),
    [
        (UNKNOWN, True),
        (build_attempt(status=503), True),
        (build_attempt(status=200), False),
        (build_attempt(status=404), False),
        (build_attempt(status=501), False),
    ],
)
def test_idempotent_request_is_retried_after_transient_failures(
    attempt: Attempt, expected: bool
) -> None:
    decision = RetryPolicyService(Random(1)).decide(build_facts(), (attempt,), NOW)
    assert decision.should_retry is expected


def test_no_request_is_retried_past_its_deadline() -> None:
    policy = RetryPolicyService(Random(1))
    facts = build_facts(deadline=NOW + 0.004)
    assert policy.decide(facts, (NOT_SENT,), NOW).cause == "deadline"


def test_retry_storm_is_bounded_by_successes() -> None:
    """Guard against retries that overload workers after an outage.

    All workers are unavailable, and with a limit for each request alone every one would
    be tried four times. Retries must be limited by the number of successes.
    """
    policy = RetryPolicyService(Random(1))
    attempts = 0
    for number in range(1000):
        facts = build_facts(f"request-{number}")
        policy.record_first(facts)
        attempts_made: tuple[Attempt, ...] = (NOT_SENT,)
        while policy.decide(facts, attempts_made, NOW).should_retry:
            attempts_made = (*attempts_made, NOT_SENT)
        attempts += len(attempts_made)
    assert attempts / 1000 <= 1.1


def test_successes_earn_retries_by_the_share_of_the_template() -> None:
    policy = RetryPolicyService(Random(1))
    facts = build_facts()
    policy.record_first(facts)
    while policy.decide(facts, (NOT_SENT,), NOW).should_retry:
        pass
    for _ in range(200):
        policy.on_finished(build_finished())
    retries = 0
    while policy.decide(facts, (NOT_SENT,), NOW).should_retry:
        retries += 1
    assert 19 <= retries <= 21


def test_delays_have_full_jitter() -> None:
    """Guard against requests that fail together and are retried together.

    A worker fails with a hundred requests in flight. Without jitter, all would be
    retried at the same time on the same next worker.
    """
    policy = RetryPolicyService(Random(1))
    for _ in range(400):
        policy.record_first(build_facts())
        policy.on_finished(build_finished())
    delays = [
        policy.decide(build_facts(), (NOT_SENT,), NOW).delay_seconds for _ in range(30)
    ]
    assert min(delays) < 0.005
    assert max(delays) > 0.02
    assert len(set(delays)) == 30


def test_hedges_only_urgent_idempotent_requests_inside_the_budget() -> None:
    policy = RetryPolicyService(Random(1))
    urgent = build_facts(urgency=Urgency.URGENT)
    policy.record_first(urgent)
    assert policy.hedge_after(urgent) is None
    random = Random(2)
    for _ in range(3000):
        policy.on_finished(build_finished(random.uniform(0.0, 0.1)))
    assert policy.hedge_after(urgent) == pytest.approx(0.095, rel=0.1)
    assert policy.hedge_after(build_facts()) is None
    not_idempotent = build_facts(urgency=Urgency.URGENT, idempotent=False)
    assert policy.hedge_after(not_idempotent) is None
    taken = 0
    while policy.take_hedge(urgent, NOW):
        taken += 1
    assert taken == 50
